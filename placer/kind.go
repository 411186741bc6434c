package placer

import (
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

// workerKind is a group of workers with the same labels, apart from the rack, and about the same capacity.
type workerKind struct {
	name       string
	usualSpeed float64 // median speed of its accepting workers; 0 if there are too few
}

// kindName returns the name of the kind of a backend server.
func kindName(b *marshaler.Backend) string {
	labels := slices.DeleteFunc(slices.Clone(b.Labels), func(label string) bool { return strings.HasPrefix(label, rackLabelPrefix) })
	slices.Sort(labels)
	class := math.Round(classesPerOctave * math.Log2(float64(max(b.Capacity.CPU, 1))))
	return fmt.Sprintf("%s %q cpu%.0f acc%d", b.Service, labels, class, b.Capacity.Accelerators)
}

// setKind sets the kind of a worker. It forgets the former kind if that has no worker left.
func (p *Placer) setKind(w *worker, b *marshaler.Backend) {
	former := w.kind
	w.kind = p.kindOf(b)
	p.removeKind(former)
}

// removeKind forgets a kind that has no workers.
func (p *Placer) removeKind(k *workerKind) {
	if k != nil && !slices.ContainsFunc(p.workersByName, func(w *worker) bool { return w.kind == k }) {
		delete(p.kinds, k.name)
	}
}

// kindOf returns the kind of a backend server, which is added if it is new.
func (p *Placer) kindOf(b *marshaler.Backend) *workerKind {
	name := kindName(b)
	if p.kinds == nil {
		p.kinds = map[string]*workerKind{}
	}
	if p.kinds[name] == nil {
		p.kinds[name] = &workerKind{name: name}
	}
	return p.kinds[name]
}

// updateSpeeds recomputes the usual speeds.
func (p *Placer) updateSpeeds(now timer.Millis) {
	if p.medianSpeed != 0 && now-p.medianSpeedAt < medianSpeedInterval {
		return
	}
	p.medianSpeed, p.medianSpeedAt = p.computeMedianSpeed(), now
	speeds := make(map[*workerKind][]float64, len(p.kinds))
	for _, w := range p.workersByName {
		if w.accepting {
			speeds[w.kind] = append(speeds[w.kind], w.speed)
		}
	}
	for _, k := range p.kinds {
		of := speeds[k]
		k.usualSpeed = 0
		if len(of) >= minKindWorkers {
			slices.Sort(of)
			k.usualSpeed = max(of[len(of)/2], 1)
		}
	}
	for _, w := range p.workersByName {
		p.updateSlow(w)
	}
	p.reportSpeeds(now)
}

// reportSpeeds reports the workers that are slow and the learned run times, each at most once in speedReportInterval.
func (p *Placer) reportSpeeds(now timer.Millis) {
	for _, w := range p.workersByName {
		if w.accepting && p.isSlow(w) && (w.slowReportedAt == 0 || now-w.slowReportedAt >= speedReportInterval) {
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

// usualSpeed returns the median speed of the workers of the same kind as w, or of all workers if the kind has too few.
func (p *Placer) usualSpeed(w *worker) float64 {
	if w.kind.usualSpeed > 0 {
		return w.kind.usualSpeed
	}
	return p.medianSpeed
}

// isSlow reports whether a worker is so much slower than others of its kind that it may be faulty.
func (p *Placer) isSlow(w *worker) bool { return w.slow }

// updateSlow updates whether a worker is slow, once the usual speeds are known. It stays slow until its speed is nearly usual, because the reported speed
// returns to normal while a worker has no runs, whether it has recovered or not.
func (p *Placer) updateSlow(w *worker) {
	if p.medianSpeed == 0 {
		return // this entry has not placed anything yet
	}
	ratio := w.speed / p.usualSpeed(w)
	w.slow = ratio < slowSpeedRatio || w.slow && ratio < recoveredSpeedRatio
}
