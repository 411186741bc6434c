package scheduler

import (
	"slices"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// failuresToOpen is the number of failures in a row that open a sidecar's breaker. Two would open on the ordinary
	// failures of a bad job more often.
	failuresToOpen = 3
	firstProbe     = timer.Second
	lastProbe      = 30 * timer.Second
	// cutOffShare bounds the sidecars with an open breaker to one in cutOffShare. When more fail, the cause is more
	// likely in the jobs than in the workers, and cutting them off would only lose capacity.
	cutOffShare = 3
	// slowFactor is how much slower than usual a sidecar must be to be placed on last.
	slowFactor = 3.0
	// speedWeight is the weight of the newest observation in a sidecar's smoothed speed. One observation counts for no
	// more than speedClip: with 0.2 and no clip, a few long tasks in a row made sound sidecars count as slow.
	speedWeight = 0.1
	speedClip   = 6.0
	// An idle slow sidecar gets a task after firstSlowProbe, then after twice the time, up to lastSlowProbe.
	firstSlowProbe = 5 * timer.Second
	lastSlowProbe  = timer.Minute
	// holdMillis is how long a sidecar is left out after it refused a task for a reason of its own.
	holdMillis = 100 * timer.Millisecond

	retryShare = 0.1 // retries that one placement earns
	retryMax   = 100 // retries that can be saved up
	// retryHold is how long a refusing sidecar is left out when the retry budget is used up.
	retryHold = timer.Second
)

type (
	// breaker keeps work away from a sidecar that fails what it starts. The zero value is closed.
	breaker struct {
		failures int
		open     bool
		wait     timer.Millis // time until the next probe; doubles with each failed probe
		probing  bool
	}

	// retryBudget bounds the share of starts that are retries of refused ones.
	retryBudget struct{ spent float64 }
)

// allows reports whether a sidecar with the given number of running tasks may get another one.
func (b *breaker) allows(running uint32) bool { return !b.open || b.probing && running == 0 }

func (sc *sidecar) placed() {
	sc.breaker.probing = false
}

// observeStatus opens or closes the sidecar's breaker after the end of a task.
func (f *fleet) observeStatus(sc *sidecar, now timer.Millis, status encoder.Status) {
	b := &sc.breaker
	if status == encoder.StatusDone {
		f.closeBreaker(sc)
		sc.probation = false
		return
	}
	if status == encoder.StatusNotStarted {
		f.hold(sc, now+holdMillis)
	}
	b.failures++
	switch {
	case b.open:
		b.wait = min(2*b.wait, lastProbe)
		f.hold(sc, now+b.wait)
	case b.failures >= failuresToOpen && (f.cutOff+1)*cutOffShare <= len(f.byID):
		b.open, b.wait = true, firstProbe
		f.cutOff++
		f.hold(sc, now+b.wait)
	}
}

func (f *fleet) closeBreaker(sc *sidecar) {
	if sc.breaker.open {
		f.cutOff--
	}
	sc.breaker = breaker{}
}

// hold leaves a sidecar out until the given time.
func (f *fleet) hold(sc *sidecar, until timer.Millis) {
	if sc.heldUntil == 0 {
		f.held = append(f.held, sc)
	}
	sc.heldUntil = max(sc.heldUntil, until)
}

func (f *fleet) releaseHeld(now timer.Millis) {
	if len(f.held) == 0 {
		return
	}
	f.held = slices.DeleteFunc(f.held, func(sc *sidecar) bool {
		if sc.heldUntil > now {
			return false
		}
		sc.heldUntil = 0
		sc.breaker.probing = sc.breaker.open
		f.update(sc)
		return true
	})
}

// observeSpeed notes how a run time compares with the usual run time of its kind.
func (sc *sidecar) observeSpeed(now, ran, usual timer.Millis, known bool) {
	if !known || usual <= 0 {
		return
	}
	if sc.speed == 0 {
		sc.speed = 1
	}
	sc.speed += speedWeight * (min(float64(ran)/float64(usual), speedClip) - sc.speed)
	switch {
	case sc.speed <= slowFactor:
		sc.slowWait = 0
	case ran > usual:
		sc.slowWait = max(firstSlowProbe, min(2*sc.slowWait, lastSlowProbe))
		sc.slowProbe = now + sc.slowWait
	}
}

func (sc *sidecar) slow() bool { return sc.speed > slowFactor }

// worthWaiting reports whether a task does better in the queue than on this slow sidecar: when the expected wait is
// shorter than the time that the sidecar would lose. Now and then an idle slow sidecar gets a task all the same, to learn
// whether it has recovered.
func (sc *sidecar) worthWaiting(now, wait, run timer.Millis) bool {
	if sc.running == 0 && now >= sc.slowProbe {
		return false
	}
	return float64(wait) < (sc.speed-1)*float64(run)
}

// earn adds a part of a retry for each placement.
func (r *retryBudget) earn() { r.spent = max(0, r.spent-retryShare) }

// spend takes a retry and returns how long the refusing sidecar is left out.
func (r *retryBudget) spend() timer.Millis {
	if r.spent+1 > retryMax {
		return retryHold
	}
	r.spent++
	return holdMillis
}
