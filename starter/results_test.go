package starter

import (
	"fmt"
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// runAndEnd starts the tasks and ends each one successfully with the given body.
func runAndEnd(c *Core, now timer.Millis, body []byte, tasks ...encoder.TaskKey) {
	for _, t := range tasks {
		c.Receive(now, ownerSession(c, t), ownerStart(c, t))
		c.RunEnded(now, t, Outcome{Status: encoder.StatusDone, Body: body})
	}
}

// TestCensus checks the reply to a census during a takeover: it lists every started task of the new owner, in parts
// that fit in a frame, and waiting tasks that it does not list are refused. A repeated start is answered with the
// retained result, even after its collection.
func TestCensus(t *testing.T) {
	c := newConnectedCore(testMembers[:3]...)
	c.MaxResultBytes = 1 << 24
	s := ownerSession(c, task(0))
	for i := range 20_000 { // too many for one frame
		runAndEnd(c, 1000, nil, encoder.TaskKey{Job: fmt.Sprintf("%0250d", i)})
	}
	runAndEnd(c, 1000, make([]byte, MaxBody), task(0), task(1), task(2), task(3), task(4), task(5))
	c.Receive(1000, s, &encoder.Collected{Tasks: []encoder.TaskKey{task(5)}})
	for i := 6; i < 9; i++ { // two are running, one is waiting
		c.Receive(1000, s, ownerStart(c, task(i)))
	}
	refused, last, longKeys := false, false, 0
	got := map[encoder.TaskKey]string{}
	for _, e := range c.Receive(1000, s, &encoder.Census{Roster: newRoster(6, testMembers[:3]...)}) {
		if m, ok := e.Message.(*encoder.Refusal); ok {
			refused = m.Task == task(8) && m.Reason == encoder.RefusalStaleEpoch && m.Epoch == 6
		}
		if m, ok := e.Message.(*encoder.CensusReply); ok {
			if n := len(encoder.Append(nil, m)); n > encoder.MaxFrameSize || !refused || last || m.Epoch != 6 {
				t.Errorf("invalid reply part: %d bytes, epoch %d, sent after the refusal: %v, sent after the last part: %v", n, m.Epoch, refused, last)
			}
			last = m.Last
			for _, r := range m.Started {
				if len(r.Task.Job) == 250 {
					longKeys++
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
	if fmt.Sprint(got) != fmt.Sprint(want) || !last || longKeys != 20_000 {
		t.Errorf("census: got %v and %d long keys, last part %v, want %v and 20000 long keys", got, longKeys, last, want)
	}
	for i := range 6 {
		sent := c.Receive(1000, s, ownerStart(c, task(i)))
		if m, ok := sent[0].Message.(*encoder.Result); !ok || m.Status != encoder.StatusDone || len(m.Body) != MaxBody {
			t.Errorf("repeated start of task %d: got %v, want its retained result", i, summarize(sent))
		}
	}
}

// TestLostSession checks that the results of a lost session are sent again on the next one, and that no "not started"
// is sent while a repeated start may be in flight, because that start would run the task.
func TestLostSession(t *testing.T) {
	c := newConnectedCore(testMembers[:3]...)
	s := ownerSession(c, task(0))
	ack := &encoder.HelloAck{Member: c.sessions[s].member, Roster: c.roster}
	runAndEnd(c, 1000, []byte("x"), task(0))
	c.Receive(1000, s, ownerStart(c, task(1)))
	c.Receive(1000, s, ownerStart(c, task(2)))
	for _, tt := range []struct{ got, want string }{
		{fmt.Sprint(summarize(c.Connected(1000, 9, ack))), "[result 1 x]"},
		{fmt.Sprint(summarize(c.Receive(1000, s, ownerStart(c, task(3))))), "[]"},
		{fmt.Sprint(summarize(c.RunEnded(1000, task(1), Outcome{Status: encoder.StatusNotStarted}))), "[]"},
		{fmt.Sprint(summarize(c.Receive(1000, 9, ownerStart(c, task(1))))), "[run]"},
		{fmt.Sprint(summarize(c.Receive(1000, 9, ownerStart(c, task(2))))), "[refuse 3 epoch 5]"},
		{fmt.Sprint(summarize(c.Receive(1000, 9, &encoder.Cancel{Tasks: []encoder.TaskKey{task(2)}}))), "[cancel]"},
		{fmt.Sprint(summarize(c.RunEnded(1000, task(2), Outcome{Status: encoder.StatusNotStarted}))), "[result 4 ]"},
		{fmt.Sprint(summarize(c.SetLeaving(1000, true)), summarize(c.SetLeaving(1000, false))), "[] [reset reset reset]"},
	} {
		if tt.got != tt.want {
			t.Errorf("got %s, want %s", tt.got, tt.want)
		}
	}
}

// TestMovedRows is a regression test: the end of a task starts a waiting one, which may move the table's rows, so the
// result could contain the outcome of another task.
func TestMovedRows(t *testing.T) {
	c := newConnectedCore(testMembers[:3]...)
	runAndEnd(c, 1000, []byte("other"), task(1))
	for _, i := range []int{5, 6, 0} {
		c.Receive(1000, ownerSession(c, task(i)), ownerStart(c, task(i)))
	}
	own := Outcome{Status: encoder.StatusDone, Body: []byte("own")}
	if got, want := fmt.Sprint(summarize(c.RunEnded(1000, task(5), own))), "[run result 1 own]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// TestRetention checks the limits of the started-task table, and that a dropped body is not reported as an empty
// result.
func TestRetention(t *testing.T) {
	for _, tt := range []struct {
		name   string
		limits Core
		at     timer.Millis
		want   string
	}{
		{"within limits", Core{}, 1000, "[result 1 xxxx] [result 1 xxxx]"},
		{"retention over", Core{KeyRetention: 500}, 1501, "[run] [run]"},
		{"within retention", Core{KeyRetention: 500}, 1500, "[result 1 xxxx] [result 1 xxxx]"},
		{"too many keys", Core{MaxKeys: 1}, 1000, "[result 1 xxxx] [run]"}, // only task 1 is collected
		{"too many result bytes", Core{MaxResultBytes: 2*(4+resultOverhead) - 1}, 1000, "[result 3 ] [result 1 xxxx]"},
	} {
		c := newConnectedCore(testMembers[:3]...)
		runAndEnd(c, 1000, []byte("xxxx"), task(0), task(1))
		c.KeyRetention = orDefault(tt.limits.KeyRetention, c.KeyRetention)
		c.MaxKeys, c.MaxResultBytes = orDefault(tt.limits.MaxKeys, c.MaxKeys), orDefault(tt.limits.MaxResultBytes, c.MaxResultBytes)
		s := ownerSession(c, task(0))
		c.Receive(1000, s, &encoder.Collected{Tasks: []encoder.TaskKey{task(1)}})
		got := fmt.Sprint(summarize(c.Receive(tt.at, s, ownerStart(c, task(0)))), summarize(c.Receive(tt.at, s, ownerStart(c, task(1)))))
		if got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
}

// TestCredits checks the credits when a failure domain is withdrawn and reinstated, when only one entry knows of the
// withdrawal, and when the cell moves to another owner. No slot may be granted twice.
func TestCredits(t *testing.T) {
	c := newConnectedCore(testMembers[:3]...)
	s := ownerSession(c, task(0))
	other := s%3 + 1
	pong := func(s, offset uint64, inForce bool) []Effect {
		return answerPing(c, 1000, s, func(p *encoder.Pong) { p.ConfigOffset, p.DomainInForce = offset, inForce })
	}
	withoutOwner := newRoster(6, testMembers[:3]...)
	withoutOwner.Entries = slices.DeleteFunc(withoutOwner.Entries, func(e encoder.RosterEntry) bool { return e.Member == c.sessions[s].member })
	for i, tt := range []struct {
		do   func() []Effect
		want string
	}{
		{func() []Effect { return pong(other, 10, false) }, fmt.Sprintf("recall %d 3,", s)},
		{func() []Effect { return pong(s, 10, true) }, ""},
		{func() []Effect { return c.Receive(1000, s, &encoder.Release{Credits: 3}) }, ""},
		{func() []Effect { return pong(other, 10, true) }, fmt.Sprintf("grant %d 1,", s)},
		{func() []Effect { return c.Receive(1000, s, ownerStart(c, task(0))) }, ""},
		{func() []Effect { return c.RunEnded(1000, task(0), Outcome{Status: encoder.StatusDone}) }, "with result 3,"},
		{func() []Effect { return pong(s, 11, false) }, fmt.Sprintf("recall %d 3,", s)},
		// Starts in flight are refused and spend the recalled credits.
		{func() []Effect { runAndEnd(c, 1000, nil, task(1), task(2), task(3)); return nil }, ""},
		{func() []Effect { return c.Receive(1000, s, &encoder.Release{}) }, ""},
		{func() []Effect { return pong(other, 10, true) }, ""},
		{func() []Effect { return pong(s, 12, true) }, fmt.Sprintf("grant %d 1,", s)},
		{func() []Effect { return c.Receive(1000, other, &encoder.Census{Roster: withoutOwner}) },
			fmt.Sprintf("grant %d 1,", ownerSession(&Core{sessions: c.sessions, roster: withoutOwner}, task(0)))},
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
