package submitter

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/crocuslb/crocuslb/gauger"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// countDecisions returns the number of decisions of a kind on a job.
func (w *simulation) countDecisions(job, kind string) (n int) {
	for _, d := range w.decisions[job] {
		if strings.Fields(d)[2] == kind {
			n++
		}
	}
	return n
}

// TestHandover guards against jobs that are lost, run twice or are answered wrongly when the handover of a job is
// disturbed. The simulation reports concurrent runs of a task.
func TestHandover(t *testing.T) {
	overload := func(e int, delay timer.Millis) func(w *simulation) {
		return func(w *simulation) {
			w.entries[e].class = gauger.Overloaded
			w.entries[e].core.SetLoad(w.now, gauger.Load{Class: gauger.Overloaded, LoopDelay: delay})
		}
	}
	cut := func(d timer.Millis) func(w *simulation) {
		return func(w *simulation) {
			for _, l := range w.peerLinks {
				l.cutUntil = w.now + d
			}
		}
	}
	late := func(delay timer.Millis) func(w *simulation) {
		return func(w *simulation) {
			w.entries[1].core.SetLoopDelay(w.now, delay)
			w.entries[1].core.SetLoopDelay(w.now, 0)
		}
	}
	leave := func(w *simulation) { w.entries[0].core.Abort(w.now, "job", "caller left") }
	submitAt := func(w *simulation, e int) { w.submit(w.entries[e], "job", 2, 900) }
	done, aborted, notRun := []AnswerKind{AnswerDone}, []AnswerKind{AnswerAborted}, []AnswerKind{AnswerNotRun}
	cases := []struct {
		name      string
		estimate  timer.Millis
		before    func(w *simulation) // before the submission
		after     timer.Millis        // time from the submission to the disturbance
		disturb   func(w *simulation)
		handovers int // besides those of jobs that were sent again
		answers   []AnswerKind
		unknown   int // number of connections that ended without a response
		starts    int // of the job's two tasks
	}{
		{"handover and answer", 900, nil, 0, nil, 1, done, 0, 2},
		{"caller leaves", 900, nil, 50, leave, 1, aborted, 0, 2},
		{"caller cancels", 900, nil, 50, func(w *simulation) { w.entries[0].core.Cancel(w.now, "q", "job", func(Answer) {}) }, 1, aborted, 0, 2},
		{"deadline passes", 900, func(w *simulation) { w.sidecars[0].backend.slowdown = 9; w.sidecars[1].backend.slowdown = 9 }, 3600, nil, 1, aborted, 0, 2},
		{"receiver lost before it started work", 900, nil, 1, func(w *simulation) { w.killEntry(w.entries[1], 200) }, 1, done, 1, 2},
		{"receiver lost after it started work", 900, nil, 50, func(w *simulation) { w.killEntry(w.entries[1], 200) }, 1, done, 1, 4},
		{"sender lost", 900, nil, 50, func(w *simulation) { w.killEntry(w.entries[0], 200) }, 1, done, 0, 4},
		{"answer lost", 300, nil, 150, cut(900), 1, done, 1, 4},
		{"link cut", 900, nil, 50, cut(2000), 1, done, 1, 4},
		{"link cut during a long run", 6000, nil, 3000, cut(2000), 1, done, 1, 4},
		{"session reset", 900, nil, 50, func(w *simulation) { w.peerLinks[0].end(errConnectionCut) }, 1, done, 1, 4},
		{"session replaced", 900, nil, 50, func(w *simulation) { w.connectEntries(w.entries[0], w.entries[1]) }, 1, done, 1, 4},
		{"session replaced, which the receiver noticed in another order", 900, func(w *simulation) {
			a, b := w.entries[0], w.entries[1]
			current := b.core.peers[a.name].link
			w.otherSession = &marshaler.Link{Remote: current.Remote, Close: func(error) {}, Send: func(marshaler.Message) {}}
			b.core.OnConnect(w.now, w.otherSession)
			b.core.OnConnect(w.now, current)
		}, 50, func(w *simulation) {
			a, b := w.entries[0], w.entries[1]
			a.core.OnConnect(w.now, &marshaler.Link{Remote: a.core.peers[b.name].hello, Close: func(error) {}, Send: func(m marshaler.Message) {
				w.schedule(linkDelay, func() { b.core.OnMessage(w.now, w.otherSession, m) })
			}})
		}, 1, done, 1, 4},
		{"paused sender", 900, nil, 50, func(w *simulation) { w.entries[0].pause(w.now + 900) }, 1, done, 1, 4},
		{"paused receiver", 900, nil, 50, func(w *simulation) { w.entries[1].pause(w.now + 900) }, 1, done, 1, 4},
		{"late receiver", 900, nil, 50, late(maxReceivedDelay), 1, done, 1, 4},
		{"receiver that is hardly late", 900, nil, 50, late(maxReceivedDelay - 1), 1, done, 0, 2},
		{"submitted twice", 900, nil, 50, func(w *simulation) { submitAt(w, 0) }, 1, []AnswerKind{AnswerDone, AnswerDone}, 0, 2},
		{"submitted at the receiver, too", 900, nil, 50, func(w *simulation) { submitAt(w, 1) }, 1, []AnswerKind{AnswerDone, AnswerDone}, 0, 2},
		{"submitted at the receiver, too, and the first caller leaves", 900, nil, 50, func(w *simulation) { submitAt(w, 1); leave(w) }, 1, []AnswerKind{AnswerAborted, AnswerDone}, 0, 2},
		{"receiver refuses", 900, func(w *simulation) {
			for _, s := range w.sidecars {
				s.backend.crash()
			}
			w.advance(1000)
		}, 0, nil, 1, notRun, 0, 0},
		{"receiver becomes overloaded", 900, nil, 1, overload(1, 60), 1, done, 0, 2},
		{"receiver cannot meet the deadline", 900, nil, 1, overload(1, 3000), 1, notRun, 0, 0},
		{"no receiver", 900, func(w *simulation) { overload(1, 60)(w); overload(2, 60)(w); w.advance(5) }, 0, nil, 0, done, 0, 2},
		{"no receiver, and the sender cannot meet the deadline", 900, func(w *simulation) {
			overload(1, 60)(w)
			overload(2, 60)(w)
			w.advance(5)
			overload(0, 3000)(w)
		}, 0, nil, 0, notRun, 0, 0},
		{"others of the former release", 900, func(w *simulation) {
			w.entries[1].core.Handover, w.entries[2].core.Handover = false, false
			w.advance(700)
		}, 0, nil, 0, done, 0, 2},
		{"others have an old configuration", 900, func(w *simulation) { w.entries[0].core.snapshot = testSnapshot().WithOffset(2) }, 0, nil, 0, done, 0, 2},
		{"sender is normal", 900, func(w *simulation) { w.entries[0].core.SetLoad(w.now, gauger.Load{Class: gauger.Normal}) }, 0, nil, 0, done, 0, 2},
		{"sender is busy", 900, func(w *simulation) { w.entries[0].core.SetLoad(w.now, gauger.Load{Class: gauger.Busy}) }, 0, nil, 0, done, 0, 2},
		{"sender is busy and places", 900, func(w *simulation) {
			w.entries[0].core.load = loadState{own: gauger.Load{Class: gauger.Busy}}
		}, 0, nil, 1, done, 0, 2},
	}
	for i, c := range cases {
		w := newHandoverSimulation(t, 100+uint64(i), 3, 3)
		w.advance(4000) // the first entry has stepped down, and the sessions of the entries are idle
		if c.before != nil {
			c.before(w)
		}
		w.submit(w.entries[0], "job", 2, c.estimate)
		if c.disturb != nil {
			w.schedule(c.after, func() { c.disturb(w) })
		}
		w.advance(c.after + 600)
		running, ends := w.activeRuns["job.0"]+w.activeRuns["job.1"], c.unknown > 0 || c.starts == 4 || slices.Equal(c.answers, aborted)
		if ends && running > 0 {
			t.Errorf("%s: got %d runs 600 ms later, want 0", c.name, running)
		}
		w.advance(20_000)
		var answers []AnswerKind
		for _, a := range w.answers["job"] {
			answers = append(answers, a.Kind)
		}
		handovers := w.countDecisions("job", "handOver")
		if w.resubmitted["job"] {
			handovers = min(handovers, 1)
		}
		got, want := [3]int{handovers, w.unknownOutcomes, w.startedRuns["job"]}, [3]int{c.handovers, c.unknown, c.starts}
		if got != want || !slices.Equal(answers, c.answers) {
			t.Errorf("%s: got handovers, unknown outcomes and starts %d, answers %v, want %d, %v; decisions:\n%s", c.name, got, answers, want, c.answers, strings.Join(w.decisions["job"], "\n"))
		}
	}
}

