package starter

import (
	"fmt"
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// ended runs the tasks and ends each with the body.
func ended(c *Core, now timer.Millis, body []byte, tasks ...encoder.TaskKey) {
	for _, t := range tasks {
		c.Receive(now, sessionOf(c, t), startOf(c, t))
		c.Ended(now, t, Outcome{Status: encoder.StatusDone, Body: body})
	}
}

// TestCensus guards the takeover: the reply must list each started task of the asker, in parts that fit a frame, and
// a repeated start must get the kept result, also after its collection. A waiting task that it lacks must not start any more.
func TestCensus(t *testing.T) {
	c := connected(five[:3]...)
	c.MaxBodies = 1 << 24
	s := sessionOf(c, task(0))
	for i := range 20_000 { // more than fit one frame
		ended(c, 1000, nil, encoder.TaskKey{Job: fmt.Sprintf("%0250d", i)})
	}
	ended(c, 1000, make([]byte, MaxBody), task(0), task(1), task(2), task(3), task(4), task(5))
	c.Receive(1000, s, &encoder.Collected{Tasks: []encoder.TaskKey{task(5)}})
	for i := 6; i < 9; i++ { // two run, one waits
		c.Receive(1000, s, startOf(c, task(i)))
	}
	refused, last, many := false, false, 0
	got := map[encoder.TaskKey]string{}
	for _, e := range c.Receive(1000, s, &encoder.Census{Roster: roster(6, five[:3]...)}) {
		if m, ok := e.Message.(*encoder.Refusal); ok {
			refused = m.Task == task(8) && m.Reason == encoder.RefusalStaleEpoch && m.Epoch == 6
		}
		if m, ok := e.Message.(*encoder.CensusReply); ok {
			if n := len(encoder.Append(nil, m)); n > encoder.MaxFrame || !refused || last || m.Epoch != 6 {
				t.Errorf("part of %d bytes and epoch %d, after the refusal %v, after the last part %v", n, m.Epoch, refused, last)
			}
			last = m.Last
			for _, r := range m.Started {
				if len(r.Task.Job) == 250 {
					many++
				} else {
					got[r.Task] = fmt.Sprint(r.Status, " ", len(r.Body))
				}
			}
		}
	}
	want := map[encoder.TaskKey]string{
		task(0): "kept 0", task(1): "kept 0", task(2): "kept 0", task(3): "kept 0", task(4): "kept 0", task(5): "kept 0",
		task(6): "running 0", task(7): "running 0",
	}
	if fmt.Sprint(got) != fmt.Sprint(want) || !last || many != 20_000 {
		t.Errorf("census: got %v and %d, last %v, want %v and 20000", got, many, last, want)
	}
	for i := range 6 {
		sent := c.Receive(1000, s, startOf(c, task(i)))
		if m, ok := sent[0].Message.(*encoder.Result); !ok || m.Status != encoder.StatusDone || len(m.Body) != MaxBody {
			t.Errorf("repeated start of task %d: got %v, want its kept result", i, summary(sent))
		}
	}
}

// TestLostSession guards against lost results, and against a "not started" that overtakes a repeated start.
func TestLostSession(t *testing.T) {
	c := connected(five[:3]...)
	s := sessionOf(c, task(0))
	ack := &encoder.HelloAck{Member: c.sessions[s].member, Roster: c.roster}
	ended(c, 1000, []byte("x"), task(0))
	c.Receive(1000, s, startOf(c, task(1)))
	c.Receive(1000, s, startOf(c, task(2)))
	for _, tt := range []struct{ got, want string }{
		{fmt.Sprint(summary(c.Connected(1000, 9, ack))), "[result 1 x]"},
		{fmt.Sprint(summary(c.Receive(1000, s, startOf(c, task(3))))), "[]"},
		{fmt.Sprint(summary(c.Ended(1000, task(1), Outcome{Status: encoder.StatusNotStarted}))), "[]"},
		{fmt.Sprint(summary(c.Receive(1000, 9, startOf(c, task(1))))), "[run]"},
		{fmt.Sprint(summary(c.Receive(1000, 9, startOf(c, task(2))))), "[refuse 3 epoch 5]"},
		{fmt.Sprint(summary(c.Receive(1000, 9, &encoder.Cancel{Tasks: []encoder.TaskKey{task(2)}}))), "[cancel]"},
		{fmt.Sprint(summary(c.Ended(1000, task(2), Outcome{Status: encoder.StatusNotStarted}))), "[result 4 ]"},
		{fmt.Sprint(summary(c.SetLeaving(1000, true)), summary(c.SetLeaving(1000, false))), "[] [reset reset reset]"},
	} {
		if tt.got != tt.want {
			t.Errorf("got %s, want %s", tt.got, tt.want)
		}
	}
}

// TestMovedRows guards against a result with the outcome of another task: opening a waiting task moves the table's rows.
func TestMovedRows(t *testing.T) {
	c := connected(five[:3]...)
	ended(c, 1000, []byte("other"), task(1))
	for _, i := range []int{5, 6, 0} {
		c.Receive(1000, sessionOf(c, task(i)), startOf(c, task(i)))
	}
	own := Outcome{Status: encoder.StatusDone, Body: []byte("own")}
	if got, want := fmt.Sprint(summary(c.Ended(1000, task(5), own))), "[run result 1 own]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// TestRetention guards the bounds of the started-task table; a dropped body must not pass for an empty result.
func TestRetention(t *testing.T) {
	for _, tt := range []struct {
		name   string
		limits Core
		at     timer.Millis
		want   string
	}{
		{"all kept", Core{}, 1000, "[result 1 xxxx] [result 1 xxxx]"},
		{"time", Core{KeyRetention: 500}, 1501, "[run] [run]"},
		{"not yet", Core{KeyRetention: 500}, 1500, "[result 1 xxxx] [result 1 xxxx]"},
		{"count, collected", Core{MaxKeys: 1}, 1000, "[result 1 xxxx] [run]"}, // only task 1 is collected
		{"bytes", Core{MaxBodies: 2*(4+detailOverhead) - 1}, 1000, "[result 3 ] [result 1 xxxx]"},
	} {
		c := connected(five[:3]...)
		ended(c, 1000, []byte("xxxx"), task(0), task(1))
		c.KeyRetention = orDefault(tt.limits.KeyRetention, c.KeyRetention)
		c.MaxKeys, c.MaxBodies = orDefault(tt.limits.MaxKeys, c.MaxKeys), orDefault(tt.limits.MaxBodies, c.MaxBodies)
		s := sessionOf(c, task(0))
		c.Receive(1000, s, &encoder.Collected{Tasks: []encoder.TaskKey{task(1)}})
		got := fmt.Sprint(summary(c.Receive(tt.at, s, startOf(c, task(0)))), summary(c.Receive(tt.at, s, startOf(c, task(1)))))
		if got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
}

// TestCredits guards the return of a failure domain, the move of the cell to another owner, and withdrawals that only
// one entry knows: credits must follow, and no slot may be granted twice.
func TestCredits(t *testing.T) {
	c := connected(five[:3]...)
	s := sessionOf(c, task(0))
	other := s%3 + 1
	pong := func(s, offset uint64, inForce bool) []Effect {
		return pongAt(c, 1000, s, func(p *encoder.Pong) { p.ConfigOffset, p.DomainInForce = offset, inForce })
	}
	rest := roster(6, five[:3]...)
	rest.Entries = slices.DeleteFunc(rest.Entries, func(e encoder.RosterEntry) bool { return e.Member == c.sessions[s].member })
	for i, tt := range []struct {
		do   func() []Effect
		want string
	}{
		{func() []Effect { return pong(other, 10, false) }, fmt.Sprintf("recall %d 3,", s)},
		{func() []Effect { return pong(s, 10, true) }, ""},
		{func() []Effect { return c.Receive(1000, s, &encoder.Release{Credits: 3}) }, ""},
		{func() []Effect { return pong(other, 10, true) }, fmt.Sprintf("grant %d 1,", s)},
		{func() []Effect { return c.Receive(1000, s, startOf(c, task(0))) }, ""},
		{func() []Effect { return c.Ended(1000, task(0), Outcome{Status: encoder.StatusDone}) }, "with result 3,"},
		{func() []Effect { return pong(s, 11, false) }, fmt.Sprintf("recall %d 3,", s)},
		// Starts that were under way are refused and spend the credits that were asked back.
		{func() []Effect { ended(c, 1000, nil, task(1), task(2), task(3)); return nil }, ""},
		{func() []Effect { return c.Receive(1000, s, &encoder.Release{}) }, ""},
		{func() []Effect { return pong(other, 10, true) }, ""},
		{func() []Effect { return pong(s, 12, true) }, fmt.Sprintf("grant %d 1,", s)},
		{func() []Effect { return c.Receive(1000, other, &encoder.Census{Roster: rest}) },
			fmt.Sprintf("grant %d 1,", sessionOf(&Core{sessions: c.sessions, roster: rest}, task(0)))},
	} {
		got := ""
		for _, e := range tt.do() {
			switch m := e.Message.(type) {
			case *encoder.Grant:
				got += fmt.Sprintf("grant %d %d,", e.Session, m.Credits)
			case *encoder.Recall:
				got += fmt.Sprintf("recall %d %d,", e.Session, m.Credits)
			case *encoder.Result:
				got += fmt.Sprintf("with result %d,", m.Credits)
			}
		}
		if got != tt.want {
			t.Errorf("step %d: got %q, want %q", i, got, tt.want)
		}
	}
}
