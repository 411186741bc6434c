package starter

import (
	"fmt"
	"testing"

	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// five is a roster size with two owners.
var five = []encoder.Member{{ID: "a", Incarnation: 1}, {ID: "b", Incarnation: 1}, {ID: "c", Incarnation: 1},
	{ID: "d", Incarnation: 1}, {ID: "e", Incarnation: 1}}

func roster(epoch uint64, members ...encoder.Member) encoder.Roster {
	r := encoder.Roster{Epoch: epoch}
	for _, m := range members {
		r.Entries = append(r.Entries, encoder.RosterEntry{Member: m, Address: m.ID})
	}
	return r
}

func task(i int) encoder.TaskKey {
	return encoder.TaskKey{Job: fmt.Sprintf("job%d", i/8), Index: uint32(i % 8)}
}

// sessionOf returns the session of a task's owner in the roster.
func sessionOf(c *Core, t encoder.TaskKey) uint64 {
	owner, _ := c.owner(t.Job)
	for s, e := range c.sessions {
		if e.member == owner {
			return s
		}
	}
	return 0
}

// startOf returns a start by the owner in the known roster.
func startOf(c *Core, t encoder.TaskKey) *encoder.Start {
	owner, _ := c.owner(t.Job)
	return &encoder.Start{Task: t, Epoch: c.roster.Epoch, Owner: owner}
}

// foreign returns a task that does not have the owner of the given one.
func foreign(c *Core, t encoder.TaskKey) encoder.TaskKey {
	for i := range 1000 {
		if sessionOf(c, task(i)) != sessionOf(c, t) {
			return task(i)
		}
	}
	panic("all tasks have one owner")
}

// idAt returns the identifier of a sidecar in the cell of the task.
func idAt(r encoder.Roster, t encoder.TaskKey) string {
	owner, _ := elector.Owner(r, t.Job)
	for i := range 1000 {
		if h, _ := elector.Home(r, fmt.Sprint("s", i)); h.Member == owner.Member {
			return fmt.Sprint("s", i)
		}
	}
	panic("no sidecar is in the cell")
}

// connected returns a core with one session for each member, numbered from 1, and a lease until 3000 ms. It stands at
// 1000 ms.
func connected(members ...encoder.Member) *Core {
	r := roster(5, members...)
	c := &Core{ID: idAt(r, task(0)), Slots: 2, Extra: 1}
	for i, m := range members {
		c.Connected(1000, uint64(i+1), &encoder.HelloAck{Member: m, Roster: r})
		pongAt(c, 1000, uint64(i+1), func(*encoder.Pong) {})
	}
	return c
}

func goodPong(sequence uint64, r encoder.Roster) *encoder.Pong {
	return &encoder.Pong{Sequence: sequence, Confirmed: true, Roster: r, ConfigOffset: 10, DomainInForce: true, LogReachable: true}
}

// pongAt answers a ping of the session at the time, after a change.
func pongAt(c *Core, at timer.Millis, session uint64, change func(p *encoder.Pong)) []Effect {
	p := goodPong(0, c.roster)
	for _, e := range c.entries {
		e.nextPing = 0
	}
	for _, e := range c.Tick(at) {
		if m, ok := e.Message.(*encoder.Ping); ok && e.Session == session {
			p.Sequence = m.Sequence
		}
	}
	change(p)
	return c.Receive(at, session, p)
}

// summary lists runs, cancels, refusals and results.
func summary(effects []Effect) (list []string) {
	for _, e := range effects {
		switch m := e.Message.(type) {
		case *encoder.Refusal:
			list = append(list, fmt.Sprintf("refuse %d epoch %d", m.Reason, m.Epoch))
		case *encoder.Result:
			list = append(list, fmt.Sprintf("result %d %s", m.Status, m.Body))
		}
		if kind := map[EffectKind]string{EffectRun: "run", EffectCancel: "cancel", EffectReset: "reset"}[e.Kind]; kind != "" {
			list = append(list, kind)
		}
	}
	return list
}

// TestRefusals guards the start gate: each condition that does not hold must give its own definite refusal.
func TestRefusals(t *testing.T) {
	own := func(c *Core) *encoder.Start { return startOf(c, task(0)) }
	session := func(c *Core) uint64 { return sessionOf(c, task(0)) }
	cancel := &encoder.Cancel{Tasks: []encoder.TaskKey{task(0)}}
	end := func(c *Core, s encoder.Status) {
		c.Receive(1000, session(c), own(c))
		c.Ended(1000, task(0), Outcome{Status: s, Body: []byte("x")})
	}
	tests := []struct {
		name   string
		at     timer.Millis
		pong   func(p *encoder.Pong) // changes a pong for a ping sent at 1000 ms, or one second before at
		before func(c *Core)
		change func(c *Core, m *encoder.Start)
		want   string
	}{
		{name: "none", want: "[run]"},
		{name: "old epoch", change: func(_ *Core, m *encoder.Start) { m.Epoch = 4 }, want: "[refuse 1 epoch 5]"},
		{name: "unexplained epoch", change: func(_ *Core, m *encoder.Start) { m.Epoch = 6 }, want: "[refuse 1 epoch 5]"},
		{name: "promise", before: func(c *Core) { c.Receive(1000, 2, &encoder.Census{Roster: roster(6, five...)}) },
			want: "[refuse 1 epoch 6]"},
		{name: "other owner", change: func(c *Core, m *encoder.Start) { m.Task = foreign(c, m.Task) }, want: "[refuse 2 epoch 5]"},
		{name: "other incarnation", change: func(_ *Core, m *encoder.Start) { m.Owner.Incarnation = 2 }, want: "[refuse 2 epoch 5]"},
		{name: "runs", before: func(c *Core) { c.Receive(1000, session(c), own(c)) }, want: "[refuse 3 epoch 5]"},
		{name: "ended", before: func(c *Core) { end(c, encoder.StatusDone) }, want: "[result 1 x]"},
		{name: "ended, other epoch", before: func(c *Core) { end(c, encoder.StatusDone) },
			change: func(_ *Core, m *encoder.Start) { m.Epoch = 4 }, want: "[result 1 x]"},
		{name: "collected", before: func(c *Core) {
			end(c, encoder.StatusDone)
			c.Receive(1000, session(c), &encoder.Collected{Tasks: []encoder.TaskKey{task(0)}})
		}, want: "[result 1 x]"},
		{name: "no room for the body", before: func(c *Core) {
			c.MaxBodies = -1
			end(c, encoder.StatusDone)
			c.Tick(1000)
		}, want: "[result 3 ]"},
		{name: "not started", before: func(c *Core) { end(c, encoder.StatusNotStarted) }, want: "[run]"},
		{name: "withdrawn", pong: func(p *encoder.Pong) { p.DomainInForce = false }, want: "[refuse 4 epoch 5]"},
		{name: "withdrawn at an older offset", pong: func(p *encoder.Pong) { p.DomainInForce, p.ConfigOffset = false, 9 },
			want: "[run]"},
		{name: "lease ended", at: 3000, want: "[refuse 5 epoch 5]"},
		{name: "unconfirmed pong", at: 3000, pong: func(p *encoder.Pong) { p.Confirmed = false }, want: "[refuse 5 epoch 5]"},
		{name: "lease renewed", at: 3000, pong: func(p *encoder.Pong) { p.Age = 900 }, want: "[run]"},
		{name: "attestation of an older offset", at: 3000,
			pong: func(p *encoder.Pong) { p.LogReachable, p.ConfigOffset = false, 9 }, want: "[refuse 5 epoch 5]"},
		{name: "leaving", before: func(c *Core) { c.SetLeaving(1000, true) }, want: "[refuse 6 epoch 5]"},
		{name: "deadline", change: func(_ *Core, m *encoder.Start) { m.Deadline = -1 }, want: "[refuse 7 epoch 5]"},
		{name: "canceled", before: func(c *Core) { c.Receive(1000, session(c), cancel) }, want: "[refuse 8 epoch 5]"},
		{name: "canceled by a stranger", before: func(c *Core) { c.Receive(1000, session(c)%5+1, cancel) }, want: "[run]"},
		{name: "no credit", before: func(c *Core) {
			c.sessions[session(c)].credits = 0
			c.sessions[session(c)%5+1].credits = 3
		}, want: "[refuse 9 epoch 5]"},
		{name: "not announced", before: func(c *Core) { delete(c.acked, five[2]); c.announced = c.allAcked() },
			want: "[refuse 10 epoch 5]"},
		{name: "claim timeout", at: 1500, before: func(c *Core) {
			c.ClaimWait = 500
			c.Receive(1000, session(c), &encoder.Start{Task: task(0), Epoch: 5, Owner: own(c).Owner, Once: true})
		}, want: "[refuse 3 epoch 5 refuse 11 epoch 5]"},
		{name: "once", change: func(_ *Core, m *encoder.Start) { m.Once = true }, want: "[]"},
		{name: "once in an outage", pong: func(p *encoder.Pong) { p.LogReachable = false },
			change: func(_ *Core, m *encoder.Start) { m.Once = true }, want: "[run]"},
	}
	for _, tt := range tests {
		c := connected(five...)
		m := own(c)
		if tt.pong != nil {
			pongAt(c, max(tt.at-1000, 1000), session(c), tt.pong)
		}
		if tt.before != nil {
			tt.before(c)
		}
		if tt.change != nil {
			tt.change(c, m)
		}
		if got := fmt.Sprint(summary(c.Receive(max(tt.at, 1000), session(c), m))); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
}
