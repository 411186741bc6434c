package marshaler

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strings"
)

// SortedByKey iterates over a map in key order, so that decisions do not depend on Go's random map iteration order. The loop
// body may delete entries; deleted ones are not visited.
func SortedByKey[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, key := range slices.Sorted(maps.Keys(m)) {
			if v, ok := m[key]; ok && !yield(key, v) {
				return
			}
		}
	}
}

// SortedRunKeys returns the sorted keys of a map of runs.
func SortedRunKeys[V any](m map[RunKey]V) []RunKey {
	return slices.SortedFunc(maps.Keys(m), RunKey.Compare)
}

// Compare orders runs by job, task index and attempt.
func (r RunKey) Compare(o RunKey) int {
	return cmp.Or(strings.Compare(r.Job, o.Job), cmp.Compare(r.Index, o.Index), cmp.Compare(r.Attempt, o.Attempt))
}
