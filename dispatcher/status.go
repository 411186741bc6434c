package dispatcher

import (
	"context"
	"slices"
	"strings"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

type (
	// Status is a snapshot of the state of an entry.
	Status struct {
		Entry             encoder.Member
		Joined            bool
		Draining          bool
		LogReachable      bool
		AttestsLogOutage  bool
		Takeover          string
		Roster            encoder.Roster
		ConfigOffset      uint64
		Sidecars          []SidecarStatus
		Domains           []DomainStatus
		Queued            int
		Submissions       int
		CachedAnswers     int
		CachedAnswerBytes int
		Lagging           int // processes that are not known to have the configuration
		Counters          Counters
		Sent              MessageCounts // to sidecars and entries, without session handshakes
		Received          MessageCounts // from sidecars
	}

	// SidecarStatus describes a sidecar.
	SidecarStatus struct {
		Member          encoder.Member
		Domain          string
		Worker          string
		Slots           uint32
		Running         uint32
		Credits         uint32
		ConfigOffset    uint64
		Connected       bool
		Leaving         bool
		DisconnectedFor timer.Millis // time since the session ended; 0 while connected
	}

	// DomainStatus describes a failure domain.
	DomainStatus struct {
		Name        string
		InForce     bool
		Provisional bool
		Sidecars    int
	}
)

// Status returns the state of the entry. It is zero if ctx is done first or the entry has stopped.
func (e *Entry) Status(ctx context.Context) Status {
	var s Status
	_ = e.runOnControlLoop(ctx, func() {
		s = e.core.Status(e.Clock.Now())
		s.Sent = e.sentCounts
	})
	return s
}

// Status returns the state of the core.
func (c *Core) Status(now timer.Millis) Status {
	c.now = now
	s := Status{
		Entry: c.self, Joined: c.joined, Draining: c.draining, LogReachable: c.logReachable(), AttestsLogOutage: c.attestsLogOutage(),
		Takeover: c.takeover.state, Roster: c.roster, ConfigOffset: c.domainState.offset, Queued: c.queue.QueueLen(),
		Submissions: len(c.submissions), CachedAnswers: len(c.answerCache.byKey), CachedAnswerBytes: c.answerCache.bytes,
		Lagging: c.lagging(c.domainState.offset), Counters: c.counters, Received: c.receivedCounts,
	}
	domains := map[string]int{}
	for _, sc := range c.sidecars {
		h := sc.hello
		status := SidecarStatus{
			Member: h.Member, Domain: h.Domain, Worker: h.Worker, Slots: h.Slots, Running: sc.running,
			Credits: sc.credits, ConfigOffset: sc.configOffset, Connected: sc.session != 0, Leaving: sc.leaving,
		}
		if sc.session == 0 {
			status.DisconnectedFor = now - sc.disconnectedAt
		}
		s.Sidecars = append(s.Sidecars, status)
		domains[h.Domain]++
	}
	for name := range c.domainState.provisional {
		domains[name] += 0
	}
	for name, count := range domains {
		_, provisional := c.domainState.provisional[name]
		s.Domains = append(s.Domains, DomainStatus{name, c.inForce(name), provisional, count})
	}
	slices.SortFunc(s.Sidecars, func(a, b SidecarStatus) int { return strings.Compare(a.Member.ID, b.Member.ID) })
	slices.SortFunc(s.Domains, func(a, b DomainStatus) int { return strings.Compare(a.Name, b.Name) })
	return s
}

// Sum returns the total number of messages.
func (n *MessageCounts) Sum() uint64 {
	var sum uint64
	for _, k := range n {
		sum += k
	}
	return sum
}
