// Package watcher implements group membership and failure detection with a protocol like SWIM. Each member probes one
// other member per probe interval, falls back to indirect probes through other members, and piggybacks suspicions, deaths
// and refutations on the probes. The load per member does not depend on the number of members.
package watcher

import (
	_ "embed" // for member.chart

	"github.com/crocuslb/crocuslb/interpreter"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// StateAlive means that the member is neither suspected nor declared dead.
	StateAlive State = iota + 1
	// StateSuspect means that a probe failed and the member has not refuted it yet.
	StateSuspect
	// StateDead means that the suspicion was not refuted in time, or that the member left.
	StateDead

	// MaxNameLen is the maximum length of a member's identifier and of its address in bytes.
	MaxNameLen = 128
)

type (
	// State is the state of a member as one process sees it.
	State uint8

	// Member identifies one incarnation of a process and its address. A restarted process has a larger incarnation.
	// Refutations counts how often the incarnation refuted its suspicion or death. Both only grow; together they are the
	// version of the member.
	Member struct {
		ID          string
		Address     string
		Incarnation uint64
		Refutations uint64
	}

	// Update is a member and its state, as sent to other members.
	Update struct {
		Member Member
		State  State
	}

	// record is what this process stores about another member.
	record struct {
		member        Member
		state         State
		transmissions uint8        // of the current state, by gossip
		queued        bool         // in Core.gossipQueue
		index         int          // in Core.probeOrder
		stateSince    timer.Millis // when the state or the version last changed
	}
)

//go:embed member.chart
var chartText string

var (
	chart      = interpreter.MustParse("member.chart", chartText)
	stateNames = []string{"", "alive", "suspect", "dead"}
	// events maps the state that another process reports to the event of the chart.
	events = []string{"", "announced", "suspected", "confirmed"}
)

// String returns "alive", "suspect" or "dead".
func (s State) String() string { return stateNames[min(int(s), len(stateNames)-1)] }

// newer reports whether m is a later version of the same member than other.
func (m Member) newer(other Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	return m.Refutations > other.Refutations
}

// overrides reports whether u replaces r: a newer version always does, and of the same version the worse state does.
// The order is total, so that all processes converge to the same record whatever the order in which updates arrive.
func (u Update) overrides(r *record) bool {
	if u.Member.newer(r.member) {
		return true
	}
	return !r.member.newer(u.Member) && u.State > r.state
}

// applyEvent moves the record to its next state. It panics if the chart refuses the event; callers send no such event.
func (r *record) applyEvent(event string) {
	next, err := chart.Step(r.state.String(), event)
	if err != nil {
		panic(err)
	}
	for i, name := range stateNames {
		if name == next {
			r.state = State(i)
			return
		}
	}
}
