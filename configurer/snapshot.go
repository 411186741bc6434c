package configurer

import (
	"slices"
	"strings"
)

const (
	// entryOverhead is an upper bound for the encoded size of an entry in a checkpoint without its key and value: tags,
	// lengths and offset.
	entryOverhead = 24
)

type (
	// Snapshot is the configuration at an offset of the log. It is immutable: its exported methods return modified
	// copies. The zero value is the empty configuration before the first record.
	Snapshot struct {
		offset             uint64
		entries            []versionedEntry // sorted by key
		tombstones         []versionedEntry // withdrawn keys within BaseWindow, sorted by key, without values
		withdrawnDomains   []string         // names of withdrawn domains, sorted
		provisionalDomains []string         // domains withdrawn provisionally, in this process only, sorted
		size               int              // upper bound for the encoded size of entries and tombstones
		edited             bool             // made by With or Without, hence not a state of the log
	}

	versionedEntry struct {
		key, value string
		changedAt  uint64
	}
)

// Offset returns the offset of the first record that is not included in the snapshot. It is 0 for the zero value.
func (s Snapshot) Offset() uint64 { return s.offset }

// Len returns the number of keys.
func (s Snapshot) Len() int { return len(s.entries) }

// Get returns the value of a key. changedAt is the Offset of the first snapshot that includes this value.
func (s Snapshot) Get(key string) (value string, changedAt uint64, ok bool) {
	i, ok := search(s.entries, key)
	if !ok {
		return "", 0, false
	}
	return s.entries[i].value, s.entries[i].changedAt, true
}

// KeysWithPrefix returns the keys with the given prefix in sorted order.
func (s Snapshot) KeysWithPrefix(prefix string) []string {
	var keys []string
	i, _ := search(s.entries, prefix)
	for ; i < len(s.entries) && strings.HasPrefix(s.entries[i].key, prefix); i++ {
		keys = append(keys, s.entries[i].key)
	}
	return keys
}

// DomainInService reports whether tasks may start in the failure domain. Domains without a key are in service.
func (s Snapshot) DomainInService(domain string) bool {
	if len(s.withdrawnDomains) == 0 && len(s.provisionalDomains) == 0 {
		return true
	}
	_, withdrawn := slices.BinarySearch(s.withdrawnDomains, domain)
	_, provisional := slices.BinarySearch(s.provisionalDomains, domain)
	return !withdrawn && !provisional
}

// Team returns the weight and quota of a team. Teams without a key have a weight of 1 and no quota.
func (s Snapshot) Team(name string) Team {
	v, _, ok := s.Get(teamGroup + "/" + name)
	if !ok {
		return Team{Weight: 1}
	}
	t, err := ParseTeam(v)
	if err != nil {
		return Team{Weight: 1}
	}
	return t
}

// WithDomainsWithdrawn returns a copy in which the given domains are withdrawn provisionally, in addition to those withdrawn
// in the log. They replace any previous provisional withdrawals. Get, Apply and checkpoints ignore provisional
// withdrawals, and Apply preserves them.
func (s Snapshot) WithDomainsWithdrawn(domains ...string) Snapshot {
	s.provisionalDomains = slices.Compact(slices.Sorted(slices.Values(domains)))
	return s
}

// WithDomain returns an edited copy in which the domain is in service or withdrawn.
func (s Snapshot) WithDomain(domain string, inService bool) Snapshot {
	if inService {
		return s.With(domainGroup+"/"+domain, domainInService)
	}
	return s.With(domainGroup+"/"+domain, domainWithdrawn)
}

// With returns an edited copy in which key is set to value. Edited copies are intended for Diff; Apply and
// AppendCheckpoint reject them.
func (s Snapshot) With(key, value string) Snapshot {
	s = s.clone()
	s.set(key, value, s.offset)
	s.updateWithdrawnDomains()
	s.edited = true
	return s
}

// Without returns an edited copy without the key.
func (s Snapshot) Without(key string) Snapshot {
	s = s.clone()
	s.remove(key, s.offset)
	s.updateWithdrawnDomains()
	s.edited = true
	return s
}

// Equal reports whether both snapshots are the same state of the log. It ignores provisional withdrawals.
func (s Snapshot) Equal(t Snapshot) bool {
	return s.offset == t.offset && s.edited == t.edited && s.size == t.size &&
		slices.Equal(s.entries, t.entries) && slices.Equal(s.tombstones, t.tombstones) && slices.Equal(s.withdrawnDomains, t.withdrawnDomains)
}

// Diff returns the note that changes the configuration from into to. Its base is the offset of from.
func Diff(from, to Snapshot) Note {
	n := Note{Base: from.offset}
	a, b := from.entries, to.entries
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || len(a) > 0 && a[0].key < b[0].key:
			n.Withdrawn = append(n.Withdrawn, a[0].key)
			a = a[1:]
		case len(a) == 0 || b[0].key < a[0].key:
			n.Added = append(n.Added, Entry{Key: b[0].key, Value: b[0].value})
			b = b[1:]
		default:
			if a[0].value != b[0].value {
				n.Changed = append(n.Changed, Entry{Key: b[0].key, Value: b[0].value})
			}
			a, b = a[1:], b[1:]
		}
	}
	return n
}

// clone returns a copy whose entries and tombstones may be modified in place.
func (s Snapshot) clone() Snapshot {
	s.entries, s.tombstones = slices.Clone(s.entries), slices.Clone(s.tombstones)
	return s
}

// set sets a key in a clone. If the key was withdrawn before, its tombstone is removed.
func (s *Snapshot) set(key, value string, offset uint64) {
	i, ok := search(s.entries, key)
	if ok {
		s.size -= s.entries[i].encodedSizeBound()
		s.entries[i] = versionedEntry{key: key, value: value, changedAt: offset}
	} else {
		s.entries = slices.Insert(s.entries, i, versionedEntry{key: key, value: value, changedAt: offset})
	}
	s.size += s.entries[i].encodedSizeBound()
	if j, ok := search(s.tombstones, key); ok {
		s.size -= s.tombstones[j].encodedSizeBound()
		s.tombstones = slices.Delete(s.tombstones, j, j+1)
	}
}

// remove removes a key from a clone and adds a tombstone for it.
func (s *Snapshot) remove(key string, offset uint64) {
	i, ok := search(s.entries, key)
	if !ok {
		return
	}
	s.size -= s.entries[i].encodedSizeBound()
	s.entries = slices.Delete(s.entries, i, i+1)
	j, _ := search(s.tombstones, key)
	s.tombstones = slices.Insert(s.tombstones, j, versionedEntry{key: key, changedAt: offset})
	s.size += s.tombstones[j].encodedSizeBound()
}

// updateWithdrawnDomains recomputes the list of withdrawn domains from the entries.
func (s *Snapshot) updateWithdrawnDomains() {
	s.withdrawnDomains = nil
	i, _ := search(s.entries, domainGroup+"/")
	for ; i < len(s.entries) && strings.HasPrefix(s.entries[i].key, domainGroup+"/"); i++ {
		if s.entries[i].value == domainWithdrawn {
			s.withdrawnDomains = append(s.withdrawnDomains, s.entries[i].key[len(domainGroup)+1:])
		}
	}
}

func (e versionedEntry) encodedSizeBound() int { return len(e.key) + len(e.value) + entryOverhead }

func search(items []versionedEntry, key string) (int, bool) {
	return slices.BinarySearchFunc(items, key, func(e versionedEntry, k string) int { return strings.Compare(e.key, k) })
}
