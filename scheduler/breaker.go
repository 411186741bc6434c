package scheduler

import (
	"slices"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// failureThreshold is the number of consecutive failures that open a sidecar's breaker. With two, the failing tasks
	// of a bad job would open it more often.
	failureThreshold     = 3
	initialProbeInterval = timer.Second
	maxProbeInterval     = 30 * timer.Second
	// openBreakerDivisor limits open breakers to one in openBreakerDivisor of the sidecars. If more of them fail, the
	// jobs are the more likely cause than the workers, and excluding the sidecars would only reduce capacity.
	openBreakerDivisor = 3
	// slowThreshold is the slowdown above which a sidecar counts as slow and is used only after the others.
	slowThreshold = 3.0
	// slowdownSmoothing is the weight of the newest observation in a sidecar's smoothed slowdown. Observations are capped
	// at maxSlowdownSample: with a weight of 0.2 and no cap, a few long tasks in a row marked healthy sidecars as slow.
	slowdownSmoothing = 0.1
	maxSlowdownSample = 6.0
	// An idle slow sidecar gets a probe task after initialSlowProbeInterval. The interval doubles with each slow run up
	// to maxSlowProbeInterval.
	initialSlowProbeInterval = 5 * timer.Second
	maxSlowProbeInterval     = timer.Minute
	// refusalBackoff is how long a sidecar is suspended after it refused a task for a reason of its own.
	refusalBackoff = 100 * timer.Millisecond

	retryRatio = 0.1 // retries added to the budget per placement
	retryBurst = 100 // capacity of the retry budget
	// exhaustedBackoff is how long a refusing sidecar is suspended while the retry budget is exhausted.
	exhaustedBackoff = timer.Second
)

type (
	// breaker is the circuit breaker of a sidecar whose tasks fail. The zero value is closed.
	breaker struct {
		failures      int
		open          bool
		probeInterval timer.Millis // time until the next probe; doubles with each failed probe
		probing       bool
	}

	// retryBudget limits the share of starts that are retries of refused starts.
	retryBudget struct{ spent float64 }
)

// allows reports whether a sidecar with the given number of running tasks may get another one. An open breaker allows one
// probe task on an idle sidecar after each suspension.
func (b *breaker) allows(running uint32) bool { return !b.open || b.probing && running == 0 }

func (sc *sidecar) taskPlaced() {
	sc.breaker.probing = false
}

// observeStatus updates the sidecar's breaker with the status of a finished task.
func (f *fleet) observeStatus(sc *sidecar, now timer.Millis, status encoder.Status) {
	b := &sc.breaker
	if status == encoder.StatusDone {
		f.closeBreaker(sc)
		sc.probation = false
		return
	}
	if status == encoder.StatusNotStarted {
		f.suspend(sc, now+refusalBackoff)
	}
	b.failures++
	switch {
	case b.open:
		b.probeInterval = min(2*b.probeInterval, maxProbeInterval)
		f.suspend(sc, now+b.probeInterval)
	case b.failures >= failureThreshold && (f.openBreakers+1)*openBreakerDivisor <= len(f.byID):
		b.open, b.probeInterval = true, initialProbeInterval
		f.openBreakers++
		f.suspend(sc, now+b.probeInterval)
	}
}

func (f *fleet) closeBreaker(sc *sidecar) {
	if sc.breaker.open {
		f.openBreakers--
	}
	sc.breaker = breaker{}
}

// suspend excludes a sidecar from placement until the given time. It does not shorten a suspension. The caller moves the
// sidecar in the free lists with update.
func (f *fleet) suspend(sc *sidecar, until timer.Millis) {
	if sc.suspendedUntil == 0 {
		f.suspended = append(f.suspended, sc)
	}
	sc.suspendedUntil = max(sc.suspendedUntil, until)
}

func (f *fleet) resumeSuspended(now timer.Millis) {
	if len(f.suspended) == 0 {
		return
	}
	f.suspended = slices.DeleteFunc(f.suspended, func(sc *sidecar) bool {
		if sc.suspendedUntil > now {
			return false
		}
		sc.suspendedUntil = 0
		sc.breaker.probing = sc.breaker.open
		f.update(sc)
		return true
	})
}

// observeRunTime updates the sidecar's slowdown and its probe time with the run time of a finished task. It ignores kinds
// whose expected run time is not known.
func (sc *sidecar) observeRunTime(now, runTime, expected timer.Millis, known bool) {
	if !known || expected <= 0 {
		return
	}
	if sc.slowdown == 0 {
		sc.slowdown = 1
	}
	sc.slowdown += slowdownSmoothing * (min(float64(runTime)/float64(expected), maxSlowdownSample) - sc.slowdown)
	switch {
	case sc.slowdown <= slowThreshold:
		sc.slowProbeInterval = 0
	case runTime > expected:
		sc.slowProbeInterval = max(initialSlowProbeInterval, min(2*sc.slowProbeInterval, maxSlowProbeInterval))
		sc.nextSlowProbe = now + sc.slowProbeInterval
	}
}

func (sc *sidecar) isSlow() bool { return sc.slowdown > slowThreshold }

// shouldWait reports whether a task should stay in the queue instead of running on this slow sidecar, because the expected
// wait is shorter than the extra run time. An idle slow sidecar still gets a probe task from time to time, to find out
// whether it has recovered.
func (sc *sidecar) shouldWait(now, wait, runTime timer.Millis) bool {
	if sc.running == 0 && now >= sc.nextSlowProbe {
		return false
	}
	return float64(wait) < (sc.slowdown-1)*float64(runTime)
}

// refill adds retryRatio to the budget; it is called for each placement.
func (r *retryBudget) refill() { r.spent = max(0, r.spent-retryRatio) }

// spend takes one retry from the budget and returns how long to suspend the refusing sidecar.
func (r *retryBudget) spend() timer.Millis {
	if r.spent+1 > retryBurst {
		return exhaustedBackoff
	}
	r.spent++
	return refusalBackoff
}
