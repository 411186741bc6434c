// Package interpreter parses, validates and executes finite state machines that are defined in text files, called charts.
//
// A chart file has one directive per line. A "#" starts a comment that extends to the end of the line:
//
//	start  STATE
//	final  STATE
//	on     STATE EVENT STATE
//	refuse STATE EVENT
//
// Each state must be reachable from the start state. Each state that is not final must have a transition to another
// state and must either handle or refuse every event of the chart.
package interpreter

import (
	"fmt"
	"sort"
	"strings"

	"github.com/gravitational/trace"
)

type (
	// Chart is a validated state machine. It is immutable.
	Chart struct {
		name    string
		start   string
		finals  map[string]bool
		next    map[transition]string
		refused map[transition]bool
	}

	// transition identifies a transition by its source state and event.
	transition struct{ state, event string }

	problem struct {
		line int // 0 if the problem concerns the whole chart
		text string
	}
)

// Parse parses and validates a chart. The error lists every problem with the name of the chart and the line number. If
// there are syntax errors, the states and events are not validated.
func Parse(name, text string) (Chart, error) {
	c := Chart{name: name, finals: map[string]bool{}, next: map[transition]string{}, refused: map[transition]bool{}}
	var problems []problem
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if fields := strings.Fields(line); len(fields) > 0 {
			if message := c.addDirective(fields); message != "" {
				problems = append(problems, problem{i + 1, message})
			}
		}
	}
	if len(problems) == 0 {
		problems = c.validate()
	}
	if len(problems) == 0 {
		return c, nil
	}
	var errs []error
	for _, p := range problems {
		errs = append(errs, fmt.Errorf("%s:%d: %s", name, p.line, p.text))
	}
	return Chart{}, trace.NewAggregate(errs...)
}

// MustParse is like Parse but panics if the chart is invalid. It is for charts that are embedded in the program.
func MustParse(name, text string) Chart {
	c, err := Parse(name, text)
	if err != nil {
		panic(err)
	}
	return c
}

// Start returns the start state.
func (c Chart) Start() string { return c.start }

// Final reports whether state is final.
func (c Chart) Final(state string) bool { return c.finals[state] }

// Step returns the state that follows state on event. If the chart does not handle the event in that state, it returns
// the unchanged state and an error.
func (c Chart) Step(state, event string) (string, error) {
	if next, ok := c.next[transition{state, event}]; ok {
		return next, nil
	}
	return state, trace.BadParameter("chart %s refuses event %q in state %q", c.name, event, state)
}

// States returns all states in sorted order.
func (c Chart) States() []string {
	seen := map[string]bool{c.start: true}
	for s, to := range c.next {
		seen[s.state], seen[to] = true, true
	}
	for s := range c.finals {
		seen[s] = true
	}
	return sortedKeys(seen)
}

// Events returns all events in sorted order.
func (c Chart) Events() []string {
	seen := map[string]bool{}
	for s := range c.next {
		seen[s.event] = true
	}
	for s := range c.refused {
		seen[s.event] = true
	}
	return sortedKeys(seen)
}

// addDirective adds one directive to the chart. It returns a description of the syntax error, or "".
func (c *Chart) addDirective(fields []string) string {
	switch {
	case fields[0] == "start" && len(fields) == 2:
		if c.start != "" {
			return "duplicate start state"
		}
		c.start = fields[1]
	case fields[0] == "final" && len(fields) == 2:
		c.finals[fields[1]] = true
	case fields[0] == "on" && len(fields) == 4:
		t := transition{fields[1], fields[2]}
		if c.next[t] != "" || c.refused[t] {
			return fmt.Sprintf("duplicate event %q in state %q", t.event, t.state)
		}
		c.next[t] = fields[3]
	case fields[0] == "refuse" && len(fields) == 3:
		t := transition{fields[1], fields[2]}
		if c.next[t] != "" || c.refused[t] {
			return fmt.Sprintf("duplicate event %q in state %q", t.event, t.state)
		}
		c.refused[t] = true
	default:
		return fmt.Sprintf("unknown directive %q", strings.Join(fields, " "))
	}
	return ""
}

func (c *Chart) validate() []problem {
	var problems []problem
	add := func(format string, args ...any) {
		problems = append(problems, problem{0, fmt.Sprintf(format, args...)})
	}
	if c.start == "" {
		add("missing start state")
		return problems
	}
	reached := c.reachable()
	events := c.Events()
	for _, s := range c.States() {
		if !reached[s] {
			add("state %q is unreachable", s)
		}
		for _, e := range events {
			to, handled := c.next[transition{s, e}]
			switch {
			case c.finals[s] && handled && to != s:
				add("final state %q has an outgoing transition on event %q", s, e)
			case !c.finals[s] && !handled && !c.refused[transition{s, e}]:
				add("event %q is neither handled nor refused in state %q", e, s)
			}
		}
		if !c.finals[s] && !c.hasExit(s) {
			add("state %q is not final and has no transition to another state", s)
		}
	}
	return problems
}

func (c *Chart) reachable() map[string]bool {
	reached := map[string]bool{c.start: true}
	for changed := true; changed; {
		changed = false
		for s, to := range c.next {
			if reached[s.state] && !reached[to] {
				reached[to], changed = true, true
			}
		}
	}
	return reached
}

// hasExit reports whether state has a transition to another state.
func (c *Chart) hasExit(state string) bool {
	for s, to := range c.next {
		if s.state == state && to != state {
			return true
		}
	}
	return false
}

func sortedKeys(set map[string]bool) []string {
	list := make([]string, 0, len(set))
	for s := range set {
		list = append(list, s)
	}
	sort.Strings(list)
	return list
}
