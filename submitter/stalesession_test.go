package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestStaleSession guards against an entry that never learns again which partitions another one owns, because an older session
// with it was handled after the current one and then ended. Callers get no state of durable jobs from this entry then.
func TestStaleSession(t *testing.T) {
	s := &Submitter{Name: "entry", Incarnation: 1, Partitions: 4}
	const now = 1000
	s.SetSnapshot(now, testSnapshot())
	s.SetDurableInUse(now, true)
	closed := map[uint64]bool{}
	session := func(number uint64) *marshaler.Link {
		return &marshaler.Link{
			Remote: marshaler.Hello{Role: marshaler.RoleEntry, Name: "peer", Incarnation: 2, Session: number},
			Send:   func(marshaler.Message) {}, Close: func(error) { closed[number] = true },
		}
	}
	owned := &marshaler.OwnedPartitions{Partitions: []marshaler.Partition{{Number: 1, Epoch: 1}}}
	current, older := session(2), session(1)
	s.OnConnect(now, current)
	s.OnMessage(now, current, owned)
	s.OnConnect(now, older)
	s.OnDisconnect(now, older, errConnectionCut)
	s.OnMessage(now, current, &marshaler.Heartbeat{DurableInUse: true})
	// A session that opens exchanges the owners again.
	if got := s.owner(1); got == nil && !closed[2] {
		t.Error("got no owner of a partition that the peer on the current session owns, and no new session, want one of them")
	}
}
