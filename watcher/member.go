// Package watcher detects failed processes. Each member probes one other member in each period, asks others to probe on
// its behalf, and spreads suspicions, deaths and refutations on the probes, in the manner of SWIM. The cost per member
// does not depend on the number of members.
package watcher

import (
	_ "embed" // the chart

	"github.com/crocuslb/crocuslb/interpreter"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// StateAlive means that the member answers, or that nobody has found otherwise.
	StateAlive State = iota + 1
	// StateSuspect means that a probe failed and the member has not refuted it yet.
	StateSuspect
	// StateDead means that the suspicion was not refuted in time, or that the member left.
	StateDead

	// MaxName is the longest identifier and the longest address of a member in bytes.
	MaxNameLen = 128
)

type (
	// State is what a process knows of a member.
	State uint8

	// Member names one incarnation of a process and its address. A restarted process has a larger incarnation.
	// Refutations counts how often the incarnation contradicted a suspicion. Both only grow.
	Member struct {
		ID          string
		Address     string
		Incarnation uint64
		Refutations uint64
	}

	// Update is a member with its state, as it is told to others.
	Update struct {
		Member Member
		State  State
	}

	// row is the record of a member.
	record struct {
		member        Member
		state         State
		transmissions uint8        // how often the present state was told
		queued        bool         // the row is in Core.rumors
		index         int          // index in Core.order
		stateSince    timer.Millis // when the state was entered
	}
)

//go:embed member.chart
var chartText string

var (
	chart      = interpreter.MustParse("member.chart", chartText)
	stateNames = []string{"", "alive", "suspect", "dead"}
	// events are the events of the chart by the state that another process reports.
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

// overrides reports whether u replaces the record: a newer version always does, and of one version the worse state does.
// The order is total, so all processes end with the same record in whichever order updates arrive.
func (u Update) overrides(r *record) bool {
	if u.Member.newer(r.member) {
		return true
	}
	return !r.member.newer(u.Member) && u.State > r.state
}

// step moves the row along the chart. It panics when the chart refuses the event, because the callers check for that.
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
