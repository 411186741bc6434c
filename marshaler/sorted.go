package marshaler

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strings"
)

// InOrder visits a map in the order of its keys, so that a core's decisions do not depend on the order of maps.
func InOrder[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, key := range slices.Sorted(maps.Keys(m)) {
			if v, ok := m[key]; ok && !yield(key, v) {
				return
			}
		}
	}
}

// RunsInOrder returns the keys of a map of runs in order.
func RunsInOrder[V any](m map[RunKey]V) []RunKey {
	return slices.SortedFunc(maps.Keys(m), RunKey.Compare)
}

// Compare orders runs by job, task and attempt.
func (r RunKey) Compare(o RunKey) int {
	return cmp.Or(strings.Compare(r.Job, o.Job), cmp.Compare(r.Index, o.Index), cmp.Compare(r.Attempt, o.Attempt))
}
