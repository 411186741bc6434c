package scheduler

import (
	"math/bits"
	"slices"
	"strings"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	// maxLevel is the highest level of a free list. Sidecars with more free slots are kept on it too.
	maxLevel = 63
	// memoryGranularity is the step in MB to which memory requirements are rounded up, so that tasks of similar size
	// share a class. Memory sizes of sidecars are rounded down to it.
	memoryGranularity = 256
)

type (
	// fleet indexes the sidecars so that a placement examines at most one sidecar per shape and failure domain.
	fleet struct {
		byID         map[string]*sidecar
		domains      map[string]*domain
		shapes       []*shape
		classes      map[string]*taskClass
		activeSlots  int        // slots of sidecars whose failure domain is not withdrawn
		openBreakers int        // number of sidecars with an open breaker
		suspended    []*sidecar // sidecars that get no tasks until their suspendedUntil
	}

	domain struct {
		name      string
		withdrawn bool
		index     int // position in the freeLists of every shape
	}

	// shape groups the sidecars that run the same kinds of task and have the same memory.
	shape struct {
		name         string
		kinds        []string
		memoryMB     uint64
		freeLists    []*freeList // by domain index
		sidecarCount int
	}

	// freeList holds the usable sidecars of one shape and failure domain in doubly linked lists by number of free slots.
	// Level 0 holds sidecars that have no free slot but credits left; a task placed there waits at the sidecar.
	freeList struct {
		domain       *domain
		distance     timer.Millis
		occupied     uint64 // bit n is set when level n is not empty
		levels       [maxLevel + 1]*sidecar
		slowLevels   [maxLevel + 1]*sidecar // the same for slow sidecars, see slowThreshold
		slowOccupied uint64
	}

	sidecar struct {
		Sidecar
		domain            *domain
		shape             *shape
		credits           uint32
		running           uint32
		leaving           bool
		suspendedUntil    timer.Millis
		breaker           breaker
		slowdown          float64 // smoothed ratio of run time to the kind's expected run time; 0 if unknown
		slowProbeInterval timer.Millis
		nextSlowProbe     timer.Millis
		probation         bool

		// Position in the free list; level is -1 if the sidecar is not in it.
		level       int
		onSlowLevel bool
		prev, next  *sidecar
	}
)

func (f *fleet) set(d Sidecar) {
	if f.byID == nil {
		f.byID, f.domains, f.classes = map[string]*sidecar{}, map[string]*domain{}, map[string]*taskClass{}
	}
	sc := f.byID[d.ID]
	if sc == nil {
		sc = &sidecar{level: -1}
		f.byID[d.ID] = sc
	} else {
		f.unlink(sc)
		f.countSlots(sc, -1)
		sc.shape.sidecarCount--
	}
	sc.Sidecar, sc.leaving = d, false
	sc.domain = f.domain(d.Domain)
	sc.shape = f.shape(d)
	sc.shape.sidecarCount++
	sc.shape.freeList(sc.domain).distance = d.Latency
	f.countSlots(sc, 1)
	f.update(sc)
}

func (f *fleet) remove(id string) {
	sc := f.byID[id]
	if sc == nil {
		return
	}
	f.unlink(sc)
	f.countSlots(sc, -1)
	sc.shape.sidecarCount--
	f.closeBreaker(sc)
	f.suspended = slices.DeleteFunc(f.suspended, func(other *sidecar) bool { return other == sc })
	delete(f.byID, id)
}

func (f *fleet) countSlots(sc *sidecar, sign int) {
	if !sc.domain.withdrawn {
		f.activeSlots += sign * int(sc.Slots)
	}
}

func (f *fleet) domain(name string) *domain {
	d := f.domains[name]
	if d == nil {
		d = &domain{name: name, index: len(f.domains)}
		f.domains[name] = d
	}
	return d
}

func (f *fleet) setDomain(name string, inForce bool) {
	if f.domains == nil {
		f.byID, f.domains, f.classes = map[string]*sidecar{}, map[string]*domain{}, map[string]*taskClass{}
	}
	d := f.domain(name)
	if d.withdrawn == !inForce {
		return
	}
	for _, sc := range f.byID {
		if sc.domain == d && inForce {
			sc.probation = true
			f.activeSlots += int(sc.Slots)
		} else if sc.domain == d {
			f.activeSlots -= int(sc.Slots)
		}
	}
	d.withdrawn = !inForce
	for _, sc := range f.byID {
		if sc.domain == d {
			f.update(sc)
		}
	}
}

func (f *fleet) shape(d Sidecar) *shape {
	kinds := slices.Clone(d.Kinds)
	slices.Sort(kinds)
	memory := d.MemoryMB / memoryGranularity * memoryGranularity
	name := strings.Join(kinds, "\x00")
	for _, s := range f.shapes {
		if s.name == name && s.memoryMB == memory {
			return s
		}
	}
	s := &shape{name: name, kinds: kinds, memoryMB: memory}
	f.shapes = append(f.shapes, s)
	for _, c := range f.classes {
		if s.fits(c) {
			c.shapes = append(c.shapes, s)
		}
	}
	return s
}

