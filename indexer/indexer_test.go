package indexer

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/timer"
)

type element struct {
	key, value int
	handle     Handle
}

func newTree() *Tree[int, int] {
	return &Tree[int, int]{Compare: func(a, b int) int { return a - b }, Merge: func(a, b int) int { return max(a, b) }}
}

// depth returns the depth of the subtree n, and checks balance, sizes and links.
func depth(t *testing.T, tree *Tree[int, int], n Handle) int {
	if n == 0 {
		return 0
	}
	at := tree.nodes[n]
	for _, child := range []Handle{at.left, at.right} {
		if child != 0 && tree.nodes[child].parent != n {
			t.Fatalf("got parent %d of %d, want %d", tree.nodes[child].parent, child, n)
		}
	}
	if l, r := tree.weight(at.left), tree.weight(at.right); max(l, r) > maxWeightRatio*min(l, r) {
		t.Fatalf("got weights %d and %d below one element, want a ratio up to %d", l, r, maxWeightRatio)
	}
	if got, want := at.size, tree.nodes[at.left].size+tree.nodes[at.right].size+1; got != want {
		t.Fatalf("got size %d, want %d", got, want)
	}
	return 1 + max(depth(t, tree, at.left), depth(t, tree, at.right))
}

// TestTree guards against searches, sums and orders that differ from those of a sorted slice after any sequence of changes,
// and against a tree that degenerates.
func TestTree(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	tree := newTree()
	var want []element
	for step := range 20_000 {
		switch target := 10 + 400*(step/4000%2); {
		case len(want) == 0 || r.IntN(2*target) >= len(want):
			e := element{key: r.IntN(200), value: r.IntN(100)}
			e.handle = tree.Insert(e.key, e.value)
			i, _ := slices.BinarySearchFunc(want, e.key, func(o element, key int) int {
				if o.key <= key {
					return -1
				}
				return 1
			})
			want = slices.Insert(want, i, e)
		case r.IntN(3) == 0:
			e := &want[r.IntN(len(want))]
			e.value = r.IntN(100)
			tree.Update(e.handle, e.value)
		default:
			i := r.IntN(len(want))
			tree.Remove(want[i].handle)
			want = slices.Delete(want, i, i+1)
		}
		checkSearches(t, r, tree, want)
		if step%100 == 0 {
			checkOrder(t, tree, want)
		}
	}
}

func checkSearches(t *testing.T, r *rand.Rand, tree *Tree[int, int], elements []element) {
	least, parity, bound := r.IntN(100), r.IntN(2), r.IntN(200)
	var first, last, seek Handle
	var sum, sumBefore int
	for _, e := range elements {
		sum = max(sum, e.value)
		fits := e.value >= least && e.key%2 == parity
		if fits && e.key >= bound && first == 0 {
			first = e.handle
		}
		if fits && e.key <= bound {
			last = e.handle
		}
		if e.key >= bound && seek == 0 {
			seek = e.handle
		}
		if e.key < bound {
			sumBefore = max(sumBefore, e.value)
		}
	}
	from, until := func(k int) bool { return k >= bound }, func(k int) bool { return k <= bound }
	fits, passes := func(v int) bool { return v >= least }, func(k int) bool { return k%2 == parity }
	cases := []struct {
		name      string
		got, want int
	}{
		{"first that fits", int(tree.FirstFit(from, fits, passes)), int(first)},
		{"last that fits", int(tree.LastFit(until, fits, passes)), int(last)},
		{"seek", int(tree.Seek(from)), int(seek)},
		{"sum", tree.Sum(), sum},
		{"sum before", tree.SumBefore(bound), sumBefore},
		{"length", tree.Len(), len(elements)},
	}
	for _, c := range cases {
		if c.got != c.want {
			t.Fatalf("%s: got %d, want %d", c.name, c.got, c.want)
		}
	}
}