// TestRefusedHandover guards against tasks that an entry starts for a sender that has given up on them, and against
// handovers of durable jobs.
func TestRefusedHandover(t *testing.T) {
	cases := []struct {
		name   string
		change func(f *fixture, m *marshaler.JobHandover, link *marshaler.Link)
		answer AnswerKind
		starts int
	}{
		{"taken", func(*fixture, *marshaler.JobHandover, *marshaler.Link) {}, 0, 1},
		{"handover is off", func(f *fixture, _ *marshaler.JobHandover, _ *marshaler.Link) { f.core.Handover = false }, AnswerNotRun, 0},
		{"session was closed", func(f *fixture, _ *marshaler.JobHandover, link *marshaler.Link) {
			f.core.OnDisconnect(f.now, link, errConnectionCut)
		}, AnswerNotRun, 0},
		{"entry was paused", func(f *fixture, _ *marshaler.JobHandover, _ *marshaler.Link) { f.core.Tick(f.now); f.now += 300 }, AnswerNotRun, 0},
		{"event loop is late", func(f *fixture, _ *marshaler.JobHandover, _ *marshaler.Link) {
			f.core.SetLoopDelay(f.now, maxReceivedDelay)
		}, AnswerNotRun, 0},
		{"event loop was late", func(f *fixture, _ *marshaler.JobHandover, _ *marshaler.Link) {
			f.core.SetLoopDelay(f.now, maxReceivedDelay)
			f.core.SetLoopDelay(f.now, maxReceivedDelay-1)
		}, 0, 1},
		{"unknown queue", func(_ *fixture, m *marshaler.JobHandover, _ *marshaler.Link) { m.Queue = "other" }, AnswerNoQueue, 0},
		{"invalid", func(_ *fixture, m *marshaler.JobHandover, _ *marshaler.Link) { m.Steps = nil }, AnswerMalformed, 0},
		{"too many", func(f *fixture, m *marshaler.JobHandover, link *marshaler.Link) {
			for n := range uint64(maxOpenHandovers) {
				f.core.OnMessage(f.now, link, &marshaler.JobHandover{Number: 100 + n, Job: fmt.Sprint(n), Queue: m.Queue, Steps: m.Steps})
			}
			f.core.Flush(f.now)
			f.starts = nil
		}, AnswerNotRun, 0},
		{"handed over to another entry already", func(f *fixture, m *marshaler.JobHandover, _ *marshaler.Link) {
			f.core.handover.jobs = map[string]*handedJob{m.Job: {job: &job{Job: Job{ID: m.Job}, expiresAt: f.now + timer.Second}, to: &peer{}}}
		}, AnswerUnknown, 0},
	}
	for _, c := range cases {
		f := newFixture()
		f.core.Handover = true
		var answers []AnswerKind
		link := &marshaler.Link{Remote: marshaler.Hello{Role: marshaler.RoleEntry, Name: "peer", Incarnation: 2}, Close: func(error) {}, Send: func(m marshaler.Message) {
			if m, ok := m.(*marshaler.JobAnswer); ok && m.Number == 1 {
				answers = append(answers, AnswerKind(m.Kind))
			}
		}}
		f.core.OnConnect(f.now, link)
		m := &marshaler.JobHandover{Number: 1, Job: "job", Queue: "q", Steps: []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 1}, Estimate: 50}}}
		c.change(f, m, link)
		f.core.OnMessage(f.now, link, m)
		if f.core.Flush(f.now); c.answer == 0 && len(answers) > 0 || c.answer != 0 && !slices.Equal(answers, []AnswerKind{c.answer}) || len(f.starts) != c.starts {
			t.Errorf("%s: got answers %v and %d starts, want %s and %d", c.name, answers, len(f.starts), c.answer, c.starts)
		}
		// The sender's caller gets no answer and sends the job again, so no other entry may go on with it.
		if got := f.core.HandedOverJobs(); got != 0 {
			t.Errorf("%s: got %d handovers of the job to other entries, want 0", c.name, got)
		}
	}
}

