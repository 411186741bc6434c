package supervisor

import (
	"fmt"
	"math"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// suspectTime is how long after its start a run of a suspect task keeps others off its backend server. A task that crashes
// backend servers usually does so soon after its start, and many tasks are suspect after a crash that none of them caused.
const suspectTime = 250 * timer.Millisecond

// answerTime is the time within which a backend server usually answers a start.
const answerTime = 20 * timer.Millisecond

// crashEvidence is what a crash of the backend server says about a run that was active, or may have been. The zero value
// says that there was no crash.
type crashEvidence struct {
	crashed bool
	blame   marshaler.Blame
}

// noteCrash records a crash of the backend server with each run that may have begun before it. A start without an answer may
// also have been sent after the crash, so it counts against its task only if the backend server has received it. No start is
// admitted until the backend server answers again. A backend server that was draining has exited as planned.
func (k *Supervisor) noteCrash(now timer.Millis) {
	if k.backend.Draining || k.crashed {
		return
	}
	k.crashed = true
	defer k.sendLoads(now)
	active := k.activeAtCrash()
	suspects := 0
	for _, r := range active {
		if r.suspicion > marshaler.SuspicionNone {
			suspects++
		}
	}
	for _, r := range active {
		if !r.mayHaveBegun() {
			continue
		}
		r.crash.crashed = true
		if suspects == 1 && r.suspicion > marshaler.SuspicionNone {
			r.crash.blame = r.blameAmong(active, k.unknownRuns)
		}
	}
	for _, r := range active {
		k.report(Event{Kind: "activeAtCrash", Run: r.key, Entry: r.entry.name, Detail: r.crash.describe(r.suspicion), Value: int64(now - r.startedAt)})
	}
	k.report(Event{Kind: "backendCrashed", Detail: k.backend.ID, Value: int64(len(active))})
}

// activeAtCrash returns the runs that may have been active when the backend server crashed. It did not answer the first
// unconfirmed start since its latest answer, so it cannot have carried out starts that were sent much later.
func (k *Supervisor) activeAtCrash() (active []*run) {
	latest, answeredAt := timer.Millis(math.MaxInt64), k.answeredAt()
	for _, r := range k.runs {
		if !r.confirmed() && r.startedAt >= answeredAt {
			latest = min(latest, r.startedAt+answerTime)
		}
	}
	for _, r := range k.sortedRuns() {
		if r.mayHaveBegun() || r.startedAt <= latest {
			active = append(active, r)
		}
	}
	return active
}

// answeredAt returns the time of the latest hold response or confirmation of a start that is known.
func (k *Supervisor) answeredAt() timer.Millis {
	latest := k.listedAt
	for _, r := range k.runs {
		if r.confirmed() {
			latest = max(latest, r.startedAt)
		}
	}
	return latest
}

// confirmed reports whether the backend server has carried out the start.
func (r *run) confirmed() bool { return r.listed || r.state == stateRunning }

// mayHaveBegun reports whether the backend server has carried out the start, or has received it and ended without a response.
func (r *run) mayHaveBegun() bool { return r.confirmed() || r.aborted }

// blameAmong returns how sure it is that the run has caused the crash, if it was the only active one of a suspect task. A
// long run is often active by chance when another task crashes the backend server soon after its start.
func (r *run) blameAmong(active []*run, unknown int) marshaler.Blame {
	if len(active) == 1 && unknown == 0 {
		return marshaler.BlameCertain
	}
	blame := marshaler.BlameProbable
	for _, o := range active {
		switch {
		case o == r || !o.mayHaveBegun():
		case o.startedAt > r.startedAt:
			return marshaler.BlameNone
		case o.startedAt > r.startedAt-answerTime:
			blame = marshaler.BlamePossible
		}
	}
	return blame
}

// describe returns the evidence as text for logs.
func (c *crashEvidence) describe(s marshaler.Suspicion) string {
	return fmt.Sprintf("suspicion %d, blame %d", s, c.blame)
}

// statusOf returns the status of a run that ended with a status. A run without a result may have been active when the
// backend server crashed.
func (c *crashEvidence) statusOf(s marshaler.Status) marshaler.Status {
	switch s {
	case marshaler.StatusLost, marshaler.StatusStopped, marshaler.StatusStalled, marshaler.StatusRefused:
		if c.crashed {
			return marshaler.StatusCrashed
		}
	default:
		*c = crashEvidence{}
	}
	return s
}

// suspectRuns returns the number of active runs of suspect tasks that started a short time ago.
func (k *Supervisor) suspectRuns(now timer.Millis) (n uint64) {
	for _, r := range k.runs {
		if r.suspicion > marshaler.SuspicionNone && now-r.startedAt < suspectTime {
			n++
		}
	}
	return n
}

// maySeparate reports whether a run of a task with a suspicion can be kept apart from the active runs as required, and the
// reason if not.
func (k *Supervisor) maySeparate(now timer.Millis, s marshaler.Suspicion) (bool, string) {
	switch {
	case s >= marshaler.SuspicionStrong && len(k.runs) > 0:
		return false, "the task must run alone"
	case s == marshaler.SuspicionPossible && k.suspectRuns(now) > 0:
		return false, "a suspect task runs already"
	}
	for _, r := range k.runs {
		if r.suspicion >= marshaler.SuspicionStrong {
			return false, "a task runs alone"
		}
	}
	return true, ""
}

// roomFor returns the resources that a start uses up. A task that must run alone takes all free ones.
func (k *Supervisor) roomFor(m *marshaler.Start) marshaler.Resources {
	if m.Suspicion >= marshaler.SuspicionStrong {
		return k.free
	}
	return m.Resources
}