func checkOrder(t *testing.T, tree *Tree[int, int], want []element) {
	if got := depth(t, tree, tree.root); got > 24 {
		t.Fatalf("got depth %d, want at most 24", got)
	}
	h, previous := tree.First(), Handle(0)
	for i, e := range want {
		if h != e.handle || tree.At(i) != h || tree.Previous(h) != previous || tree.Key(h) != e.key || tree.Value(h) != e.value {
			t.Fatalf("got element %d at %d, want %d", h, i, e.handle)
		}
		h, previous = tree.Next(h), h
	}
	if h != 0 || tree.At(len(want)) != 0 {
		t.Fatalf("got element %d after the last one, want none", h)
	}
}

// TestQueue guards against an order, sums of work or deadlines that differ from those of a sorted slice.
func TestQueue(t *testing.T) {
	type queued struct {
		service string
		rank    int
		due     timer.Millis
		work    float64
		handle  Handle
	}
	r := rand.New(rand.NewPCG(3, 4))
	before := func(o, e queued) bool { return o.rank < e.rank || o.rank == e.rank && o.due <= e.due }
	var q Queue[int]
	var want []queued
	for step := range 5000 {
		e := queued{[]string{"a", "b", "c"}[r.IntN(3)], r.IntN(3), timer.Millis(r.IntN(20)), float64(r.IntN(1000)), 0}
		switch {
		case r.IntN(60) >= len(want):
			e.handle = q.Insert(step, e.service, e.rank, e.due, e.work)
			i := 0
			for i < len(want) && before(want[i], e) {
				i++
			}
			want = slices.Insert(want, i, e)
		case r.IntN(3) == 0:
			o := &want[r.IntN(len(want))]
			o.work = e.work
			q.SetWork(o.handle, e.work)
		default:
			i := r.IntN(len(want))
			q.Remove(want[i].handle)
			want = slices.Delete(want, i, i+1)
		}
		var work, workBefore float64
		waiting := 0
		var due timer.Millis
		found := false
		h := q.First()
		for _, o := range want {
			if o.handle != h {
				t.Fatalf("got element %d, want %d", h, o.handle)
			}
			h = q.Next(h)
			if !found && o.rank == e.rank {
				due, found = o.due, true
			}
			if o.service != e.service {
				continue
			}
			work, waiting = work+o.work, waiting+1
			if before(o, e) {
				workBefore += o.work
			}
		}
		if got := q.WorkBefore(e.service, e.rank, e.due); got != workBefore || q.Work(e.service) != work {
			t.Fatalf("got work %v of %v, want %v of %v", got, q.Work(e.service), workBefore, work)
		}
		if got, ok := q.EarliestDeadline(e.rank); ok != found || ok && got != due {
			t.Fatalf("got earliest deadline %d, %v, want %d, %v", got, ok, due, found)
		}
		if q.Len() != len(want) || q.LenOf(e.service) != waiting {
			t.Fatalf("got length %d, %d of the service, want %d, %d", q.Len(), q.LenOf(e.service), len(want), waiting)
		}
	}
}

// TestAllocations guards against garbage for each change in a steady state.
func TestAllocations(t *testing.T) {
	var q Queue[int]
	var handles []Handle
	for i := range 1000 {
		handles = append(handles, q.Insert(i, "a", i%3, timer.Millis(i%50), 1))
	}
	i := 0
	got := testing.AllocsPerRun(5000, func() {
		h := &handles[i%len(handles)]
		q.SetWork(*h, 2)
		q.Remove(*h)
		*h = q.Insert(i, "a", i%3, timer.Millis(i%70), 1)
		q.WorkBefore("a", 1, 30)
		q.EarliestDeadline(2)
		i++
	})
	if got != 0 {
		t.Errorf("got %v allocations for each change, want 0", got)
	}
}

// BenchmarkQueue measures a removal, an insertion and a sum of work with 5,000 elements.
func BenchmarkQueue(b *testing.B) {
	var q Queue[int]
	r := rand.New(rand.NewPCG(5, 6))
	var handles []Handle
	for i := range 5000 {
		handles = append(handles, q.Insert(i, "a", r.IntN(3), timer.Millis(r.IntN(1000)), 1))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		h := &handles[i%len(handles)]
		q.Remove(*h)
		*h = q.Insert(i, "a", i%3, timer.Millis(i*7919%1000), 1)
		q.WorkBefore("a", 1, 500)
	}
}
