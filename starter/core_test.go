package starter

import (
	"fmt"
	"testing"

	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// testMembers is large enough for a roster with two owners.
var testMembers = []encoder.Member{{ID: "a", Incarnation: 1}, {ID: "b", Incarnation: 1}, {ID: "c", Incarnation: 1},
	{ID: "d", Incarnation: 1}, {ID: "e", Incarnation: 1}}

func newRoster(epoch uint64, members ...encoder.Member) encoder.Roster {
	r := encoder.Roster{Epoch: epoch}
	for _, m := range members {
		r.Entries = append(r.Entries, encoder.RosterEntry{Member: m, Address: m.ID})
	}
	return r
}

func task(i int) encoder.TaskKey {
	return encoder.TaskKey{Job: fmt.Sprintf("job%d", i/8), Index: uint32(i % 8)}
}

// ownerSession returns the session of the owner of a task according to the known roster.
func ownerSession(c *Core, t encoder.TaskKey) uint64 {
	owner, _ := c.ownerOf(t.Job)
	for s, e := range c.sessions {
		if e.member == owner {
			return s
		}
	}
	return 0
}

// ownerStart returns a start from the owner of a task according to the known roster.
func ownerStart(c *Core, t encoder.TaskKey) *encoder.Start {
	owner, _ := c.ownerOf(t.Job)
	return &encoder.Start{Task: t, Epoch: c.roster.Epoch, Owner: owner}
}

// taskOfOtherOwner returns a task that has a different owner than t.
func taskOfOtherOwner(c *Core, t encoder.TaskKey) encoder.TaskKey {
	for i := range 1000 {
		if ownerSession(c, task(i)) != ownerSession(c, t) {
			return task(i)
		}
	}
	panic("all tasks have the same owner")
}

// sidecarIDInCell returns the identifier of a sidecar in the same cell as the task.
func sidecarIDInCell(r encoder.Roster, t encoder.TaskKey) string {
	owner, _ := elector.Owner(r, t.Job)
	for i := range 1000 {
		if h, _ := elector.SidecarOwner(r, fmt.Sprint("s", i)); h.Member == owner.Member {
			return fmt.Sprint("s", i)
		}
	}
	panic("no sidecar is in the cell")
}

// newConnectedCore returns a core with one session per member, numbered from 1. Its time is 1000 ms and its lease ends
// at 3000 ms.
func newConnectedCore(members ...encoder.Member) *Core {
	r := newRoster(5, members...)
	c := &Core{ID: sidecarIDInCell(r, task(0)), Slots: 2, ExtraCredits: 1}
	for i, m := range members {
		c.Connected(1000, uint64(i+1), &encoder.HelloAck{Member: m, Roster: r})
		answerPing(c, 1000, uint64(i+1), func(*encoder.Pong) {})
	}
	return c
}

func validPong(sequence uint64, r encoder.Roster) *encoder.Pong {
	return &encoder.Pong{Sequence: sequence, Confirmed: true, Roster: r, ConfigOffset: 10, DomainInForce: true, LogReachable: true}
}

// answerPing sends a ping on the session at the given time and answers it with a valid pong that is modified by change.
func answerPing(c *Core, at timer.Millis, session uint64, change func(p *encoder.Pong)) []Effect {
	p := validPong(0, c.roster)
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

// summarize lists runs, cancellations, resets, refusals and results.
func summarize(effects []Effect) (list []string) {
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

// TestRefusals checks that each failed condition of the start gate is answered with its own refusal reason.
func TestRefusals(t *testing.T) {
	own := func(c *Core) *encoder.Start { return ownerStart(c, task(0)) }
	session := func(c *Core) uint64 { return ownerSession(c, task(0)) }
	cancel := &encoder.Cancel{Tasks: []encoder.TaskKey{task(0)}}
	end := func(c *Core, s encoder.Status) {
		c.Receive(1000, session(c), own(c))
		c.RunEnded(1000, task(0), Outcome{Status: s, Body: []byte("x")})
	}
	tests := []struct {
		name   string
		at     timer.Millis
		pong   func(p *encoder.Pong) // modifies a pong whose ping was sent 1000 ms before at, but not before 1000 ms
		before func(c *Core)
		change func(c *Core, m *encoder.Start)
		want   string
	}{
		{name: "none", want: "[run]"},
		{name: "old epoch", change: func(_ *Core, m *encoder.Start) { m.Epoch = 4 }, want: "[refuse 1 epoch 5]"},
		{name: "unknown epoch", change: func(_ *Core, m *encoder.Start) { m.Epoch = 6 }, want: "[refuse 1 epoch 5]"},
		{name: "epoch raised by a census", before: func(c *Core) {
			c.Receive(1000, 2, &encoder.Census{Roster: newRoster(6, testMembers...)})
		}, want: "[refuse 1 epoch 6]"},
		{name: "other owner", change: func(c *Core, m *encoder.Start) { m.Task = taskOfOtherOwner(c, m.Task) }, want: "[refuse 2 epoch 5]"},
		{name: "other incarnation", change: func(_ *Core, m *encoder.Start) { m.Owner.Incarnation = 2 }, want: "[refuse 2 epoch 5]"},
		{name: "running", before: func(c *Core) { c.Receive(1000, session(c), own(c)) }, want: "[refuse 3 epoch 5]"},
		{name: "ended", before: func(c *Core) { end(c, encoder.StatusDone) }, want: "[result 1 x]"},
		{name: "ended, other epoch", before: func(c *Core) { end(c, encoder.StatusDone) },
			change: func(_ *Core, m *encoder.Start) { m.Epoch = 4 }, want: "[result 1 x]"},
		{name: "collected", before: func(c *Core) {
			end(c, encoder.StatusDone)
			c.Receive(1000, session(c), &encoder.Collected{Tasks: []encoder.TaskKey{task(0)}})
		}, want: "[result 1 x]"},
		{name: "result dropped", before: func(c *Core) {
			c.MaxResultBytes = -1
			end(c, encoder.StatusDone)
			c.Tick(1000)
		}, want: "[result 3 ]"},
		{name: "not started", before: func(c *Core) { end(c, encoder.StatusNotStarted) }, want: "[run]"},
		{name: "withdrawn", pong: func(p *encoder.Pong) { p.DomainInForce = false }, want: "[refuse 4 epoch 5]"},
		{name: "withdrawn at an older offset", pong: func(p *encoder.Pong) { p.DomainInForce, p.ConfigOffset = false, 9 },
			want: "[run]"},
		{name: "lease expired", at: 3000, want: "[refuse 5 epoch 5]"},
		{name: "unconfirmed pong", at: 3000, pong: func(p *encoder.Pong) { p.Confirmed = false }, want: "[refuse 5 epoch 5]"},
		{name: "lease renewed", at: 3000, pong: func(p *encoder.Pong) { p.ConfirmationAge = 900 }, want: "[run]"},
		{name: "attestation of an older offset", at: 3000,
			pong: func(p *encoder.Pong) { p.LogReachable, p.ConfigOffset = false, 9 }, want: "[refuse 5 epoch 5]"},
		{name: "leaving", before: func(c *Core) { c.SetLeaving(1000, true) }, want: "[refuse 6 epoch 5]"},
		{name: "deadline passed", change: func(_ *Core, m *encoder.Start) { m.Deadline = -1 }, want: "[refuse 7 epoch 5]"},
		{name: "canceled", before: func(c *Core) { c.Receive(1000, session(c), cancel) }, want: "[refuse 8 epoch 5]"},
		{name: "canceled by an entry without authority", before: func(c *Core) { c.Receive(1000, session(c)%5+1, cancel) }, want: "[run]"},
		{name: "no credit", before: func(c *Core) {
			c.sessions[session(c)].credits = 0
			c.sessions[session(c)%5+1].credits = 3
		}, want: "[refuse 9 epoch 5]"},
		{name: "not announced", before: func(c *Core) { delete(c.ackedBy, testMembers[2]); c.announced = c.allAcked() },
			want: "[refuse 10 epoch 5]"},
		{name: "claim timeout", at: 1500, before: func(c *Core) {
			c.ClaimTimeout = 500
			c.Receive(1000, session(c), &encoder.Start{Task: task(0), Epoch: 5, Owner: own(c).Owner, Once: true})
		}, want: "[refuse 3 epoch 5 refuse 11 epoch 5]"},
		{name: "once", change: func(_ *Core, m *encoder.Start) { m.Once = true }, want: "[]"},
		{name: "once in an outage", pong: func(p *encoder.Pong) { p.LogReachable = false },
			change: func(_ *Core, m *encoder.Start) { m.Once = true }, want: "[run]"},
	}
	for _, tt := range tests {
		c := newConnectedCore(testMembers...)
		m := own(c)
		if tt.pong != nil {
			answerPing(c, max(tt.at-1000, 1000), session(c), tt.pong)
		}
		if tt.before != nil {
			tt.before(c)
		}
		if tt.change != nil {
			tt.change(c, m)
		}
		if got := fmt.Sprint(summarize(c.Receive(max(tt.at, 1000), session(c), m))); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
}
