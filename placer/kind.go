package placer

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/crocuslb/crocuslb/estimator"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// rackLabelPrefix starts the label that names a worker's rack. It says nothing about the worker's speed.
	rackLabelPrefix = "rack"
	// minKindWorkers is the number of workers from which on the median speed of a kind is its usual speed. With fewer, one
	// slow worker would change the median.
	minKindWorkers = 3
	// speedReportInterval is the minimum interval between two reports of the same slow worker, and of the learned run times.
	speedReportInterval = 10 * timer.Second
	// classesPerOctave is the number of capacity classes in which the number of processors doubles.
	classesPerOctave = 2
)

// workerKind is a group of workers with the same service and labels, apart from the rack, and about the same capacity.
type workerKind struct {
	name        string
	workers     workerGroup
	workerCount int
	speeds      speedGroup
	medianSpeed float64 // of its accepting workers; 0 if there are too few
	reference   float64 // usual speed by which its workers are classified; 0 if they are not classified yet
}

// kindName returns the name of the kind of a backend server.
func kindName(b *marshaler.Backend) string {
	labels := slices.DeleteFunc(slices.Clone(b.Labels), func(label string) bool { return strings.HasPrefix(label, rackLabelPrefix) })
	slices.Sort(labels)
	class := math.Round(classesPerOctave * math.Log2(float64(max(b.Capacity.CPU, 1))))
	return fmt.Sprintf("%s %q cpu%.0f acc%d", b.Service, labels, class, b.Capacity.Accelerators)
}

// kindOf returns the kind of a backend server, which is added if it is new.
func (p *Placer) kindOf(b *marshaler.Backend) *workerKind {
	name := kindName(b)
	if p.kinds == nil {
		p.kinds = map[string]*workerKind{}
	}
	if p.kinds[name] == nil {
		p.kinds[name] = &workerKind{name: name, reference: p.medianSpeed}
	}
	return p.kinds[name]
}

// addToKind adds a worker to its kind.
func (s *serviceIndex) addToKind(p *Placer, w *worker) {
	k := w.kind
	if k.workerCount++; k.workerCount == 1 {
		s.kinds = append(s.kinds, k)
		s.sortKinds(p.medianSpeed)
	}
	w.indexed.places = append(w.indexed.places, k.workers.insert(w))
}

// removeFromKind removes a worker from its kind, which is forgotten with its last worker.
func (s *serviceIndex) removeFromKind(p *Placer, w *worker) {
	k := w.kind
	k.speeds.remove(&w.indexed.kindSpeed)
	if k.workerCount--; k.workerCount == 0 {
		s.kinds = slices.DeleteFunc(s.kinds, func(o *workerKind) bool { return o == k })
		delete(p.kinds, k.name)
	}
}

// sortKinds orders the kinds by usual speed, the slowest first.
func (s *serviceIndex) sortKinds(medianSpeed float64) {
	slices.SortFunc(s.kinds, func(a, b *workerKind) int {
		return cmp.Or(cmp.Compare(a.usual(medianSpeed), b.usual(medianSpeed)), strings.Compare(a.name, b.name))
	})
}

// usual returns the usual speed of a kind: its median, or that of all workers if the kind has too few.
func (k *workerKind) usual(medianSpeed float64) float64 {
	if k.medianSpeed > 0 {
		return k.medianSpeed
	}
	return medianSpeed
}

// updateSpeeds recomputes the usual speeds if it is due, and which workers are slow.
func (p *Placer) updateSpeeds(now timer.Millis) {
	if p.medianSpeed != 0 && now-p.medianSpeedAt < medianSpeedInterval {
		return
	}
	p.medianSpeed, p.medianSpeedAt = p.speeds.median(), now
	for _, s := range p.services {
		for _, k := range s.kinds {
			k.medianSpeed = 0
			if k.speeds.tree.Len() >= minKindWorkers {
				k.medianSpeed = k.speeds.median()
			}
			if former, current := k.reference, k.usual(p.medianSpeed); former != current {
				k.reference = current
				k.speeds.reclassify(former, current, p.updateIndex)
			}
		}
		s.sortKinds(p.medianSpeed)
	}
	p.reportSpeeds(now)
}

// reportSpeeds reports the workers that are slow and the learned run times, each at most once in speedReportInterval.
func (p *Placer) reportSpeeds(now timer.Millis) {
	for _, s := range marshaler.SortedByKey(p.services) {
		for h := s.slow.First(); h != 0; h = s.slow.Next(h) {
			w := s.slow.Key(h).w
			if w.slowReportedAt != 0 && now-w.slowReportedAt < speedReportInterval {
				continue
			}
			w.slowReportedAt = now
			p.report(Event{Kind: "workerSlow", Worker: w.name, Detail: fmt.Sprintf("usual speed %.0f, kind %s", p.usualSpeed(w), w.kind.name), Value: int64(w.speed)})
		}
	}
	if now-p.runTimesReportedAt < speedReportInterval {
		return
	}
	p.runTimesReportedAt = now
	p.runTimes.Each(func(queue, kind string, r estimator.Ratio, samples int) {
		p.report(Event{Kind: "runTimes", Detail: fmt.Sprintf("learned mean %.2f, 95%% %.2f, queue %s, kind %s", r.Mean, r.High, queue, kind), Value: int64(samples)})
	})
}

// usualSpeed returns the usual speed of a worker's kind.
func (p *Placer) usualSpeed(w *worker) float64 { return w.kind.usual(p.medianSpeed) }

// isSlow reports whether a worker is so much slower than others of its kind that it may be faulty.
func (p *Placer) isSlow(w *worker) bool { return w.slow }

// updateSlow updates whether a worker is slow, once the usual speeds are known. It stays slow until its speed is nearly
// usual, because the reported speed returns to normal while a worker has no runs, whether it has recovered or not.
func (p *Placer) updateSlow(w *worker) {
	if p.medianSpeed == 0 {
		return // this entry has not placed anything yet
	}
	ratio := w.speed / p.usualSpeed(w)
	w.slow = ratio < slowSpeedRatio || w.slow && ratio < recoveredSpeedRatio
}
