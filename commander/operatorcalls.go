package commander

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/configurer"
	"github.com/crocuslb/crocuslb/dispatcher"
	"github.com/crocuslb/crocuslb/server"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	historySearchLimit = 1000
	// propagationTimeout is the time within which an accepted change should be applied by all processes.
	propagationTimeout = 3 * timer.Second
)

func (p *entryProcess) publish(ctx context.Context, n configurer.Note, dryRun bool) (server.Publication, error) {
	started := p.Entry.Clock.Now()
	differences := p.diffNote(ctx, n)
	d, err := p.Entry.Publish(ctx, n, dryRun)
	if err != nil {
		return server.Publication{}, err
	}
	pub := newPublication(d, p.Entry.Clock.Now()-started)
	pub.ID, pub.Differences = n.ID, differences
	if dryRun && pub.Accepted {
		pub.Accepted, pub.DryRun = false, true
		return pub, nil
	}
	return p.awaitPropagation(ctx, started, pub), nil
}

// diffNote returns the change of each key by the note. The previous values are taken from the newest notes that the
// entry has read; a key that was last changed before those has no known previous value.
func (p *entryProcess) diffNote(ctx context.Context, n configurer.Note) []server.Difference {
	before := map[string]string{}
	changes, err := p.Entry.History(ctx, historySearchLimit)
	if err == nil {
		for i := len(changes) - 1; i >= 0; i-- { // oldest first
			if len(changes[i].Findings) > 0 {
				continue
			}
			for _, list := range [][]configurer.Entry{changes[i].Note.Added, changes[i].Note.Changed} {
				for _, e := range list {
					before[e.Key] = e.Value
				}
			}
			for _, k := range changes[i].Note.Withdrawn {
				delete(before, k)
			}
		}
	}
	var out []server.Difference
	for _, e := range n.Added {
		out = append(out, server.Difference{Key: e.Key, After: e.Value})
	}
	for _, e := range n.Changed {
		out = append(out, server.Difference{Key: e.Key, Before: before[e.Key], After: e.Value})
	}
	for _, k := range n.Withdrawn {
		out = append(out, server.Difference{Key: k, Before: before[k]})
	}
	return out
}

func (p *entryProcess) history(ctx context.Context, limit int) ([]server.HistoryRecord, error) {
	changes, err := p.Entry.History(ctx, limit)
	if err != nil {
		return nil, err
	}
	out := make([]server.HistoryRecord, 0, len(changes))
	for _, c := range changes {
		r := server.HistoryRecord{Offset: c.Offset, Note: c.Note}
		if len(c.Findings) > 0 {
			r.Refused = configurer.JoinFindings(c.Findings).Error()
		}
		out = append(out, r)
	}
	return out, nil
}

func (p *entryProcess) withdraw(ctx context.Context, domain, author string) (server.Publication, error) {
	started := p.Entry.Clock.Now()
	d, err := p.Entry.Withdraw(ctx, domain, author)
	if err != nil {
		return server.Publication{}, err
	}
	if d.State == dispatcher.PublicationAccepted || d.State == dispatcher.PublicationRecorded {
		p.observePropagation(domain, d.Offset+1)
	}
	return p.domainPublication(ctx, domain, started, d), nil
}

func (p *entryProcess) returnDomain(ctx context.Context, domain, author string) (server.Publication, error) {
	started := p.Entry.Clock.Now()
	d, err := p.Entry.Return(ctx, domain, author)
	if err != nil {
		return server.Publication{}, err
	}
	return p.domainPublication(ctx, domain, started, d), nil
}

// domainPublication returns the result of withdrawing or returning a failure domain, with the number of its sidecars.
func (p *entryProcess) domainPublication(ctx context.Context, domain string, started timer.Millis, d dispatcher.Publication) server.Publication {
	pub := newPublication(d, p.Entry.Clock.Now()-started)
	pub.Domain = domain
	for _, s := range p.Entry.Status(ctx).Sidecars {
		if s.Domain == domain {
			pub.Sidecars++
		}
	}
	return p.awaitPropagation(ctx, started, pub)
}

