package submitter

import (
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/gauger"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// TestSilentSender guards against runs of a job that was handed over which outlive the entry that handed it over, because its
// last messages are handled late. Its caller sends the job again to another entry.
func TestSilentSender(t *testing.T) {
	const step = 25 * timer.Millisecond
	cases := []struct {
		name    string
		delay   timer.Millis // of the sender's messages
		lost    bool         // the sender is lost right after the handover
		starts  int
		stopped timer.Millis // of the run, after the loss; 0 for never
		answers []AnswerKind
	}{
		{"alive", 0, false, 1, 0, nil},
		{"alive, short delay", 200, false, 1, 0, nil},
		{"lost", 0, true, 1, HeartbeatTimeout, nil}, // the session has ended, too
		{"lost, late messages", 300, true, 1, HeartbeatTimeout, []AnswerKind{AnswerUnknown}},
		{"late handover", 800, true, 0, 0, []AnswerKind{AnswerNotRun}},
	}
	for _, c := range cases {
		f := newFixture()
		f.core.Handover = true
		f.core.Tick(f.now)
		var answers []AnswerKind
		link := &marshaler.Link{Remote: marshaler.Hello{Role: marshaler.RoleEntry, Name: "peer", Incarnation: 2}, Close: func(error) {}, Send: func(m marshaler.Message) {
			if m, ok := m.(*marshaler.JobAnswer); ok {
				answers = append(answers, AnswerKind(m.Kind))
			}
		}}
		f.core.OnConnect(f.now, link)
		lostAt := f.now
		var stopped timer.Millis
		for end := f.now + c.delay + 1200; f.now < end; f.now += step {
			sentAt := f.now - c.delay
			if sentAt == lostAt {
				f.core.OnMessage(f.now, link, &marshaler.Heartbeat{Time: sentAt, SentAt: sentAt})
				f.core.OnMessage(f.now, link, &marshaler.JobHandover{
					Number: 1, Job: "job", Queue: "q", Deadline: 9000, SentAt: sentAt,
					Steps: []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 1}, Estimate: 50}},
				})
			}
			if sentAt <= lostAt || !c.lost {
				f.core.OnMessage(f.now, link, &marshaler.Heartbeat{LoadClass: uint8(gauger.Normal), Time: sentAt, SentAt: sentAt})
			}
			f.load("side-a")
			f.load("side-b")
			f.core.Tick(f.now)
			if f.stops > 0 && stopped == 0 {
				stopped = f.now - lostAt
			}
		}
		if len(f.starts) != c.starts || !slices.Equal(answers, c.answers) {
			t.Errorf("%s: got %d starts and answers %v, want %d and %v", c.name, len(f.starts), answers, c.starts, c.answers)
		}
		if diff := stopped - c.stopped; diff < 0 || diff > step || c.stopped == 0 && stopped != 0 {
			t.Errorf("%s: got a stop %s after the loss, want %s", c.name, stopped, c.stopped)
		}
	}
}

// TestSenderHeartbeats guards against a receiver that takes the sender of a handover for lost, because other messages replace
// its heartbeats.
func TestSenderHeartbeats(t *testing.T) {
	w := newHandoverSimulation(t, 1, 2, 9)
	w.advance(4000)
	for range 130 {
		w.submit(w.entries[0], "job", 1, 3000)
		w.entries[0].core.peers[w.entries[1].name].send(w.now, &marshaler.CancelResourceRequest{Job: "none"})
		w.advance(20)
	}
	if got := w.countDecisions("job", "handOver"); got != 1 || w.unknownOutcomes != 0 || w.startedRuns["job"] != 1 {
		t.Errorf("got %d handovers, %d unknown outcomes, %d starts, want 1, 0, 1", got, w.unknownOutcomes, w.startedRuns["job"])
	}
}
