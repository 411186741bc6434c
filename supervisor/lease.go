package supervisor

import "github.com/crocuslb/crocuslb/timer"

// stopTimeout is the time without a confirmed end, after the first stop of a run, from which the lease is not extended. It
// exceeds the 50 ms that a backend server takes to end a run, and three calls. Together with the lease and the time in which
// an entry notices that its caller has left, it is below the 1300 ms after which the caller sends the job again.
const stopTimeout = 200 * timer.Millisecond

// mayExtendLease reports whether the lease of all runs may be extended, by a hold or by a start. A run whose entry is silent,
// whose stop is unconfirmed or that is unknown to this process must not continue for long, and only the expiry of the lease
// ends it if the backend server does not carry out its stop. That also ends the other runs of the backend server.
func (k *Supervisor) mayExtendLease(now timer.Millis) bool {
	if k.unknownRuns > 0 {
		return false
	}
	for _, r := range k.runs {
		if now-r.entry.aliveAt >= EntryTimeout || r.state == stateStopping && now-r.stopBegan >= stopTimeout {
			return false
		}
	}
	return true
}

// updateLease updates whether the lease is withheld, and reports a change.
func (k *Supervisor) updateLease(now timer.Millis) {
	withheld := !k.mayExtendLease(now)
	if withheld == k.leaseWithheld {
		return
	}
	k.leaseWithheld = withheld
	detail := "resumed"
	if withheld {
		detail = "withheld until a run ends whose entry is silent, whose stop is unconfirmed or that is unknown"
	}
	k.report(Event{Kind: "leaseRenewal", Detail: detail, Value: k.durable.leaseEnd - k.Clock(now)})
}

// limitLease returns the latest time of a start, which also extends the lease of all runs. It does not exceed the end of the
// present lease while that must not be extended.
func (k *Supervisor) limitLease(now timer.Millis, notAfter int64) int64 {
	if k.durable.leaseEnd == 0 || k.mayExtendLease(now) {
		return notAfter
	}
	return min(notAfter, k.durable.leaseEnd)
}
