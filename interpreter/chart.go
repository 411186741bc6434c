// Package interpreter reads state charts from text files, checks them and steps them.
//
// A chart file has one directive a line; "#" begins a comment:
//
//	start  STATE
//	final  STATE
//	on     STATE EVENT STATE
//	refuse STATE EVENT
//
// Each state must be reachable from the start, each state that is not final must have a way out, and each event must be
// either handled or refused in each state that is not final.
package interpreter

import (
	"fmt"
	"sort"
	"strings"

	"github.com/gravitational/trace"
)

type (
	// Chart is a checked state chart. It is immutable.
	Chart struct {
		name    string
		start   string
		finals  map[string]bool
		next    map[step]string
		refused map[step]bool
	}

	step struct{ state, event string }

	finding struct {
		line int
		text string
	}
)

// Parse reads a chart. The error lists every finding with the chart's name and the line.
func Parse(name, text string) (Chart, error) {
	c := Chart{name: name, finals: map[string]bool{}, next: map[step]string{}, refused: map[step]bool{}}
	var found []finding
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if words := strings.Fields(line); len(words) > 0 {
			if problem := c.directive(words); problem != "" {
				found = append(found, finding{i + 1, problem})
			}
		}
	}
	if len(found) == 0 {
		found = c.check()
	}
	if len(found) == 0 {
		return c, nil
	}
	var errs []error
	for _, f := range found {
		errs = append(errs, fmt.Errorf("%s:%d: %s", name, f.line, f.text))
	}
	return Chart{}, trace.NewAggregate(errs...)
}

// MustParse is Parse for charts that are part of the program. It panics on a finding, because that is a bug.
func MustParse(name, text string) Chart {
	c, err := Parse(name, text)
	if err != nil {
		panic(err)
	}
	return c
}

// Start returns the start state.
func (c Chart) Start() string { return c.start }

// Final reports whether no event leaves the state.
func (c Chart) Final(state string) bool { return c.finals[state] }

// Step returns the state that follows event in state. The error says that the chart refuses the event there.
func (c Chart) Step(state, event string) (string, error) {
	if next, ok := c.next[step{state, event}]; ok {
		return next, nil
	}
	return state, trace.BadParameter("chart %s refuses event %q in state %q", c.name, event, state)
}

// States returns all states in order.
func (c Chart) States() []string {
	seen := map[string]bool{c.start: true}
	for s, to := range c.next {
		seen[s.state], seen[to] = true, true
	}
	for s := range c.finals {
		seen[s] = true
	}
	return sorted(seen)
}

// Events returns all events in order.
func (c Chart) Events() []string {
	seen := map[string]bool{}
	for s := range c.next {
		seen[s.event] = true
	}
	for s := range c.refused {
		seen[s.event] = true
	}
	return sorted(seen)
}

func (c *Chart) directive(words []string) string {
	switch {
	case words[0] == "start" && len(words) == 2:
		if c.start != "" {
			return "a second start state"
		}
		c.start = words[1]
	case words[0] == "final" && len(words) == 2:
		c.finals[words[1]] = true
	case words[0] == "on" && len(words) == 4:
		s := step{words[1], words[2]}
		if c.next[s] != "" || c.refused[s] {
			return fmt.Sprintf("event %q stands twice in state %q", s.event, s.state)
		}
		c.next[s] = words[3]
	case words[0] == "refuse" && len(words) == 3:
		s := step{words[1], words[2]}
		if c.next[s] != "" || c.refused[s] {
			return fmt.Sprintf("event %q stands twice in state %q", s.event, s.state)
		}
		c.refused[s] = true
	default:
		return fmt.Sprintf("unknown directive %q", strings.Join(words, " "))
	}
	return ""
}

func (c *Chart) check() []finding {
	var found []finding
	add := func(format string, args ...any) { found = append(found, finding{0, fmt.Sprintf(format, args...)}) }
	if c.start == "" {
		add("no start state")
		return found
	}
	reached := c.reachable()
	events := c.Events()
	for _, s := range c.States() {
		if !reached[s] {
			add("state %q cannot be reached", s)
		}
		for _, e := range events {
			to, handled := c.next[step{s, e}]
			switch {
			case c.finals[s] && handled && to != s:
				add("final state %q is left by event %q", s, e)
			case !c.finals[s] && !handled && !c.refused[step{s, e}]:
				add("event %q is neither handled nor refused in state %q", e, s)
			}
		}
		if !c.finals[s] && !c.canLeave(s) {
			add("state %q has no way out and is not final", s)
		}
	}
	return found
}

func (c *Chart) reachable() map[string]bool {
	reached := map[string]bool{c.start: true}
	for grown := true; grown; {
		grown = false
		for s, to := range c.next {
			if reached[s.state] && !reached[to] {
				reached[to], grown = true, true
			}
		}
	}
	return reached
}

func (c *Chart) canLeave(state string) bool {
	for s, to := range c.next {
		if s.state == state && to != state {
			return true
		}
	}
	return false
}

func sorted(set map[string]bool) []string {
	list := make([]string, 0, len(set))
	for s := range set {
		list = append(list, s)
	}
	sort.Strings(list)
	return list
}