// TestLateReceiver guards against a job of several callers that goes on at a late entry for some of them, while another one
// sends it again.
func TestLateReceiver(t *testing.T) {
	f := newFixture()
	f.core.Handover = true
	var answers []AnswerKind
	link := &marshaler.Link{Remote: marshaler.Hello{Role: marshaler.RoleEntry, Name: "peer", Incarnation: 2}, Close: func(error) {}, Send: func(m marshaler.Message) {
		if m, ok := m.(*marshaler.JobAnswer); ok {
			answers = append(answers, AnswerKind(m.Kind))
		}
	}}
	f.core.OnConnect(f.now, link)
	steps := []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 1}, Estimate: 50}}
	f.core.OnMessage(f.now, link, &marshaler.JobHandover{Number: 1, Job: "job", Queue: "q", Steps: steps})
	f.core.Submit(f.now, Job{ID: "job", Queue: testQueue, Steps: steps, Answer: func(a Answer) { answers = append(answers, a.Kind) }})
	f.core.SetLoopDelay(f.now, maxReceivedDelay)
	if want := []AnswerKind{AnswerUnknown, AnswerUnknown}; f.core.ActiveJobs() != 0 || f.core.ReceivedJobs() != 0 || !slices.Equal(answers, want) {
		t.Errorf("got %d active and %d received jobs, answers %v, want none, none and %v", f.core.ActiveJobs(), f.core.ReceivedJobs(), answers, want)
	}
}

