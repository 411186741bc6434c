package placer

import (
	"cmp"
	"math"
	"slices"

	"github.com/crocuslb/crocuslb/indexer"
	"github.com/crocuslb/crocuslb/marshaler"
)

const (
	// maxWorkerCapacity bounds the capacity of one worker in millicores times thousandths of speed, so that the sum over
	// 9,000 workers does not overflow.
	maxWorkerCapacity = 1e15
)

// noResources are the free resources of a worker that may get no task at present. No request fits.
var noResources = marshaler.Resources{CPU: math.MinInt64, MemoryMB: math.MinInt64, Accelerators: math.MinInt64}

type (
	// workerKey orders workers by speed, fastest first, then by name.
	workerKey struct {
		speed float64
		w     *worker
	}

	// workerTree holds workers with the resources that they offer.
	workerTree = indexer.Tree[workerKey, marshaler.Resources]

	// workerGroup holds workers by failure domain. The zero value is ready to use.
	workerGroup struct{ domains []domainTree }

	domainTree struct {
		domain string
		tree   *workerTree
	}

	// serviceIndex indexes the workers of a service.
	serviceIndex struct {
		tally  tally
		all    workerGroup
		kinds  []*workerKind // by usual speed
		slow   workerTree    // the accepting workers that are slow, with all their free resources
		sizes  sizeCounts
		labels map[string]*labelIndex
		unfit  unfitSize
	}

	// unfitSize is a size of tasks that fits on no worker at present. Without it, requests that wait for different resources
	// on different workers would each search most of the tree, since an aggregate fits them where no worker does.
	unfitSize struct {
		resources marshaler.Resources
		known     bool
	}

	// labelIndex indexes the workers of a service that have a label. The group is nil until a request names the label.
	labelIndex struct {
		sizes sizeCounts
		group *workerGroup
	}

	// sizeCounts counts workers by capacity. Fleets have few different capacities.
	sizeCounts []sizeCount

	sizeCount struct {
		total marshaler.Resources
		count int
	}

	// tally is a sum over workers.
	tally struct {
		workers, accepting int
		open, slow         int   // accepting ones with an open breaker, and slow ones with a closed one
		freeCPU            int64 // of the accepting ones
		capacity           int64 // of the accepting ones with a closed breaker, in millicores times thousandths of speed
		usable             int64 // capacity of those that are not slow, which get more than single probes
	}

	// place is the place of a worker in a tree.
	place struct {
		tree   *workerTree
		handle indexer.Handle
	}

	// indexed is what the indexes hold about a worker. The service is nil for a removed worker.
	indexed struct {
		service *serviceIndex
		places  []place
		speed   indexer.Handle // in the placer's speeds
		// kindSpeed is the place in the speeds of the kind, and slow the one among the slow workers of the service.
		kindSpeed indexer.Handle
		slow      place
		tally     tally
		open      bool // listed among the open breakers
		// probeDue is whether an open breaker is due for a probe.
		probeDue bool
	}
)

func compareWorkers(a, b workerKey) int {
	if a.speed != b.speed {
		return cmp.Compare(b.speed, a.speed)
	}
	return cmp.Compare(a.w.name, b.w.name)
}

func maxResources(a, b marshaler.Resources) marshaler.Resources {
	return marshaler.Resources{CPU: max(a.CPU, b.CPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), Accelerators: max(a.Accelerators, b.Accelerators)}
}

// indexWorker adds a worker to the indexes of its service.
func (p *Placer) indexWorker(w *worker) {
	if p.services == nil {
		p.services = map[string]*serviceIndex{}
	}
	s := p.services[w.service]
	if s == nil {
		s = &serviceIndex{labels: map[string]*labelIndex{}, slow: workerTree{Compare: compareWorkers, Merge: maxResources}}
		p.services[w.service] = s
	}
	w.indexed.service = s
	s.sizes.add(w.total, 1)
	w.indexed.places = append(w.indexed.places, s.all.insert(w))
	s.addToKind(p, w)
	for i, label := range w.labels {
		if slices.Index(w.labels, label) < i {
			continue
		}
		l := s.labels[label]
		if l == nil {
			l = &labelIndex{}
			s.labels[label] = l
		}
		l.sizes.add(w.total, 1)
		if l.group != nil {
			w.indexed.places = append(w.indexed.places, l.group.insert(w))
		}
	}
	p.updateIndex(w)
}

// unindexWorker removes a worker from the indexes of its service.
func (p *Placer) unindexWorker(w *worker) {
	s := w.indexed.service
	if s == nil {
		return
	}
	for _, place := range w.indexed.places {
		place.tree.Remove(place.handle)
	}
	for i, label := range w.labels {
		if slices.Index(w.labels, label) < i {
			continue
		}
		if l := s.labels[label]; l.sizes.add(w.total, -1) == 0 {
			delete(s.labels, label)
		}
	}
	p.speeds.remove(&w.indexed.speed)
	s.removeFromKind(p, w)
	if w.indexed.slow.handle != 0 {
		s.slow.Remove(w.indexed.slow.handle)
	}
	s.tally.replace(w.indexed.tally, tally{})
	if s.sizes.add(w.total, -1) == 0 {
		delete(p.services, w.service)
	}
	w.indexed = indexed{open: w.indexed.open}
}

