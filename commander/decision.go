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
	historySearched = 1000
	// forceWait is the time in which an accepted change is to be in force everywhere.
	forceWait = 3 * timer.Second
)

func (p *entryProcess) publish(ctx context.Context, n configurer.Note, dryRun bool) (server.Publication, error) {
	begun := p.Entry.Clock.Now()
	differences := p.differences(ctx, n)
	d, err := p.Entry.Publish(ctx, n, dryRun)
	if err != nil {
		return server.Publication{}, err
	}
	out := publication(d, p.Entry.Clock.Now()-begun)
	out.ID, out.Differences = n.ID, differences
	if dryRun && out.Accepted {
		out.Accepted, out.DryRun = false, true
		return out, nil
	}
	return p.awaitForce(ctx, begun, out), nil
}

// differences lists what the note does to each key. The values before come from the notes that the entry has read; a
// key that was last changed before them has no known value.
func (p *entryProcess) differences(ctx context.Context, n configurer.Note) []server.Difference {
	before := map[string]string{}
	changes, err := p.Entry.History(ctx, historySearched)
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

func (p *entryProcess) history(ctx context.Context, limit int) ([]server.Record, error) {
	changes, err := p.Entry.History(ctx, limit)
	if err != nil {
		return nil, err
	}
	out := make([]server.Record, 0, len(changes))
	for _, c := range changes {
		r := server.Record{Offset: c.Offset, Note: c.Note}
		if len(c.Findings) > 0 {
			r.Refused = configurer.Err(c.Findings).Error()
		}
		out = append(out, r)
	}
	return out, nil
}

func (p *entryProcess) withdraw(ctx context.Context, domain, author string) (server.Publication, error) {
	begun := p.Entry.Clock.Now()
	d, err := p.Entry.Withdraw(ctx, domain, author)
	if err != nil {
		return server.Publication{}, err
	}
	if d.State == dispatcher.PublicationAccepted || d.State == dispatcher.PublicationRecorded {
		p.watch(domain, d.Offset+1)
	}
	return p.decided(ctx, domain, begun, d), nil
}

func (p *entryProcess) giveBack(ctx context.Context, domain, author string) (server.Publication, error) {
	begun := p.Entry.Clock.Now()
	d, err := p.Entry.Return(ctx, domain, author)
	if err != nil {
		return server.Publication{}, err
	}
	return p.decided(ctx, domain, begun, d), nil
}

// decided returns the answer to a decision on a failure domain, with the number of sidecars that it concerns.
func (p *entryProcess) decided(ctx context.Context, domain string, begun timer.Millis, d dispatcher.Publication) server.Publication {
	out := publication(d, p.Entry.Clock.Now()-begun)
	out.Domain = domain
	for _, s := range p.Entry.Status(ctx).Sidecars {
		if s.Domain == domain {
			out.Sidecars++
		}
	}
	return p.awaitForce(ctx, begun, out)
}

// awaitForce waits a short time until every known process has an accepted change, because operators want to know that
// rather than the acceptance alone.
func (p *entryProcess) awaitForce(ctx context.Context, begun timer.Millis, out server.Publication) server.Publication {
	if !out.Accepted {
		return out
	}
	until := p.Entry.Clock.Now() + forceWait
	for {
		s, now := p.Entry.Status(ctx), p.Entry.Clock.Now()
		if s.Entry.ID != "" && s.ConfigOffset > out.Offset {
			out.Lagging = s.Lagging
			if s.Lagging == 0 {
				out.InForce = now - begun
				return out
			}
		}
		if now >= until || ctx.Err() != nil {
			return out
		}
		time.Sleep(obeyPeriod)
	}
}

// watch observes how long it takes until every connected sidecar of the domain has the configuration offset. At most
// eight withdrawals are watched at a time.
func (p *entryProcess) watch(domain string, offset uint64) {
	select {
	case p.watchers <- struct{}{}:
	default:
		return
	}
	begun := p.Entry.Clock.Now()
	go func() {
		defer func() { <-p.watchers }()
		for p.Entry.Clock.Now()-begun < obeyWait {
			ctx, cancel := context.WithTimeout(context.Background(), statusWait)
			s := p.Entry.Status(ctx)
			cancel()
			if s.Entry.ID != "" && obeyed(s, domain, offset) {
				break
			}
			time.Sleep(obeyPeriod)
		}
		now := p.Entry.Clock.Now()
		p.Reporter.ObserveWithdrawal(now, domain, now-begun)
	}()
}

func obeyed(s dispatcher.Status, domain string, offset uint64) bool {
	for _, sc := range s.Sidecars {
		if sc.Domain == domain && sc.Connected && sc.ConfigOffset < offset {
			return false
		}
	}
	return true
}

func publication(d dispatcher.Publication, took timer.Millis) server.Publication {
	out := server.Publication{
		Offset: d.Offset, Lagging: d.Lagging, Took: took,
		Accepted:    d.State == dispatcher.PublicationAccepted,
		Recorded:    d.State == dispatcher.PublicationRecorded,
		Provisional: d.State == dispatcher.PublicationProvisional,
		Refused:     d.State == dispatcher.PublicationRefused,
		Unknown:     d.State == dispatcher.PublicationUnknown,
	}
	for _, f := range d.Findings {
		out.Findings = append(out.Findings, server.Finding{Place: f.Place, Reason: f.Text})
	}
	return out
}

func (p *entryProcess) status(ctx context.Context) (server.State, error) {
	s := p.Entry.Status(ctx)
	if s.Entry.ID == "" {
		return server.State{}, trace.LimitExceeded("the entry did not report its state in time")
	}
	out := server.State{
		ID: s.Entry.ID, Incarnation: s.Entry.Incarnation, Version: version().Version, Epoch: s.Roster.Epoch, ConfigOffset: s.ConfigOffset,
		Joined: s.Joined, LogReachable: s.LogReachable, Attested: s.Attests, Leaving: s.Draining, Takeover: s.Takeover,
		Queued: s.Queued, Submissions: s.Jobs, Lagging: s.Lagging, Counters: server.Counters(s.Counters),
	}
	for _, e := range s.Roster.Entries {
		out.Entries = append(out.Entries, server.EntryState{ID: e.Member.ID, Incarnation: e.Member.Incarnation, Address: e.Address})
	}
	for _, c := range s.Sidecars {
		out.Sidecars = append(out.Sidecars, server.SidecarState{
			ID: c.Member.ID, Domain: c.Domain, Worker: c.Worker, Slots: c.Slots, Credits: c.Credits, Running: c.Running,
			Connected: c.Connected, Leaving: c.Leaving, Silent: c.Silence,
		})
	}
	for _, d := range s.Domains {
		out.Domains = append(out.Domains, server.DomainState{Name: d.Name, InForce: d.InForce, Provisional: d.Provisional})
	}
	out.Members = p.members.states()
	return out, nil
}
