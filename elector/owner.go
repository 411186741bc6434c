// Package elector determines which entry owns a submission. The roster of entries is derived from records of the
// platform's log, so all processes that have read the same prefix agree on it.
package elector

import (
	"slices"

	"github.com/crocuslb/crocuslb/encoder"
)

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Owner returns the entry that owns the submission key in r, that is, the owner of the key's cell. ok is false if r is
// empty. Incarnations are not part of the hash, so a restarted entry owns the same keys as before.
func Owner(r encoder.Roster, key string) (owner encoder.RosterEntry, ok bool) {
	return cellOwner(r, cellForName(r, key))
}

// Successor returns the entry that will own key if its current owner leaves r. ok is false if there is none.
func Successor(r encoder.Roster, key string) (next encoder.RosterEntry, ok bool) {
	owner, ok := Owner(r, key)
	if !ok {
		return next, false
	}
	rest := encoder.Roster{Epoch: r.Epoch, Entries: make([]encoder.RosterEntry, 0, len(r.Entries))}
	for _, e := range r.Entries {
		if e.Member.ID != owner.Member.ID {
			rest.Entries = append(rest.Entries, e)
		}
	}
	return Owner(rest, key)
}

// FindEntry returns the roster's entry with the given identifier.
func FindEntry(r encoder.Roster, id string) (entry encoder.RosterEntry, ok bool) {
	i := slices.IndexFunc(r.Entries, func(e encoder.RosterEntry) bool { return e.Member.ID == id })
	if i < 0 {
		return entry, false
	}
	return r.Entries[i], true
}

// rendezvousWeight is FNV-1a over both strings with a final mix, because plain FNV-1a distributes similar identifiers
// unevenly.
func rendezvousWeight(id, key string) uint64 {
	h := uint64(fnvOffset)
	for i := 0; i < len(id); i++ {
		h = (h ^ uint64(id[i])) * fnvPrime
	}
	h = (h ^ 0xff) * fnvPrime
	for i := 0; i < len(key); i++ {
		h = (h ^ uint64(key[i])) * fnvPrime
	}
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
