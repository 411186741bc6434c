package dispatcher

import (
	"bytes"
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// TestLargeAnswer guards against an answer that never reaches its caller because it does not fit into a frame. Each part must
// fit, and the parts must yield the complete answer in any order, also if some are repeated.
func TestLargeAnswer(t *testing.T) {
	sizes := [][]int{
		{10}, {900_000, 900_000}, {900_000, 900_000, 900_000}, {1 << 20, 1 << 20, 1 << 20, 1 << 20, 1 << 20, 1 << 20, 1 << 20},
		slices.Repeat([]int{10_000}, 880), slices.Repeat([]int{0}, 880),
	}
	for _, sz := range sizes {
		a := encoder.Answer{Key: "k", State: encoder.JobComplete}
		for i, n := range sz {
			a.Results = append(a.Results, encoder.TaskResult{Body: bytes.Repeat([]byte{byte(i)}, n)})
		}
		c := newBenchWithPeers(t, "b").core
		c.effects = nil
		c.sendForwardAnswer(waiter{session: 1, forward: 7}, a)
		var parts []*encoder.ForwardAnswer
		for i := range c.effects {
			m := c.effects[i].Message.(*encoder.ForwardAnswer)
			if n := len(encoder.Append(nil, m)); n > encoder.MaxFrameSize {
				t.Errorf("%d results: part of %d bytes", len(sz), n)
			}
			parts = append(parts, m)
		}
		slices.Reverse(parts)
		if len(parts) > 1 {
			parts = append([]*encoder.ForwardAnswer{parts[0]}, parts...)
		}
		c.forwards[7] = &forward{id: 7, waiter: waiter{request: 9}, job: encoder.Job{Key: "k"}}
		c.effects = nil
		for _, m := range parts {
			c.handleForwardAnswer(m)
		}
		if len(c.effects) != 1 || len(c.effects[0].Answer.Results) != len(sz) {
			t.Fatalf("%d results: got %d effects", len(sz), len(c.effects))
		}
		for i, r := range c.effects[0].Answer.Results {
			if !bytes.Equal(r.Body, a.Results[i].Body) {
				t.Errorf("%d results: result %d differs", len(sz), i)
			}
		}
	}
}

// TestHandover guards against answers with an unknown outcome after a planned stop: the former owner knows which tasks it
// started, so the others may be started even if the evidence of a sidecar is missing.
func TestHandover(t *testing.T) {
	const unknownAnswer = "failed, outcome unknown"
	tests := []struct {
		name    string
		certain bool
		running []uint32
		want    string // states of the tasks, or outcome of the answer
	}{
		{"nothing started", true, nil, taskQueued + taskQueued},
		{"one may have been started", true, []uint32{1}, unknownAnswer},
		{"sender was not certain", false, nil, unknownAnswer},
	}
	for _, tt := range tests {
		c := newBenchWithPeers(t).core
		c.takeover.pastRosters = append(c.takeover.pastRosters, pastRoster{encoder.Roster{}, c.now})
		c.takeover.reportedKeys = map[string]reportedKey{"k": {reportedAt: c.now}}
		c.takeover.missingEvidence = map[encoder.Member]timer.Millis{{ID: "s9"}: c.now}
		m := &encoder.Handover{StartedComplete: tt.certain, Job: encoder.Job{Key: "k", Tasks: make([]encoder.JobTask, 2)}}
		for _, i := range tt.running {
			m.Started = append(m.Started, encoder.StartedTask{
				Task: encoder.TaskKey{Job: "k", Index: i}, Status: encoder.StatusRunning,
			})
		}
		var got string
		c.handleHandover(m)
		if s := c.submissions["k"]; s != nil {
			for i := range s.tasks {
				got += s.tasks[i].state
			}
		} else if k, ok := c.answerCache.byKey["k"]; ok && k.answer.Outcome == encoder.OutcomeUnknown {
			got = unknownAnswer
		}
		if got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
}

// TestHandoverAfterRemoval guards against a second start of a task: an entry that was removed before its leave cannot know
// which tasks the next owner has started.
func TestHandoverAfterRemoval(t *testing.T) {
	tests := []struct {
		name string
		kind elector.ChangeKind
		want bool
	}{
		{"leave", elector.ChangeLeave, true},
		{"removal", elector.ChangeRemove, false},
	}
	for _, tt := range tests {
		b := newOwnerBench(t, "k")
		b.core.Submit(b.now, 1, encoder.Job{Key: "k", Tasks: make([]encoder.JobTask, 3)})
		b.core.draining = true
		b.core.RosterRecord(b.now, 9, elector.Change{Kind: tt.kind, Base: 9, Entry: encoder.RosterEntry{Member: b.core.self}})
		b.sent = nil
		b.takeEffects()
		i := slices.IndexFunc(b.sent, func(m encoder.Message) bool { _, ok := m.(*encoder.Handover); return ok })
		if i < 0 {
			t.Fatalf("%s: got no handover", tt.name)
		}
		if got := b.sent[i].(*encoder.Handover).StartedComplete; got != tt.want {
			t.Errorf("%s: got certain %v, want %v", tt.name, got, tt.want)
		}
	}
}

// newOwnerBench returns a test bench with one peer, in which the core owns the key and its ownership is settled.
func newOwnerBench(t *testing.T, key string) *testBench {
	for _, peer := range []string{"b", "c", "d", "e", "f", "g"} {
		b := newBenchWithPeers(t, peer)
		b.core.takeover.unsettledRosters = nil
		if b.core.isOwner(b.core.roster, key) {
			return b
		}
	}
	t.Fatal("the entry owns the key in a roster with none of the peers")
	return nil
}