func (s *shape) fits(c *taskClass) bool {
	if c.memoryMB > s.memoryMB && s.memoryMB != 0 {
		return false
	}
	_, ok := slices.BinarySearch(s.kinds, c.kind)
	return ok || len(s.kinds) == 0
}

func (s *shape) freeList(d *domain) *freeList {
	for len(s.freeLists) <= d.index {
		s.freeLists = append(s.freeLists, nil)
	}
	if s.freeLists[d.index] == nil {
		s.freeLists[d.index] = &freeList{domain: d}
	}
	return s.freeLists[d.index]
}

// classOf returns the class of tasks of the kind and memory requirement, and creates it if needed. Sidecars that declare
// no memory size fit every requirement.
func (f *fleet) classOf(kind string, memoryMB uint64) *taskClass {
	memory := (memoryMB + memoryGranularity - 1) / memoryGranularity * memoryGranularity
	if memory == 0 {
		if c := f.classes[kind]; c != nil {
			return c
		}
	}
	name := kind
	if memory != 0 {
		name = kind + "\x00" + timer.Millis(memory).String()
	}
	c := f.classes[name]
	if c == nil {
		if f.classes == nil {
			f.byID, f.domains, f.classes = map[string]*sidecar{}, map[string]*domain{}, map[string]*taskClass{}
		}
		c = &taskClass{kind: kind, memoryMB: memory}
		for _, s := range f.shapes {
			if s.fits(c) {
				c.shapes = append(c.shapes, s)
			}
		}
		f.classes[name] = c
	}
	return c
}

// pick returns the sidecar for the next task of the class, or nil. It prefers a free slot in the nearest failure domain,
// there on the sidecar with the most free slots. Slow sidecars are used next, if waiting for another one would take
// longer. Credits beyond the free slots, which make the task wait at the sidecar, are spent last.
func (f *fleet) pick(c *taskClass, now, wait, runTime timer.Millis) *sidecar {
	if sc := c.pickFree(false); sc != nil {
		return sc
	}
	if sc := c.pickFree(true); sc != nil && !sc.shouldWait(now, wait, runTime) {
		return sc
	}
	for _, s := range c.shapes {
		for _, fl := range s.freeLists {
			if fl != nil && !fl.domain.withdrawn && fl.levels[0] != nil {
				return fl.levels[0]
			}
		}
	}
	return nil
}

func (c *taskClass) pickFree(slow bool) *sidecar {
	var best *freeList
	top := 0
	for _, s := range c.shapes {
		for _, fl := range s.freeLists {
			if fl == nil || fl.domain.withdrawn {
				continue
			}
			occupied := fl.occupied
			if slow {
				occupied = fl.slowOccupied
			}
			level := bits.Len64(occupied&^1) - 1
			if level < 1 {
				continue
			}
			if best == nil || fl.distance < best.distance || fl.distance == best.distance && level > top {
				best, top = fl, level
			}
		}
	}
	switch {
	case best == nil:
		return nil
	case slow:
		return best.slowLevels[top]
	}
	return best.levels[top]
}

// update moves the sidecar to the level of its free list that matches its state, or removes it if it cannot take a task.
func (f *fleet) update(sc *sidecar) {
	level := sc.usableLevel()
	slow := sc.isSlow()
	if level == sc.level && slow == sc.onSlowLevel {
		return
	}
	f.unlink(sc)
	if level < 0 {
		return
	}
	fl := sc.shape.freeList(sc.domain)
	list, occupied := &fl.levels, &fl.occupied
	if slow {
		list, occupied = &fl.slowLevels, &fl.slowOccupied
	}
	sc.level, sc.onSlowLevel, sc.prev, sc.next = level, slow, nil, list[level]
	if sc.next != nil {
		sc.next.prev = sc
	}
	list[level] = sc
	*occupied |= 1 << level
}

func (f *fleet) unlink(sc *sidecar) {
	if sc.level < 0 {
		return
	}
	fl := sc.shape.freeList(sc.domain)
	list, occupied := &fl.levels, &fl.occupied
	if sc.onSlowLevel {
		list, occupied = &fl.slowLevels, &fl.slowOccupied
	}
	if sc.prev != nil {
		sc.prev.next = sc.next
	} else {
		list[sc.level] = sc.next
	}
	if sc.next != nil {
		sc.next.prev = sc.prev
	}
	if list[sc.level] == nil {
		*occupied &^= 1 << sc.level
	}
	sc.level, sc.prev, sc.next = -1, nil, nil
}

// usableLevel returns the number of free slots up to maxLevel, 0 if the sidecar has credits but no free slot, or -1 if it
// cannot take a task now.
func (sc *sidecar) usableLevel() int {
	if sc.credits == 0 || sc.leaving || sc.suspendedUntil != 0 || !sc.breaker.allows(sc.running) {
		return -1
	}
	slots := sc.Slots
	if sc.probation {
		slots = (slots + 1) / 2
		if sc.running >= slots {
			return -1
		}
	}
	if sc.running >= slots {
		return 0
	}
	return int(min(slots-sc.running, sc.credits, maxLevel))
}
