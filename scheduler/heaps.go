package scheduler

// Len is part of heap.Interface.
func (h jobHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h jobHeap) Less(i, j int) bool { return h[i].rank < h[j].rank }

// Swap is part of heap.Interface.
func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push is part of heap.Interface.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.index = len(*h)
	*h = append(*h, j)
}

// Pop is part of heap.Interface.
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}

// Len is part of heap.Interface.
func (h laneHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h laneHeap) Less(i, j int) bool {
	if h[i].finish != h[j].finish {
		return h[i].finish < h[j].finish
	}
	return h[i].jobs[0].rank < h[j].jobs[0].rank
}

// Swap is part of heap.Interface.
func (h laneHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push is part of heap.Interface.
func (h *laneHeap) Push(x any) {
	l := x.(*lane)
	l.index = len(*h)
	*h = append(*h, l)
}

// Pop is part of heap.Interface.
func (h *laneHeap) Pop() any {
	old := *h
	l := old[len(old)-1]
	old[len(old)-1] = nil
	l.index = -1
	*h = old[:len(old)-1]
	return l
}

// Len is part of heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less is part of heap.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }

// Swap is part of heap.Interface.
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is part of heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiryItem)) }

// Pop is part of heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
