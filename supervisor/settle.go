package supervisor

import "github.com/crocuslb/crocuslb/timer"

// knowsAllRuns reports whether no run is active, or can begin, that this process does not know. A start that a previous process
// of this sidecar sent may be carried out after this process has got its first list of runs.
// Without any list, no run is active once each lease that a process of this sidecar may have requested has expired.
func (k *Supervisor) knowsAllRuns() bool { return k.reconciled && k.settled || k.lease.runsEnded }

// checkSettled requests a list of runs once the backend server admits no start of a previous process any more.
func (k *Supervisor) checkSettled(now timer.Millis) {
	switch {
	case k.startsSettle == 0:
		k.startsSettle = now + maxStartAge
	case k.settleHold == 0 && now >= k.startsSettle:
		k.HoldNow()
	}
}
