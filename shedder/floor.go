package shedder

import (
	"github.com/crocuslb/crocuslb/forecaster"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// floorShare is the share of its work that a group is served, relative to that of all callers, below which its requests
	// are given up last.
	floorShare = 0.7
	// shareWindow is the time constant of the served shares.
	shareWindow = 3 * timer.Second
	// maxGroups bounds the number of groups of a service. Beyond it, further groups have no floor.
	maxGroups = 1024
)

// Sizes of a request, relative to the mean work of its queue's requests.
const (
	Small  Size = iota // below the mean
	Medium             // up to twice the mean
	Large
)

type (
	// Size is a size band.
	Size uint8

	// Group is a group of requests that must not starve: the requests of a queue, of one size in a queue, or of the callers
	// in a failure domain. Fields that do not define the group are empty.
	Group struct {
		Queue  string
		Domain string
		Size   int // size band plus 1; 0 for all
	}

	// Floor keeps the served share of each group of a service. The zero value is ready to use.
	Floor struct {
		all    share
		groups map[Group]*share
	}

	// share is the work of a group over shareWindow.
	share struct{ arrived, shed forecaster.Sum }
)

var sizeNames = [...]string{Small: "small", Medium: "medium", Large: "large"}

// String returns the name of the size.
func (z Size) String() string { return sizeNames[z] }

// SizeOf returns the size of a request.
func SizeOf(work, meanWork float64) Size {
	switch {
	case work < meanWork || meanWork == 0:
		return Small
	case work <= 2*meanWork:
		return Medium
	}
	return Large
}

// Groups returns the groups of a request.
func Groups(queue, domain string, size Size) [3]Group {
	return [...]Group{{Queue: queue}, {Queue: queue, Size: int(size) + 1}, {Domain: domain}}
}

// Clone returns a copy that shares no memory with f.
func (f *Floor) Clone() Floor {
	c := Floor{all: f.all, groups: make(map[Group]*share, len(f.groups))}
	for g, s := range f.groups {
		copied := *s
		c.groups[g] = &copied
	}
	return c
}

// Arrive counts the work of an arriving request.
func (f *Floor) Arrive(now timer.Millis, groups [3]Group, work float64) {
	f.all.arrived.Add(now, work, shareWindow)
	for _, g := range groups {
		if s := f.group(g); s != nil {
			s.arrived.Add(now, work, shareWindow)
		}
	}
}

// Shed counts the work of a refused request.
func (f *Floor) Shed(now timer.Millis, groups [3]Group, work float64) {
	f.all.shed.Add(now, work, shareWindow)
	for _, g := range groups {
		if s := f.group(g); s != nil {
			s.shed.Add(now, work, shareWindow)
		}
	}
}

// Starving reports whether one of the groups is served too little.
func (f *Floor) Starving(now timer.Millis, groups ...Group) bool {
	limit := f.Reserved(now)
	for _, g := range groups {
		if s := f.groups[g]; s != nil && s.served(now) < limit {
			return true
		}
	}
	return false
}

// Reserved returns the share of its work that each group is served at least.
func (f *Floor) Reserved(now timer.Millis) float64 { return floorShare * f.all.served(now) }

// Served returns the served share of all requests, from 0 to 1.
func (f *Floor) Served(now timer.Millis) float64 { return f.all.served(now) }

// Share returns the served share of a group, from 0 to 1.
func (f *Floor) Share(now timer.Millis, g Group) float64 {
	if s := f.groups[g]; s != nil {
		return s.served(now)
	}
	return 1
}

func (f *Floor) group(g Group) *share {
	s := f.groups[g]
	if s != nil || len(f.groups) >= maxGroups {
		return s
	}
	if f.groups == nil {
		f.groups = map[Group]*share{}
	}
	s = &share{}
	f.groups[g] = s
	return s
}

func (s *share) served(now timer.Millis) float64 {
	arrived := s.arrived.Value(now, shareWindow)
	if arrived <= 0 {
		return 1
	}
	return min(max(1-s.shed.Value(now, shareWindow)/arrived, 0), 1)
}
