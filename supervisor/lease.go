package supervisor

import (
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// stopTimeout is the time without a confirmed end, after the first stop of a run, from which the lease is not extended. It
	// exceeds the 50 ms that a backend server takes to end a run, and a call. Together with the lease and the time in which an
	// entry notices that its caller, or the entry that handed the job over, is gone, it is below the 1300 ms after which the caller
	// sends the job again.
	stopTimeout = 100 * timer.Millisecond
	// maxLease is the longest lease that a backend server grants, on its own clock.
	maxLease = 1000 * timer.Millisecond
	// slowestClock is the lowest speed of a backend server's clock, in percent of the real time.
	slowestClock = 98
	// expiryGracePeriod is how long the runs are kept after the lease has expired. It exceeds the 50 ms that a backend server
	// takes to end a run, and lets a process that was paused read the responses that wait in its sockets.
	expiryGracePeriod = 100 * timer.Millisecond
)

// leaseState is what this process knows of the lease that all runs on the backend server share. A backend server ends its runs
// at the end of the lease, whether or not it can be reached. Hence a run is known to have ended once the latest lease that may
// have been requested has expired, even if no call was answered. The zero value is ready to use.
type leaseState struct {
	// end is the latest expiry that was or may have been requested, on the backend server's clock; 0 before the first hold
	// response of an incarnation.
	end int64
	// incarnationSince is when this process started, or when it learned of the present incarnation of the backend server, if
	// that is another one than the first it knew.
	incarnationSince timer.Millis
	withheld         bool // not extended, because of a run that must end or because the backend server does not answer
	// expiredAt is when this process noticed that the lease had expired without an answer of the backend server; 0 if it has
	// not expired, or the backend server has answered since.
	expiredAt timer.Millis
	// runsEnded says that the runs have been ended since expiredAt.
	runsEnded bool
}

// extend notes a requested expiry of the lease.
func (l *leaseState) extend(until int64) {
	if l.end != 0 {
		l.end = max(l.end, until)
	}
}

// onSlowClock returns the real time in which the slowest clock of a backend server advances by a duration.
func onSlowClock(duration timer.Millis) timer.Millis {
	return (duration*100 + slowestClock - 1) / slowestClock
}

// leaseExpiry returns the time on this process's clock by which each lease that this process or a former one may have requested
// has expired. It counts from the newest known time of the backend server's clock, because that clock may be slow. A call that is
// executed late does not prolong the lease beyond the expiry that it requests.
func (k *Supervisor) leaseExpiry() timer.Millis {
	if k.backendClockAt == 0 { // only former processes may have requested a lease
		return k.lease.incarnationSince + onSlowClock(maxLease)
	}
	return k.backendClockAt + onSlowClock(timer.Millis(k.lease.end-k.backendClock))
}

// runExpiry returns the time by which a run has ended without an answer of the backend server. A start that was sent to a former
// incarnation may be executed by the present one, on whose clock its time limit says nothing.
func (k *Supervisor) runExpiry(r *run) timer.Millis {
	if r.startedAt < k.lease.incarnationSince {
		return r.startedAt + maxStartDelay + onSlowClock(maxLease)
	}
	return k.leaseExpiry()
}

// isSilent reports whether the backend server has not answered a hold for as long as a lease lasts. If it has not received the
// holds either, its lease has expired.
func (k *Supervisor) isSilent(now timer.Millis) bool {
	return k.backendClockAt != 0 && now-k.listedAt >= LeaseDuration
}

// checkExpiry ends the runs of a backend server that does not answer once their lease has expired. From then on this process
// knows that no run is active, also if it has never got a list of them.
func (k *Supervisor) checkExpiry(now timer.Millis) {
	if k.lease.incarnationSince == 0 {
		k.lease.incarnationSince = now
	}
	answers := k.backendClockAt != 0 && !k.isSilent(now)
	switch {
	case answers || now < k.leaseExpiry():
		k.lease.expiredAt, k.lease.runsEnded = 0, false
	case k.lease.expiredAt == 0:
		k.lease.expiredAt = now
		k.HoldNow()
	case now-k.lease.expiredAt >= expiryGracePeriod:
		k.endExpiredRuns(now)
	}
}

// endExpiredRuns ends the runs whose lease has expired, and reports to the entries which runs remain.
func (k *Supervisor) endExpiredRuns(now timer.Millis) {
	if !k.lease.runsEnded {
		k.report(Event{Kind: "leaseExpired", Detail: "without an answer of the backend server; its runs have ended", Value: int64(len(k.runs))})
	}
	knewAllRuns := k.knowsAllRuns()
	k.lease.runsEnded = true
	for _, r := range k.sortedRuns() {
		if now >= k.runExpiry(r)+expiryGracePeriod {
			k.endRun(now, r, marshaler.StatusLost, "lease has expired")
		}
	}
	if !knewAllRuns {
		k.syncSessions()
	}
}

// leaseObstacle returns why the lease of all runs must not be extended, by a hold or by a start; "" if it may be. A run whose
// entry is silent, whose stop is unconfirmed or that is unknown to this process must not continue for long, and only the expiry of
// the lease ends it if the backend server does not carry out its stop. That also ends the other runs of the backend server.
func (k *Supervisor) leaseObstacle(now timer.Millis) string {
	if k.isSilent(now) {
		return "the backend server does not answer"
	}
	if k.unknownRuns > 0 {
		return "a run is unknown"
	}
	for _, r := range k.runs {
		switch {
		case now-r.entry.aliveAt >= EntryTimeout:
			return "the entry of a run is silent"
		case r.state == stateStopping && now-r.stopBegan >= stopTimeout:
			return "the stop of a run is unconfirmed"
		}
	}
	return ""
}

// updateLease updates whether the lease is withheld, and reports a change.
func (k *Supervisor) updateLease(now timer.Millis) {
	obstacle := k.leaseObstacle(now)
	withheld := obstacle != ""
	if withheld == k.lease.withheld {
		return
	}
	k.lease.withheld = withheld
	detail := "resumed"
	if withheld {
		detail = "withheld because " + obstacle
	}
	k.report(Event{Kind: "leaseRenewal", Detail: detail, Value: k.lease.end - k.Clock(now)})
}

// limitLease returns the latest time of a start, which also extends the lease of all runs. It does not exceed the end of the
// present lease while that must not be extended.
func (k *Supervisor) limitLease(now timer.Millis, notAfter int64) int64 {
	if k.lease.end == 0 || k.leaseObstacle(now) == "" {
		return notAfter
	}
	return min(notAfter, k.lease.end)
}
