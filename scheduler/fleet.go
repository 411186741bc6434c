package scheduler

import (
	"math/bits"
	"slices"
	"strings"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	// maxLevel is the highest load level of a shelf; sidecars with more free slots share it.
	maxLevel = 63
	// memoryStep rounds memory needs up, so that tasks of similar size share a class.
	memoryStep = 256
)

type (
	// fleet holds the sidecars, arranged so that a placement looks at no more than one sidecar per shape and failure
	// domain.
	fleet struct {
		byID    map[string]*sidecar
		domains map[string]*domain
		shapes  []*shape
		classes map[string]*class
		slots   int        // slots in force
		cutOff  int        // sidecars with an open breaker
		held    []*sidecar // sidecars left out until a point in time
	}

	domain struct {
		name      string
		withdrawn bool
		index     int // position in a shape's shelves
	}

	// shape is a set of sidecars that run the same kinds and hold the same memory.
	shape struct {
		name     string
		kinds    []string
		memoryMB uint64
		shelves  []*shelf // by domain index
		members  int
	}

	// shelf holds the usable sidecars of one shape and failure domain by number of free slots. Level 0 holds sidecars
	// whose slots are all taken and that have extra credits.
	shelf struct {
		domain   *domain
		distance timer.Millis
		full     uint64 // bit n is set when level n is not empty
		levels   [maxLevel + 1]*sidecar
		slow     [maxLevel + 1]*sidecar // sidecars that run tasks much slower than others
		fullSlow uint64
	}

	sidecar struct {
		Sidecar
		domain    *domain
		shape     *shape
		credits   uint32
		running   uint32
		leaving   bool
		heldUntil timer.Millis
		breaker   breaker
		speed     float64 // run time over the kind's usual run time, smoothed; 0 when unknown
		slowWait  timer.Millis
		slowProbe timer.Millis
		probation bool

		// Position on a shelf; level is -1 when the sidecar is not on one.
		level      int
		onSlow     bool
		prev, next *sidecar
	}
)

func (f *fleet) set(d Sidecar) {
	if f.byID == nil {
		f.byID, f.domains, f.classes = map[string]*sidecar{}, map[string]*domain{}, map[string]*class{}
	}
	sc := f.byID[d.ID]
	if sc == nil {
		sc = &sidecar{level: -1}
		f.byID[d.ID] = sc
	} else {
		f.unshelve(sc)
		f.countSlots(sc, -1)
		sc.shape.members--
	}
	sc.Sidecar, sc.leaving = d, false
	sc.domain = f.domain(d.Domain)
	sc.shape = f.shape(d)
	sc.shape.members++
	sc.shape.shelf(sc.domain).distance = d.Distance
	f.countSlots(sc, 1)
	f.update(sc)
}

func (f *fleet) remove(id string) {
	sc := f.byID[id]
	if sc == nil {
		return
	}
	f.unshelve(sc)
	f.countSlots(sc, -1)
	sc.shape.members--
	f.closeBreaker(sc)
	f.held = slices.DeleteFunc(f.held, func(h *sidecar) bool { return h == sc })
	delete(f.byID, id)
}