// awaitPropagation waits up to propagationTimeout until every known process has applied an accepted change, because
// operators need to know that rather than the acceptance alone.
func (p *entryProcess) awaitPropagation(ctx context.Context, started timer.Millis, pub server.Publication) server.Publication {
	if !pub.Accepted {
		return pub
	}
	deadline := p.Entry.Clock.Now() + propagationTimeout
	for {
		s, now := p.Entry.Status(ctx), p.Entry.Clock.Now()
		if s.Entry.ID != "" && s.ConfigOffset > pub.Offset {
			pub.Lagging = s.Lagging
			if s.Lagging == 0 {
				pub.PropagationTime = now - started
				return pub
			}
		}
		if now >= deadline || ctx.Err() != nil {
			return pub
		}
		time.Sleep(propagationPollInterval)
	}
}

// observePropagation measures in the background how long it takes until every connected sidecar of the domain has
// reached the configuration offset. It does nothing if maxPropagationObservers withdrawals are being observed already.
func (p *entryProcess) observePropagation(domain string, offset uint64) {
	select {
	case p.observerSlots <- struct{}{}:
	default:
		return
	}
	started := p.Entry.Clock.Now()
	go func() {
		defer func() { <-p.observerSlots }()
		for p.Entry.Clock.Now()-started < propagationObserveTimeout {
			ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
			s := p.Entry.Status(ctx)
			cancel()
			if s.Entry.ID != "" && isPropagated(s, domain, offset) {
				break
			}
			time.Sleep(propagationPollInterval)
		}
		now := p.Entry.Clock.Now()
		p.Reporter.ObserveWithdrawal(now, domain, now-started)
	}()
}

// isPropagated reports whether every connected sidecar of the domain has reached the configuration offset.
func isPropagated(s dispatcher.Status, domain string, offset uint64) bool {
	for _, sc := range s.Sidecars {
		if sc.Domain == domain && sc.Connected && sc.ConfigOffset < offset {
			return false
		}
	}
	return true
}

func newPublication(d dispatcher.Publication, elapsed timer.Millis) server.Publication {
	pub := server.Publication{
		Offset: d.Offset, Lagging: d.Lagging, Elapsed: elapsed,
		Accepted:    d.State == dispatcher.PublicationAccepted,
		Recorded:    d.State == dispatcher.PublicationRecorded,
		Provisional: d.State == dispatcher.PublicationProvisional,
		Refused:     d.State == dispatcher.PublicationRefused,
		Unknown:     d.State == dispatcher.PublicationUnknown,
	}
	for _, f := range d.Findings {
		pub.Findings = append(pub.Findings, server.Finding{Place: f.Location, Reason: f.Message})
	}
	return pub
}

func (p *entryProcess) status(ctx context.Context) (server.State, error) {
	s := p.Entry.Status(ctx)
	if s.Entry.ID == "" {
		return server.State{}, trace.LimitExceeded("the entry did not report its state in time")
	}
	out := server.State{
		ID: s.Entry.ID, Incarnation: s.Entry.Incarnation, Version: version().Version, Epoch: s.Roster.Epoch, ConfigOffset: s.ConfigOffset,
		Joined: s.Joined, LogReachable: s.LogReachable, Attested: s.AttestsLogOutage, Leaving: s.Draining, Takeover: s.Takeover,
		Queued: s.Queued, Submissions: s.Submissions, Lagging: s.Lagging, Counters: server.Counters(s.Counters),
	}
	for _, e := range s.Roster.Entries {
		out.Entries = append(out.Entries, server.EntryState{ID: e.Member.ID, Incarnation: e.Member.Incarnation, Address: e.Address})
	}
	for _, c := range s.Sidecars {
		out.Sidecars = append(out.Sidecars, server.SidecarState{
			ID: c.Member.ID, Domain: c.Domain, Worker: c.Worker, Slots: c.Slots, Credits: c.Credits, Running: c.Running,
			Connected: c.Connected, Leaving: c.Leaving, DisconnectedFor: c.DisconnectedFor,
		})
	}
	for _, d := range s.Domains {
		out.Domains = append(out.Domains, server.DomainState{Name: d.Name, InForce: d.InForce, Provisional: d.Provisional})
	}
	out.Members = p.members.states()
	return out, nil
}
