package indexer

// First returns the first element in order.
func (t *Tree[K, A]) First() Handle {
	h := t.root
	for h != 0 && t.nodes[h].left != 0 {
		h = t.nodes[h].left
	}
	return h
}

// Next returns the element after another one.
func (t *Tree[K, A]) Next(h Handle) Handle {
	if n := t.nodes[h].right; n != 0 {
		for t.nodes[n].left != 0 {
			n = t.nodes[n].left
		}
		return n
	}
	parent := t.nodes[h].parent
	for parent != 0 && t.nodes[parent].right == h {
		h, parent = parent, t.nodes[parent].parent
	}
	return parent
}

// Previous returns the element before another one.
func (t *Tree[K, A]) Previous(h Handle) Handle {
	if n := t.nodes[h].left; n != 0 {
		for t.nodes[n].right != 0 {
			n = t.nodes[n].right
		}
		return n
	}
	parent := t.nodes[h].parent
	for parent != 0 && t.nodes[parent].left == h {
		h, parent = parent, t.nodes[parent].parent
	}
	return parent
}

// At returns the element with i elements before it.
func (t *Tree[K, A]) At(i int) Handle {
	h := t.root
	for h != 0 {
		n := &t.nodes[h]
		switch before := int(t.nodes[n.left].size); {
		case i < before:
			h = n.left
		case i == before:
			return h
		default:
			h, i = n.right, i-before-1
		}
	}
	return 0
}

// Seek returns the first element for which from holds. If from holds for an element, it must hold for all later ones.
func (t *Tree[K, A]) Seek(from func(K) bool) (found Handle) {
	h := t.root
	for h != 0 {
		n := &t.nodes[h]
		if from(n.key) {
			found, h = h, n.left
		} else {
			h = n.right
		}
	}
	return found
}

// SumBefore returns the aggregate of the elements whose keys are ordered before a key, or the zero value if there is none.
func (t *Tree[K, A]) SumBefore(key K) (sum A) {
	started := false
	add := func(a A) {
		if started {
			a = t.Merge(sum, a)
		}
		sum, started = a, true
	}
	h := t.root
	for h != 0 {
		n := &t.nodes[h]
		if t.Compare(n.key, key) >= 0 {
			h = n.left
			continue
		}
		if n.left != 0 {
			add(t.nodes[n.left].sum)
		}
		add(n.value)
		h = n.right
	}
	return sum
}

// FirstFit returns the first element from a key on whose value fits and which passes the filter. A nil from starts at the
// first element. If from holds for a key, it must hold for all later ones. If an aggregate does not fit, then no value of
// its elements may fit.
func (t *Tree[K, A]) FirstFit(from func(K) bool, fits func(A) bool, passes func(K) bool) Handle {
	return t.firstFit(t.root, from, fits, passes)
}

func (t *Tree[K, A]) firstFit(h Handle, from func(K) bool, fits func(A) bool, passes func(K) bool) Handle {
	for h != 0 {
		n := &t.nodes[h]
		if !fits(n.sum) {
			return 0
		}
		if from != nil && !from(n.key) {
			h = n.right
			continue
		}
		if n.left != 0 {
			if found := t.firstFit(n.left, from, fits, passes); found != 0 {
				return found
			}
		}
		if (n.size == 1 || fits(n.value)) && passes(n.key) {
			return h
		}
		h, from = n.right, nil
	}
	return 0
}

// LastFit returns the last element up to a key whose value fits and which passes the filter. If until holds for a key, it
// must hold for all earlier ones. A nil until starts at the last element.
func (t *Tree[K, A]) LastFit(until func(K) bool, fits func(A) bool, passes func(K) bool) Handle {
	return t.lastFit(t.root, until, fits, passes)
}

func (t *Tree[K, A]) lastFit(h Handle, until func(K) bool, fits func(A) bool, passes func(K) bool) Handle {
	for h != 0 {
		n := &t.nodes[h]
		if !fits(n.sum) {
			return 0
		}
		if until != nil && !until(n.key) {
			h = n.left
			continue
		}
		if n.right != 0 {
			if found := t.lastFit(n.right, until, fits, passes); found != 0 {
				return found
			}
		}
		if (n.size == 1 || fits(n.value)) && passes(n.key) {
			return h
		}
		h, until = n.left, nil
	}
	return 0
}