func (f *fleet) countSlots(sc *sidecar, sign int) {
	if !sc.domain.withdrawn {
		f.slots += sign * int(sc.Slots)
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
		f.byID, f.domains, f.classes = map[string]*sidecar{}, map[string]*domain{}, map[string]*class{}
	}
	d := f.domain(name)
	if d.withdrawn == !inForce {
		return
	}
	for _, sc := range f.byID {
		if sc.domain == d && inForce {
			sc.probation = true
			f.slots += int(sc.Slots)
		} else if sc.domain == d {
			f.slots -= int(sc.Slots)
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
	memory := d.MemoryMB / memoryStep * memoryStep
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

func (s *shape) fits(c *class) bool {
	if c.memoryMB > s.memoryMB && s.memoryMB != 0 {
		return false
	}
	_, ok := slices.BinarySearch(s.kinds, c.kind)
	return ok || len(s.kinds) == 0
}

func (s *shape) shelf(d *domain) *shelf {
	for len(s.shelves) <= d.index {
		s.shelves = append(s.shelves, nil)
	}
	if s.shelves[d.index] == nil {
		s.shelves[d.index] = &shelf{domain: d}
	}
	return s.shelves[d.index]
}

// classOf returns the class of tasks of the kind and memory. Sidecars that state no memory take every task.
func (f *fleet) classOf(kind string, memoryMB uint64) *class {
	memory := (memoryMB + memoryStep - 1) / memoryStep * memoryStep
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
			f.byID, f.domains, f.classes = map[string]*sidecar{}, map[string]*domain{}, map[string]*class{}
		}
		c = &class{kind: kind, memoryMB: memory}
		for _, s := range f.shapes {
			if s.fits(c) {
				c.shapes = append(c.shapes, s)
			}
		}
		f.classes[name] = c
	}
	return c
}

// pick returns the sidecar for the next task of the class, or nil. A free slot in the nearest failure domain comes
// first; among those, the sidecar with the most free slots. Slow sidecars come next, when waiting for another one would take
// longer. Extra credits, which make the task wait at the sidecar, are spent last.
func (f *fleet) pick(c *class, now, wait, run timer.Millis) *sidecar {
	if sc := c.pickFree(false); sc != nil {
		return sc
	}
	if sc := c.pickFree(true); sc != nil && !sc.worthWaiting(now, wait, run) {
		return sc
	}
	for _, s := range c.shapes {
		for _, sh := range s.shelves {
			if sh != nil && !sh.domain.withdrawn && sh.levels[0] != nil {
				return sh.levels[0]
			}
		}
	}
	return nil
}

func (c *class) pickFree(slow bool) *sidecar {
	var best *shelf
	top := 0
	for _, s := range c.shapes {
		for _, sh := range s.shelves {
			if sh == nil || sh.domain.withdrawn {
				continue
			}
			full := sh.full
			if slow {
				full = sh.fullSlow
			}
			level := bits.Len64(full&^1) - 1
			if level < 1 {
				continue
			}
			if best == nil || sh.distance < best.distance || sh.distance == best.distance && level > top {
				best, top = sh, level
			}
		}
	}
	switch {
	case best == nil:
		return nil
	case slow:
		return best.slow[top]
	}
	return best.levels[top]
}

// update moves the sidecar to the shelf and level that fit its state, or off the shelves when it can take nothing.
func (f *fleet) update(sc *sidecar) {
	level := sc.freeLevel()
	slow := sc.slow()
	if level == sc.level && slow == sc.onSlow {
		return
	}
	f.unshelve(sc)
	if level < 0 {
		return
	}
	sh := sc.shape.shelf(sc.domain)
	list, full := &sh.levels, &sh.full
	if slow {
		list, full = &sh.slow, &sh.fullSlow
	}
	sc.level, sc.onSlow, sc.prev, sc.next = level, slow, nil, list[level]
	if sc.next != nil {
		sc.next.prev = sc
	}
	list[level] = sc
	*full |= 1 << level
}

func (f *fleet) unshelve(sc *sidecar) {
	if sc.level < 0 {
		return
	}
	sh := sc.shape.shelf(sc.domain)
	list, full := &sh.levels, &sh.full
	if sc.onSlow {
		list, full = &sh.slow, &sh.fullSlow
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
		*full &^= 1 << sc.level
	}
	sc.level, sc.prev, sc.next = -1, nil, nil
}

// freeLevel is the number of slots that a task would find free, 0 when only extra credits are left, or -1 when the
// sidecar takes nothing now.
func (sc *sidecar) freeLevel() int {
	if sc.credits == 0 || sc.leaving || sc.heldUntil != 0 || !sc.breaker.allows(sc.running) {
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
