// Package indexer provides ordered collections whose subtrees carry aggregates: a balanced tree that finds the first or last
// element that fits, and a queue with sums of work. They reuse their nodes, so a steady state allocates nothing. They are
// not safe for concurrent use.
package indexer

const (
	// maxWeightRatio is the largest ratio of the weights of two siblings, and innerWeightRatio the ratio of the weights of
	// the inner and outer grandchild from which a double rotation is needed. 3 and 2 are the only pair of integers for which
	// one rotation per level restores the balance after each insertion and removal.
	maxWeightRatio   = 3
	innerWeightRatio = 2
)

type (
	// Handle identifies an element of a tree until it is removed. The zero value stands for no element.
	Handle int32

	// Tree is a weight-balanced tree of elements with a key and a value, ordered by key. Set the functions before the first
	// call; the zero value of the other fields is ready to use.
	Tree[K any, A comparable] struct {
		// Compare is negative if a is ordered before b. Elements with equal keys keep their order of insertion.
		Compare func(a, b K) int
		// Merge returns the aggregate of two adjacent ranges of elements. It must be associative.
		Merge func(a, b A) A

		nodes []node[K, A] // nodes[0] stands for no element
		root  Handle
		free  Handle // first of the released nodes, which are linked by right
	}

	node[K any, A comparable] struct {
		key                 K
		value               A
		sum                 A // aggregate of the subtree
		left, right, parent Handle
		size                int32 // number of elements in the subtree
	}
)

// Len returns the number of elements.
func (t *Tree[K, A]) Len() int {
	if t.root == 0 {
		return 0
	}
	return int(t.nodes[t.root].size)
}

// Sum returns the aggregate of all elements, or the zero value if there is none.
func (t *Tree[K, A]) Sum() (sum A) {
	if t.root != 0 {
		sum = t.nodes[t.root].sum
	}
	return sum
}

// Key returns the key of an element.
func (t *Tree[K, A]) Key(h Handle) K { return t.nodes[h].key }

// Value returns the value of an element.
func (t *Tree[K, A]) Value(h Handle) A { return t.nodes[h].value }

// Insert adds an element.
func (t *Tree[K, A]) Insert(key K, value A) Handle {
	h := t.allocate()
	t.nodes[h] = node[K, A]{key: key, value: value, sum: value, size: 1}
	if t.root == 0 {
		t.root = h
		return h
	}
	n := t.root
	for {
		at := &t.nodes[n]
		next := &at.right
		if t.Compare(key, at.key) < 0 {
			next = &at.left
		}
		if *next == 0 {
			*next = h
			break
		}
		n = *next
	}
	t.nodes[h].parent = n
	t.rebalance(n)
	return h
}

// Remove removes an element. Its handle may be reused by the next insertion.
func (t *Tree[K, A]) Remove(h Handle) {
	n := t.nodes[h]
	from := n.parent
	switch {
	case n.left == 0:
		t.replace(h, n.right)
	case n.right == 0:
		t.replace(h, n.left)
	default:
		next := n.right
		for t.nodes[next].left != 0 {
			next = t.nodes[next].left
		}
		from = next
		if next != n.right {
			from = t.nodes[next].parent
			t.replace(next, t.nodes[next].right)
			t.setRight(next, t.nodes[h].right)
		}
		t.setLeft(next, n.left)
		t.replace(h, next)
	}
	t.nodes[h] = node[K, A]{right: t.free}
	t.free = h
	t.rebalance(from)
}

// Update replaces the value of an element.
func (t *Tree[K, A]) Update(h Handle, value A) {
	if t.nodes[h].value == value {
		return
	}
	t.nodes[h].value = value
	for n := h; n != 0; n = t.nodes[n].parent {
		former := t.nodes[n].sum
		if t.aggregate(n); t.nodes[n].sum == former {
			return
		}
	}
}

func (t *Tree[K, A]) allocate() Handle {
	if h := t.free; h != 0 {
		t.free = t.nodes[h].right
		return h
	}
	if len(t.nodes) == 0 {
		t.nodes = append(t.nodes, node[K, A]{})
	}
	t.nodes = append(t.nodes, node[K, A]{})
	return Handle(len(t.nodes) - 1)
}

// rebalance restores balance and aggregates from an element up to the root.
func (t *Tree[K, A]) rebalance(n Handle) {
	for n != 0 {
		left, right := t.nodes[n].left, t.nodes[n].right
		switch {
		case t.weight(right) > maxWeightRatio*t.weight(left):
			if t.weight(t.nodes[right].left) >= innerWeightRatio*t.weight(t.nodes[right].right) {
				t.rotateRight(right)
			}
			n = t.rotateLeft(n)
		case t.weight(left) > maxWeightRatio*t.weight(right):
			if t.weight(t.nodes[left].right) >= innerWeightRatio*t.weight(t.nodes[left].left) {
				t.rotateLeft(left)
			}
			n = t.rotateRight(n)
		default:
			t.aggregate(n)
		}
		n = t.nodes[n].parent
	}
}

func (t *Tree[K, A]) weight(n Handle) int32 { return t.nodes[n].size + 1 }

func (t *Tree[K, A]) rotateLeft(n Handle) Handle {
	up := t.nodes[n].right
	t.replace(n, up)
	t.setRight(n, t.nodes[up].left)
	t.setLeft(up, n)
	t.aggregate(n)
	t.aggregate(up)
	return up
}

func (t *Tree[K, A]) rotateRight(n Handle) Handle {
	up := t.nodes[n].left
	t.replace(n, up)
	t.setLeft(n, t.nodes[up].right)
	t.setRight(up, n)
	t.aggregate(n)
	t.aggregate(up)
	return up
}

// replace puts the subtree by in the place of the subtree n below n's parent.
func (t *Tree[K, A]) replace(n, by Handle) {
	parent := t.nodes[n].parent
	switch {
	case parent == 0:
		t.root = by
	case t.nodes[parent].left == n:
		t.nodes[parent].left = by
	default:
		t.nodes[parent].right = by
	}
	if by != 0 {
		t.nodes[by].parent = parent
	}
}

func (t *Tree[K, A]) setLeft(n, child Handle) {
	if t.nodes[n].left = child; child != 0 {
		t.nodes[child].parent = n
	}
}

func (t *Tree[K, A]) setRight(n, child Handle) {
	if t.nodes[n].right = child; child != 0 {
		t.nodes[child].parent = n
	}
}

// aggregate computes the size and the aggregate of a subtree from those of its children.
func (t *Tree[K, A]) aggregate(h Handle) {
	n := &t.nodes[h]
	n.size, n.sum = 1, n.value
	if n.left != 0 {
		left := &t.nodes[n.left]
		n.size, n.sum = n.size+left.size, t.Merge(left.sum, n.sum)
	}
	if n.right != 0 {
		right := &t.nodes[n.right]
		n.size, n.sum = n.size+right.size, t.Merge(n.sum, right.sum)
	}
}
