// Package router holds the configuration of the path of restartable jobs: which queue a request belongs to, which
// service runs it, and which failure domains are withdrawn. Snapshots are immutable and only move forward.
package router

import (
	"maps"
	"slices"
	"strings"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	// defaultAttempts applies to queues whose configuration names no number of attempts.
	defaultAttempts = 1
	// defaultStretch applies to queues whose configuration names no ratio.
	defaultStretch = 2.0
)

type (
	// Queue is a named entrance for jobs.
	Queue struct {
		Name     string
		Host     string
		Prefix   string // of the path, ends in a slash
		Service  string
		Priority uint64 // 0 comes first
		Attempts uint64 // failed attempts of one task after which its job has failed; 0 means 1
		// Stretch times the longest task, plus Target, is the response time that callers expect.
		Stretch float64
		Target  timer.Millis
		// Advised says that an advice service decides which backend servers may run a step. Such queues are not supported.
		Advised bool
	}

	// Service is a group of interchangeable backend servers.
	Service struct {
		Name string
		// Guarded says that its backend servers refuse what exceeds their room.
		Guarded bool
		// Standby says that its backend servers are switched off.
		Standby bool
	}

	// Limits bound the requests of callers.
	Limits struct {
		HeaderBytes uint64
		BodyBytes   uint64
	}

	// Snapshot is the configuration at one position of the store. The zero value has no configuration.
	Snapshot struct {
		// Offset is the position in the store up to which changes are included.
		Offset uint64
		// Version is the operator's number of the configuration; 0 means that there is none yet.
		Version  uint64
		Limits   Limits
		queues   []Queue
		services map[string]Service
		// withdrawn has the failure domains that get no new work.
		withdrawn map[string]bool
	}

	// Change says what a version added, changed and withdrew, by the names of queues.
	Change struct{ Added, Changed, Withdrawn []string }
)

// Queues returns the queues in the order in which Match tries them. The result must not be changed.
func (s *Snapshot) Queues() []Queue { return s.queues }

// Service returns the service of that name.
func (s *Snapshot) Service(name string) (Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Withdrawn reports whether a failure domain gets no new work.
func (s *Snapshot) Withdrawn(domain string) bool { return s.withdrawn[domain] }

// WithdrawnDomains returns the withdrawn failure domains in order.
func (s *Snapshot) WithdrawnDomains() []string { return slices.Sorted(maps.Keys(s.withdrawn)) }

// Match returns the queue with the longest prefix of the path on the host, and the rest of the path.
func (s *Snapshot) Match(host, path string) (q Queue, rest string, ok bool) {
	for i := range s.queues {
		if s.queues[i].Host == host && strings.HasPrefix(path, s.queues[i].Prefix) {
			return s.queues[i], path[len(s.queues[i].Prefix):], true
		}
	}
	return q, "", false
}

// WithConfiguration returns s with another version of the queues and services. An older version leaves s as it is.
func (s Snapshot) WithConfiguration(version uint64, queues []Queue, services []Service, limits Limits) Snapshot {
	if version < s.Version {
		return s
	}
	s.Version, s.Limits = version, limits
	s.queues = slices.Clone(queues)
	for i := range s.queues {
		q := &s.queues[i]
		if q.Attempts == 0 {
			q.Attempts = defaultAttempts
		}
		if q.Stretch <= 0 {
			q.Stretch = defaultStretch
		}
	}
	// The first match in this order has the longest prefix.
	slices.SortStableFunc(s.queues, func(a, b Queue) int { return len(b.Prefix) - len(a.Prefix) })
	s.services = make(map[string]Service, len(services))
	for _, v := range services {
		s.services[v.Name] = v
	}
	return s
}

// WithDomain returns s with a failure domain withdrawn or returned to service.
func (s Snapshot) WithDomain(domain string, withdrawn bool) Snapshot {
	if s.withdrawn[domain] == withdrawn {
		return s
	}
	s.withdrawn = maps.Clone(s.withdrawn)
	if s.withdrawn == nil {
		s.withdrawn = map[string]bool{}
	}
	if withdrawn {
		s.withdrawn[domain] = true
	} else {
		delete(s.withdrawn, domain)
	}
	return s
}

// WithOffset returns s at a later position of the store.
func (s Snapshot) WithOffset(offset uint64) Snapshot {
	s.Offset = max(s.Offset, offset)
	return s
}

// Since says what differs in the queues since an older snapshot.
func (s *Snapshot) Since(older *Snapshot) Change {
	var c Change
	before := map[string]Queue{}
	for _, q := range older.queues {
		before[q.Name] = q
	}
	for _, q := range s.queues {
		old, ok := before[q.Name]
		switch {
		case !ok:
			c.Added = append(c.Added, q.Name)
		case old != q:
			c.Changed = append(c.Changed, q.Name)
		}
		delete(before, q.Name)
	}
	c.Withdrawn = slices.Sorted(maps.Keys(before))
	return c
}
