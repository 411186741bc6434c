package interpreter

import (
	"strings"
	"testing"
)

// TestParse checks that incomplete charts are rejected. A gap would otherwise fail only when the missing event occurs.
func TestParse(t *testing.T) {
	cases := []struct {
		name string
		text string
		want string // substring of the error; empty for a valid chart
	}{
		{"valid", "start a\nfinal b\non a go b # done", ""},
		{"no start", "final b\non a go b", "missing start state"},
		{"second start", "start a\nstart b", "c:2: duplicate start state"},
		{"unreachable", "start a\nfinal b\nfinal c\non a go b\non d go c", `state "d" is unreachable`},
		{"missing event", "start a\nfinal c\non a go b\non a stop c\non b stop c", `event "go" is neither handled nor refused in state "b"`},
		{"refused event", "start a\nfinal c\non a go b\non a stop c\non b stop c\nrefuse b go", ""},
		{"no exit", "start a\non a go b\non b go b\nfinal c\n", `state "b" is not final and has no transition to another state`},
		{"exit from final state", "start a\nfinal b\non a go b\non b go a", `final state "b" has an outgoing transition`},
		{"duplicate event", "start a\non a go b\non a go c", "c:3: duplicate event \"go\""},
		{"unknown directive", "begin a", `c:1: unknown directive "begin a"`},
		{"all problems", "begin a\nend b", "c:2:"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("c", c.text)
			if c.want == "" {
				if err != nil {
					t.Errorf("got error %v, want none", err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want %q", err, c.want)
			}
		})
	}
}

// TestStep checks that a state changes only on events that the chart handles in that state.
func TestStep(t *testing.T) {
	c := MustParse("c", "start a\nfinal b\non a go b\nrefuse a stop")
	cases := []struct {
		state, event, want string
		refused            bool
	}{
		{"a", "go", "b", false},
		{"a", "stop", "a", true},
		{"b", "go", "b", true},
		{"a", "other", "a", true},
	}
	for _, x := range cases {
		got, err := c.Step(x.state, x.event)
		if got != x.want || (err != nil) != x.refused {
			t.Errorf("%s on %s: got %s, %v, want %s, refused %v", x.event, x.state, got, err, x.want, x.refused)
		}
	}
}
