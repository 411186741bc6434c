package dispatcher

import (
	"github.com/crocuslb/crocuslb/configurer"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// PublicationAccepted means that the change is in the log and at least half of the roster reported it.
	PublicationAccepted PublicationState = iota + 1
	// PublicationRecorded means that the change is in the log.
	PublicationRecorded
	// PublicationProvisional means that a withdrawal is obeyed and not recorded yet.
	PublicationProvisional
	// PublicationRefused means that the change is not in force and will not be.
	PublicationRefused
	// PublicationUnknown means that the change may be in the log or may get there yet.
	PublicationUnknown
)

const (
	acceptWait       = 3 * timer.Second
	foldsKept        = 1000
	provisionalRetry = timer.Second
	// otherRecorder is how long a provisional withdrawal that a peer told of waits for that peer to record it.
	otherRecorder = 2 * timer.Second
)

type (
	// PublicationState is the state of an operator's change.
	PublicationState uint8

	// Publication is the answer to an operator's change. Lagging counts the processes that are not known to have it.
	Publication struct {
		Offset   uint64
		State    PublicationState
		Findings []configurer.Finding
		Lagging  int
	}

	// Published is a Publication with the request that it answers.
	Published struct {
		Request     uint64
		Publication Publication
	}

	// decisions are the operators' changes on their way into the log.
	decisions struct {
		open      map[uint64]*decision // by append tag
		folds     map[uint64][]configurer.Finding
		published []Published
	}

	decision struct {
		request uint64
		domain  string // set for withdrawals
		author  string
		offset  uint64
		inLog   bool
		begun   timer.Millis
	}
)

// String returns the state's name as operators see it.
func (s PublicationState) String() string {
	names := [...]string{"", "accepted", "recorded", "provisional", "refused", "unknown"}
	if int(s) < len(names) {
		return names[s]
	}
	return ""
}

// Published returns the publications that were decided since the last call.
func (c *Core) Published() []Published {
	p := c.decisions.published
	c.decisions.published = nil
	return p
}

// Publish appends a record with an operator's change. Domain is set when the change is the withdrawal of that domain,
// which is obeyed provisionally when it cannot be recorded now.
func (c *Core) Publish(now timer.Millis, request uint64, record []byte, domain, author string) {
	c.now = now
	if !c.mayDecide() {
		if domain != "" {
			c.withdrawProvisionally(domain, author)
			c.publish(request, Publication{State: PublicationProvisional, Lagging: c.lagging(0)})
			return
		}
		c.publish(request, Publication{State: PublicationRefused, Findings: []configurer.Finding{{
			Place: "log", Text: "less than half of the entries report the log as reachable",
		}}})
		return
	}
	if c.decisions.open == nil {
		c.decisions.open = map[uint64]*decision{}
	}
	tag := c.appendRecord(StreamConfiguration, record)
	c.decisions.open[tag] = &decision{request: request, domain: domain, author: author, begun: now}
}

func (c *Core) publish(request uint64, p Publication) {
	c.decisions.published = append(c.decisions.published, Published{request, p})
}

func (c *Core) decisionAppended(tag, offset uint64, ok, unknown bool) {
	for name, p := range c.domains.provisional {
		if p.tag == tag {
			p.tag = 0
			c.domains.provisional[name] = p
		}
	}
	d := c.decisions.open[tag]
	if d == nil {
		return
	}
	if ok {
		d.inLog, d.offset = true, offset
		c.tickDecisions()
		return
	}
	delete(c.decisions.open, tag)
	p := Publication{State: PublicationUnknown, Findings: []configurer.Finding{{
		Place: "log", Text: "the outcome of the append is not known",
	}}}
	if !unknown {
		p = Publication{State: PublicationRefused, Findings: []configurer.Finding{{
			Place: "log", Text: "the append failed",
		}}}
	}
	if d.domain != "" {
		c.withdrawProvisionally(d.domain, d.author)
		p = Publication{State: PublicationProvisional, Lagging: c.lagging(0)}
	}
	c.publish(d.request, p)
}

// ConfigurationRecord reports what the fold found in the configuration record at offset.
func (c *Core) ConfigurationRecord(now timer.Millis, offset uint64, findings []configurer.Finding) {
	c.now = now
	if c.decisions.folds == nil {
		c.decisions.folds = map[uint64][]configurer.Finding{}
	}
	c.decisions.folds[offset] = findings
	delete(c.decisions.folds, offset-foldsKept)
}

// tickDecisions answers operators whose change was folded and accepted, and records provisional withdrawals.
func (c *Core) tickDecisions() {
	for tag, d := range c.decisions.open {
		if !d.inLog {
			continue
		}
		findings, folded := c.decisions.folds[d.offset]
		late := c.now-d.begun > acceptWait
		p := Publication{Offset: d.offset, State: PublicationRecorded, Lagging: c.lagging(d.offset + 1)}
		switch {
		case folded && len(findings) > 0:
			p = Publication{Offset: d.offset, State: PublicationRefused, Findings: findings}
		case folded && c.accepted(d.offset+1):
			p.State = PublicationAccepted
		case !late:
			continue
		}
		delete(c.decisions.open, tag)
		c.publish(d.request, p)
	}
	if c.settings.WithdrawRecord == nil {
		return
	}
	for name, p := range c.domains.provisional {
		wait := provisionalRetry
		if p.author == "" && p.tried == 0 {
			wait, p.tried = otherRecorder, p.since
		}
		if p.tag != 0 || p.tried != 0 && c.now-p.tried < wait || !c.mayDecide() {
			continue
		}
		p.tried = c.now
		p.tag = c.appendRecord(StreamConfiguration, c.settings.WithdrawRecord(name, p.author))
		c.domains.provisional[name] = p
	}
}

func (c *Core) withdrawProvisionally(domain, author string) {
	if c.domains.provisional == nil {
		c.domains.provisional = map[string]provisional{}
	}
	if old, ok := c.domains.provisional[domain]; !ok || old.author == "" {
		c.domains.provisional[domain] = provisional{author: author, since: c.now}
	}
	c.applyDomains()
	for _, p := range c.peers {
		c.pingPeer(p)
	}
}

// adoptProvisional obeys a withdrawal that a peer told of, unless this entry has seen it recorded since.
func (c *Core) adoptProvisional(domain string, offset uint64) {
	if _, ok := c.domains.provisional[domain]; ok || offset < c.domains.resolved[domain] {
		return
	}
	if c.domains.inForce != nil && !c.domains.inForce(domain) {
		return
	}
	if len(c.domains.provisional) < maxProvisional {
		c.withdrawProvisionally(domain, "")
	}
}

// resolveProvisional ends a provisional withdrawal that is in the log now. Peers that are behind do not renew it.
func (c *Core) resolveProvisional(domain string) {
	delete(c.domains.provisional, domain)
	if c.domains.resolved == nil {
		c.domains.resolved = map[string]uint64{}
	}
	c.domains.resolved[domain] = c.domains.offset
}

// lagging counts the members and sidecars that are not known to have the configuration offset.
func (c *Core) lagging(offset uint64) int {
	count := 0
	for _, e := range c.roster.Entries {
		p := c.peers[e.Member.ID]
		if e.Member != c.self && (p == nil || !p.valid(c.now, e.Member) || p.report.ConfigOffset < offset) {
			count++
		}
	}
	for _, sc := range c.sidecars {
		if sc.session == 0 || sc.offset < offset {
			count++
		}
	}
	return count
}