// TestHandoverLimits guards against overloaded entries that flood a peer, and against durable jobs that are handed over.
func TestHandoverLimits(t *testing.T) {
	cases := []struct {
		name     string
		durable  bool
		every    timer.Millis // time between two jobs
		estimate timer.Millis
		want     int // handovers of 200 jobs
	}{
		{"burst", false, 0, 1500, handoverBurst},
		{"long jobs", false, 3, 1500, maxOpenHandovers},
		{"answers in place of heartbeats", false, 50, 50, 200},
		{"durable", true, 3, 50, 0},
	}
	for _, c := range cases {
		w := newHandoverSimulation(t, 1, 2, 9)
		w.advance(4000)
		got := 0
		for n := range 200 {
			id := fmt.Sprintf("job-%d", n)
			w.entries[0].core.Submit(w.now, Job{
				ID: id, Kind: Kind{Durable: c.durable}, Queue: testQueue, Deadline: 9000, Answer: func(Answer) {},
				Steps: []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 3000}, Estimate: c.estimate}},
			})
			got += w.countDecisions(id, "handOver")
			w.advance(c.every)
		}
		if got != c.want {
			t.Errorf("%s: got %d handovers, want %d", c.name, got, c.want)
		}
	}
}

// TestStepDown guards against an overloaded entry that keeps placing for all, and against a placing entry that changes
// with each change of a load.
func TestStepDown(t *testing.T) {
	class := func(at timer.Millis, until timer.Millis) func(now timer.Millis) gauger.Class {
		return func(now timer.Millis) gauger.Class {
			if now >= at && now < until {
				return gauger.Overloaded
			}
			return gauger.Normal
		}
	}
	cases := []struct {
		name    string
		class   func(now timer.Millis) gauger.Class // of the placing entry
		weight  uint64                              // of the placing entry; the other has 400
		other   gauger.Class
		changes []timer.Millis // times at which another entry starts to place, rounded up to 500 ms
	}{
		{"normal", class(0, 0), 800, gauger.Normal, nil},
		{"overloaded for less than 1 s", class(0, 900), 800, gauger.Normal, nil},
		{"overloaded for 2 s", class(0, 2000), 800, gauger.Normal, []timer.Millis{1000, 6000}},
		{"overloaded for 8 s", class(0, 8000), 800, gauger.Normal, []timer.Millis{1000, 8000}},
		{"other entry is too small", class(0, 8000), 801, gauger.Normal, nil},
		{"other entry is busy", class(0, 8000), 800, gauger.Busy, nil},
		{"load alternates every 500 ms", func(now timer.Millis) gauger.Class { return class(500, 1000)(now % 1000) }, 800, gauger.Normal, nil},
	}
	for _, c := range cases {
		s := &Submitter{Name: "entry", Incarnation: 1, Weight: c.weight, Handover: true}
		start := timer.Millis(10_000)
		s.SetSnapshot(start, testSnapshot())
		steppedDown, rejected := false, 0
		link := &marshaler.Link{Remote: marshaler.Hello{Role: marshaler.RoleEntry, Name: "other", Incarnation: 2, Weight: 400}, Close: func(error) {}, Send: func(m marshaler.Message) {
			switch m := m.(type) {
			case *marshaler.Heartbeat:
				steppedDown = m.SteppedDown
			case *marshaler.Reject:
				rejected++
			}
		}}
		s.OnConnect(start, link)
		s.OnMessage(start, link, &marshaler.ResourceRequest{Job: "job", Service: "svc", Tasks: 1, MaxWait: timer.Minute, Started: true})
		var got []timer.Millis
		placing := true
		for now := start; now < start+12_000; now += 25 {
			if now%100 == 0 {
				s.OnMessage(now, link, &marshaler.Heartbeat{LoadClass: uint8(c.other)})
				s.SetLoad(now, gauger.Load{Class: c.class(now - start)})
			}
			s.Tick(now)
			if s.Placing() != placing || steppedDown == placing {
				placing = s.Placing()
				got = append(got, (now-start+499)/500*500)
			}
		}
		if !slices.Equal(got, c.changes) || rejected != min(len(c.changes), 1) {
			t.Errorf("%s: got changes %v and %d requests handed on, want %v and %d", c.name, got, rejected, c.changes, min(len(c.changes), 1))
		}
	}
}
