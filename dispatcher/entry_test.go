package dispatcher

import (
	"context"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"

	"github.com/crocuslb/crocuslb/appender"
	"github.com/crocuslb/crocuslb/emulator"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/messenger"
)

// testNetwork is a log, a number of entries and one simulated sidecar, connected over loopback.
type testNetwork struct {
	ctx     context.Context
	entries []*Entry
	stops   []context.CancelFunc
	running sync.WaitGroup
}

func newTestNetwork(t testing.TB, entries int) *testNetwork {
	ctx, cancel := context.WithCancel(context.Background())
	n := &testNetwork{ctx: ctx}
	logServer := httptest.NewServer(&emulator.Log{})
	t.Cleanup(func() { cancel(); n.running.Wait(); logServer.Close() })
	for i := range entries {
		e := &Entry{
			ID: "entry-" + strconv.Itoa(i), Incarnation: uint64(i + 1), Listen: "127.0.0.1:0", Domain: "north",
			Log: &appender.Client{URL: logServer.URL},
		}
		run, stop := context.WithCancel(ctx)
		n.entries, n.stops = append(n.entries, e), append(n.stops, stop)
		n.running.Go(func() {
			if err := e.Run(run); err != nil {
				t.Error(err)
			}
		})
	}
	n.waitUntil(func() bool {
		for _, e := range n.entries {
			if len(e.Status(ctx).Roster.Entries) != entries {
				return false
			}
		}
		return true
	})
	n.connectSidecar()
	return n
}

// waitUntil polls a condition until it holds. It has no timeout other than that of the test binary.
func (n *testNetwork) waitUntil(condition func() bool) {
	for !condition() {
		sleep(n.ctx, followRetryDelay/20)
	}
}

// connectSidecar connects a sidecar that answers every start with the task's payload.
func (n *testNetwork) connectSidecar() {
	node := &messenger.Node{
		Hello:     func() encoder.Hello { h := hello("s", 1); h.Slots = 8; return h },
		OnConnect: func(s *messenger.Session) { s.Send(&encoder.Grant{Credits: 8}) },
		OnMessage: func(s *messenger.Session, m encoder.Message) {
			switch m := m.(type) {
			case *encoder.Start:
				s.Send(&encoder.Result{Task: m.Task, Status: encoder.StatusDone, Body: m.Payload, RunTime: 1, Credits: 1})
			case *encoder.Census:
				s.Send(&encoder.CensusReply{Epoch: m.Roster.Epoch, Last: true})
			}
		},
	}
	for _, e := range n.entries {
		node.Connect(n.ctx, e.address)
	}
	n.waitUntil(func() bool {
		for _, e := range n.entries {
			if s := e.Status(n.ctx); len(s.Sidecars) == 0 || s.Takeover != takeoverSettled && s.Takeover != takeoverPartial {
				return false
			}
		}
		return true
	})
}

// TestEntries guards the integration of the core into a process: sessions, reading the log, forwarding, configuration changes
// and drain.
func TestEntries(t *testing.T) {
	n := newTestNetwork(t, 3)
	for i, e := range n.entries {
		j := job("key-"+strconv.Itoa(i), 20)
		for k := range j.Tasks {
			j.Tasks[k].Payload = []byte(strconv.Itoa(k))
		}
		a := e.Submit(n.ctx, j)
		if a.State != encoder.JobComplete || len(a.Results) != 20 || string(a.Results[13].Body) != "13" {
			t.Fatalf("entry %d answered %d %q", i, a.State, a.Reason)
		}
		for _, other := range n.entries {
			if got := other.Get(n.ctx, j.Key); got.State != encoder.JobComplete {
				t.Errorf("another entry answered %d %q", got.State, got.Reason)
			}
		}
	}
	p, err := n.entries[1].Withdraw(n.ctx, "north", "ann")
	if err != nil || p.State != PublicationAccepted {
		t.Fatalf("got withdrawal %v (%v, %v)", p.State, p.Findings, err)
	}
	n.waitUntil(func() bool { return n.entries[0].Status(n.ctx).ConfigOffset == 1 })
	if d := n.entries[0].Status(n.ctx).Domains; len(d) != 1 || d[0].InForce {
		t.Errorf("got domains %v", d)
	}
	if p, err = n.entries[2].Return(n.ctx, "north", "ann"); err != nil || p.State != PublicationAccepted {
		t.Fatalf("got return %v (%v, %v)", p.State, p.Findings, err)
	}
	if h, _ := n.entries[2].History(n.ctx, 9); len(h) != 2 || h[0].Note.Author != "ann" {
		t.Errorf("got history %v", h)
	}
	if err := n.entries[0].Drain(n.ctx); err != nil {
		t.Error(err)
	}
	n.stops[0]()
	if a := n.entries[1].Submit(n.ctx, job("after", 5)); a.State != encoder.JobComplete {
		t.Errorf("after the drain: %d %q", a.State, a.Reason)
	}
}
