// Package router holds the routing configuration of jobs: which queue a request belongs to, which service runs its
// tasks, and which failure domains are withdrawn. Snapshots are immutable, and their versions and offsets never
// decrease.
package router

import (
	"maps"
	"slices"
	"strings"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	// defaultAttempts applies to queues whose configuration does not set the number of attempts.
	defaultAttempts = 1
	// defaultStretch applies to queues whose configuration does not set the ratio.
	defaultStretch = 2.0
)

type (
	// Queue is a route for jobs: requests to a host with a path prefix, and the service that runs their tasks.
	Queue struct {
		Name         string
		Host         string
		URLPrefix    string // path prefix, ends in a slash
		Service      string
		Priority     uint64 // 0 is the highest priority
		AttemptLimit uint64 // number of failed attempts of one task after which the job fails; 0 means 1
		// Stretch and ResponseAllowance determine the response time that callers expect: Stretch times the duration of the
		// critical path, plus ResponseAllowance.
		Stretch           float64
		ResponseAllowance timer.Millis
		// Timeout is the time limit of a request; 0 means none. Callers usually wait at least as long.
		Timeout timer.Millis
		// UsesAdvice is set if an advice service selects the backend servers that may run a step. Such queues are not
		// supported.
		UsesAdvice bool
	}

	// Service is a group of equivalent backend servers.
	Service struct {
		Name string
		// EnforcesCapacity is set if the backend servers reject requests that exceed their capacity.
		EnforcesCapacity bool
		// Standby is set if the backend servers are switched off.
		Standby bool
	}

	// Limits are the maximum sizes of callers' requests.
	Limits struct {
		HeaderBytesLimit uint64
		BodyBytesLimit   uint64
	}

	// Snapshot is the configuration at an offset of the store. The zero value has no configuration.
	Snapshot struct {
		// Offset is the offset in the store up to which changes are included.
		Offset uint64
		// Version is the version number assigned by the operator; 0 means that there is no configuration yet.
		Version  uint64
		Limits   Limits
		queues   []Queue
		services map[string]Service
		// withdrawn contains the failure domains that are not assigned new tasks.
		withdrawn map[string]bool
	}

	// Change lists the names of the queues that were added, changed and withdrawn.
	Change struct{ Added, Changed, Withdrawn []string }
)

// Queues returns the queues in the order in which Match tries them. The result must not be modified.
func (s *Snapshot) Queues() []Queue { return s.queues }

// Service returns the service with the given name.
func (s *Snapshot) Service(name string) (Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// DomainWithdrawn reports whether a failure domain is withdrawn, so that no new tasks are assigned to it.
func (s *Snapshot) DomainWithdrawn(domain string) bool { return s.withdrawn[domain] }

// WithdrawnDomains returns the withdrawn failure domains in sorted order.
func (s *Snapshot) WithdrawnDomains() []string { return slices.Sorted(maps.Keys(s.withdrawn)) }

// Match returns the queue of the host with the longest matching path prefix, and the rest of the path.
func (s *Snapshot) Match(host, path string) (q Queue, rest string, ok bool) {
	for i := range s.queues {
		if s.queues[i].Host == host && strings.HasPrefix(path, s.queues[i].URLPrefix) {
			return s.queues[i], path[len(s.queues[i].URLPrefix):], true
		}
	}
	return q, "", false
}

// WithConfiguration returns a copy of s with another version of the queues, services and limits. If the version is
// older, it returns s unchanged.
func (s Snapshot) WithConfiguration(version uint64, queues []Queue, services []Service, limits Limits) Snapshot {
	if version < s.Version {
		return s
	}
	s.Version, s.Limits = version, limits
	s.queues = slices.Clone(queues)
	for i := range s.queues {
		q := &s.queues[i]
		if q.AttemptLimit == 0 {
			q.AttemptLimit = defaultAttempts
		}
		if q.Stretch <= 0 {
			q.Stretch = defaultStretch
		}
	}
	// Sorted by descending length, so that the first match has the longest prefix.
	slices.SortStableFunc(s.queues, func(a, b Queue) int { return len(b.URLPrefix) - len(a.URLPrefix) })
	s.services = make(map[string]Service, len(services))
	for _, v := range services {
		s.services[v.Name] = v
	}
	return s
}

// WithDomain returns a copy of s in which a failure domain is withdrawn or returned to service.
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

// WithOffset returns a copy of s with a later offset. If the offset is not later, it returns s unchanged.
func (s Snapshot) WithOffset(offset uint64) Snapshot {
	s.Offset = max(s.Offset, offset)
	return s
}

// ChangesSince returns the differences between the queues of an older snapshot and those of s.
func (s *Snapshot) ChangesSince(older *Snapshot) Change {
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