// updateIndex brings the indexes in line with the worker's state. Call it after each change of that state.
func (p *Placer) updateIndex(w *worker) {
	s := w.indexed.service
	if s == nil {
		return
	}
	if w.accepting {
		p.updateSlow(w)
	}
	w.indexed.probeDue = p.placedAt >= w.breaker.probeAt
	p.speeds.update(w, &w.indexed.speed)
	w.kind.speeds.update(w, &w.indexed.kindSpeed)
	p.updateSlowPlace(s, w)
	offered := p.offered(w)
	if offered.Contains(s.unfit.resources) {
		s.unfit.known = false
	}
	for i := range w.indexed.places {
		w.indexed.places[i].update(w, offered)
	}
	t := w.tally()
	s.tally.replace(w.indexed.tally, t)
	w.indexed.tally = t
}

// updateSlowPlace adds, updates or removes a worker among the slow ones. There it offers all its free resources, also while
// it is busy.
func (p *Placer) updateSlowPlace(s *serviceIndex, w *worker) {
	free := noResources
	if w.breakerAllows(p.placedAt) {
		free = w.free
	}
	at := &w.indexed.slow
	switch {
	case w.accepting && w.slow && at.handle != 0:
		at.update(w, free)
	case w.accepting && w.slow:
		*at = place{&s.slow, s.slow.Insert(workerKey{w.speed, w}, free)}
	case at.handle != 0:
		s.slow.Remove(at.handle)
		*at = place{}
	}
}

// covers reports whether tasks of a size are known to fit on no worker.
func (u unfitSize) covers(resources marshaler.Resources) bool {
	return u.known && resources.Contains(u.resources)
}

// offered returns the free resources of a worker if it may get a task now, and noResources otherwise.
func (p *Placer) offered(w *worker) marshaler.Resources {
	if !w.accepting || !w.breakerAllows(p.placedAt) || w.slow && w.busy() {
		return noResources
	}
	return w.free
}

func (w *worker) tally() tally {
	t := tally{workers: 1}
	if !w.accepting {
		return t
	}
	t.accepting, t.freeCPU = 1, w.free.CPU
	if w.breaker.open {
		t.open = 1
		return t
	}
	t.capacity = int64(min(float64(w.total.CPU)*max(w.speed, 1), maxWorkerCapacity))
	if w.slow {
		t.slow = 1
		return t
	}
	t.usable = t.capacity
	return t
}

// replace replaces the share of one worker.
func (t *tally) replace(former, current tally) {
	t.workers += current.workers - former.workers
	t.accepting += current.accepting - former.accepting
	t.open += current.open - former.open
	t.slow += current.slow - former.slow
	t.freeCPU += current.freeCPU - former.freeCPU
	t.capacity += current.capacity - former.capacity
	t.usable += current.usable - former.usable
}

func (g *workerGroup) insert(w *worker) place {
	i := slices.IndexFunc(g.domains, func(d domainTree) bool { return d.domain == w.domain })
	if i < 0 {
		i = slices.IndexFunc(g.domains, func(d domainTree) bool { return d.tree.Len() == 0 })
		if i < 0 {
			i = len(g.domains)
			g.domains = append(g.domains, domainTree{tree: &workerTree{Compare: compareWorkers, Merge: maxResources}})
		}
		g.domains[i].domain = w.domain
	}
	tree := g.domains[i].tree
	return place{tree, tree.Insert(workerKey{w.speed, w}, noResources)}
}

func (l *place) update(w *worker, offered marshaler.Resources) {
	if l.tree.Key(l.handle).speed == w.speed {
		l.tree.Update(l.handle, offered)
		return
	}
	l.tree.Remove(l.handle)
	l.handle = l.tree.Insert(workerKey{w.speed, w}, offered)
}

// add changes the number of workers with a capacity and returns the number of different capacities.
func (c *sizeCounts) add(total marshaler.Resources, n int) int {
	i := slices.IndexFunc(*c, func(s sizeCount) bool { return s.total == total })
	if i < 0 {
		i = len(*c)
		*c = append(*c, sizeCount{total: total})
	}
	if (*c)[i].count += n; (*c)[i].count == 0 {
		*c = slices.Delete(*c, i, i+1)
	}
	return len(*c)
}

// group returns the workers of a service that have a label, or all of them for an empty label. It is nil if there are none.
func (p *Placer) group(s *serviceIndex, label string) *workerGroup {
	if label == "" {
		return &s.all
	}
	l := s.labels[label]
	if l == nil {
		return nil
	}
	if l.group == nil {
		l.group = &workerGroup{}
		for _, w := range p.workersByName {
			if w.indexed.service == s && slices.Contains(w.labels, label) {
				w.indexed.places = append(w.indexed.places, l.group.insert(w))
				p.updateIndex(w)
			}
		}
	}
	return l.group
}

// serves reports whether a service has workers, and whether one of them that has a request's label is large enough for its
// tasks if all its resources are free.
func (p *Placer) serves(r *request) (service, fits bool) {
	s := p.services[r.service]
	if s == nil {
		return false, false
	}
	sizes := s.sizes
	if label := r.constraints.label; label != "" {
		l := s.labels[label]
		if l == nil {
			return true, false
		}
		sizes = l.sizes
	}
	return true, slices.ContainsFunc(sizes, func(c sizeCount) bool { return c.total.Contains(r.resources) })
}

// tallyOf returns the sum over the workers of a service.
func (p *Placer) tallyOf(service string) tally {
	if s := p.services[service]; s != nil {
		return s.tally
	}
	return tally{}
}
