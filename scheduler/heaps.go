package scheduler

// Len implements heap.Interface.
func (h jobHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h jobHeap) Less(i, j int) bool { return h[i].rank < h[j].rank }

// Swap implements heap.Interface.
func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.index = len(*h)
	*h = append(*h, j)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return j
}

// Len implements heap.Interface.
func (h teamQueueHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h teamQueueHeap) Less(i, j int) bool {
	if h[i].orderedFinish != h[j].orderedFinish {
		return h[i].orderedFinish < h[j].orderedFinish
	}
	return h[i].jobs[0].rank < h[j].jobs[0].rank
}

// Swap implements heap.Interface.
func (h teamQueueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *teamQueueHeap) Push(x any) {
	tq := x.(*teamQueue)
	tq.index = len(*h)
	*h = append(*h, tq)
}

// Pop implements heap.Interface.
func (h *teamQueueHeap) Pop() any {
	old := *h
	tq := old[len(old)-1]
	old[len(old)-1] = nil
	tq.index = -1
	*h = old[:len(old)-1]
	return tq
}

// Len implements heap.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }

// Swap implements heap.Interface.
func (h expiryHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiryItem)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
