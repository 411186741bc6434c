package placer

import (
	"slices"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// reservationLife is how long granted room stays reserved when the sidecar never sees the start.
	reservationLife = 300 * timer.Millisecond
	// failuresToOpen is the number of jobs in a row whose tasks failed on a worker that open its breaker. A job that fails
	// everywhere counts once.
	failuresToOpen = 2
	firstProbe     = 300 * timer.Millisecond
	lastProbe      = 1200 * timer.Millisecond
	// cutOffShare bounds the workers that an open breaker or a low speed sets aside to one in cutOffShare. When more are
	// affected, the cause is more likely in the jobs.
	cutOffShare = 3
	// slowShare of the usual speed is the speed below which a worker gets only single probes.
	slowShare = 0.35
	// nearBonus is the advantage, as a share of the usual speed, of a worker in the asking entry's failure domain.
	nearBonus = 0.06
)

type (
	// worker is a backend server with its sidecar, as the placing entry sees it.
	worker struct {
		name      string
		domain    string
		service   string
		labels    []string
		total     marshaler.Room
		reported  marshaler.Room // free room in the latest Load
		accepting bool
		speed     float64 // thousandths of the speed that the estimates assume
		reserved  []reservation
		free      marshaler.Room // reported less reserved
		breaker   breaker
	}

	// reservation is granted room that the sidecar's reports do not include yet.
	reservation struct {
		job  string
		room marshaler.Room
		at   timer.Millis
	}

	// breaker keeps work away from a worker that fails what it starts or is slow. The zero value is closed.
	breaker struct {
		open     bool
		failures int
		lastJob  string
		wait     timer.Millis
		probeAt  timer.Millis
		probing  bool
	}
)

func (w *worker) account() {
	w.free = w.reported
	for _, r := range w.reserved {
		w.free = w.free.Sub(r.room)
	}
}

func (w *worker) reserve(now timer.Millis, job string, room marshaler.Room) {
	w.reserved = append(w.reserved, reservation{job, room, now})
	w.free = w.free.Sub(room)
}

// seen removes a reservation whose start the sidecar has handled.
func (w *worker) seen(job string) {
	i := slices.IndexFunc(w.reserved, func(r reservation) bool { return r.job == job })
	if i >= 0 {
		w.reserved = slices.Delete(w.reserved, i, i+1)
	}
}

// expire drops the reservations whose starts the sidecar never saw. They are in the order of their time.
func (w *worker) expire(now timer.Millis) {
	old := 0
	for old < len(w.reserved) && now-w.reserved[old].at > reservationLife {
		old++
	}
	if old > 0 {
		w.reserved = slices.Delete(w.reserved, 0, old)
		w.account()
	}
}

// busy reports whether anything runs on the worker or is about to.
func (w *worker) busy() bool { return w.free != w.total }

// settle learns from the end of a run.
func (p *Placer) settle(now timer.Millis, w *worker, s marshaler.Settled) {
	b := &w.breaker
	switch s.Status {
	case marshaler.StatusDone:
		*b = breaker{}
	case marshaler.StatusFailed, marshaler.StatusStalled:
		if b.lastJob != s.Job {
			b.failures++
		}
		b.lastJob = s.Job
		if s.Status == marshaler.StatusStalled {
			b.failures = max(b.failures, failuresToOpen)
		}
		switch {
		case b.open:
			b.wait = min(2*b.wait, lastProbe)
			b.probeAt, b.probing = now+b.wait, false
		case b.failures >= failuresToOpen && p.mayCutOff():
			b.open, b.wait, b.probeAt = true, firstProbe, now+firstProbe
			p.report(Event{Kind: "breakerOpen", Worker: w.name, Detail: s.Status.String(), Value: int64(b.failures)})
		}
	}
}

// mayCutOff reports whether one more worker may be set aside.
func (p *Placer) mayCutOff() bool {
	cut := 1
	for _, w := range p.workers {
		if w.breaker.open {
			cut++
		}
	}
	return cut*cutOffShare <= len(p.workers)
}

// allows reports whether the breaker lets the worker have a task.
func (w *worker) allows(now timer.Millis) bool {
	b := &w.breaker
	if !b.open {
		return true
	}
	return now >= b.probeAt && !b.probing && !w.busy()
}
