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
	acceptanceTimeout        = 3 * timer.Second
	maxFoldedFindings        = 1000
	provisionalRetryInterval = timer.Second
	// otherRecorder is how long a provisional withdrawal that a peer told of waits for that peer to record it.
	peerRecordTimeout = 2 * timer.Second
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
	publicationTracker struct {
		pending        map[uint64]*pendingPublication // by append tag
		foldedFindings map[uint64][]configurer.Finding
		published      []Published
	}

	pendingPublication struct {
		request   uint64
		domain    string // set for withdrawals
		author    string
		offset    uint64
		inLog     bool
		startedAt timer.Millis
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
func (c *Core) TakePublished() []Published {
	p := c.publications.published
	c.publications.published = nil
	return p
}

// Publish appends a record with an operator's change. Domain is set when the change is the withdrawal of that domain,
// which is obeyed provisionally when it cannot be recorded now.
func (c *Core) Publish(now timer.Millis, request uint64, record []byte, domain, author string) {
	c.now = now
	if !c.hasLogQuorum() {
		if domain != "" {
			c.withdrawProvisionally(domain, author)
			c.addPublished(request, Publication{State: PublicationProvisional, Lagging: c.lagging(0)})
			return
		}
		c.addPublished(request, Publication{State: PublicationRefused, Findings: []configurer.Finding{{
			Place: "log", Text: "less than half of the entries report the log as reachable",
		}}})
		return
	}
	if c.publications.pending == nil {
		c.publications.pending = map[uint64]*pendingPublication{}
	}
	tag := c.appendRecord(StreamConfiguration, record)
	c.publications.pending[tag] = &pendingPublication{request: request, domain: domain, author: author, startedAt: now}
}

func (c *Core) addPublished(request uint64, p Publication) {
	c.publications.published = append(c.publications.published, Published{request, p})
}

func (c *Core) publicationAppended(tag, offset uint64, ok, unknown bool) {
	for name, p := range c.domainState.provisional {
		if p.appendTag == tag {
			p.appendTag = 0
			c.domainState.provisional[name] = p
		}
	}
	d := c.publications.pending[tag]
	if d == nil {
		return
	}
	if ok {
		d.inLog, d.offset = true, offset
		c.tickPublications()
		return
	}
	delete(c.publications.pending, tag)
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
	c.addPublished(d.request, p)
}

// ConfigurationRecord reports what the fold found in the configuration record at offset.
func (c *Core) ConfigurationRecord(now timer.Millis, offset uint64, findings []configurer.Finding) {
	c.now = now
	if c.publications.foldedFindings == nil {
		c.publications.foldedFindings = map[uint64][]configurer.Finding{}
	}
	c.publications.foldedFindings[offset] = findings
	delete(c.publications.foldedFindings, offset-maxFoldedFindings)
}

// tickDecisions answers operators whose change was folded and accepted, and records provisional withdrawals.
func (c *Core) tickPublications() {
	for tag, d := range c.publications.pending {
		if !d.inLog {
			continue
		}
		findings, folded := c.publications.foldedFindings[d.offset]
		timedOut := c.now-d.startedAt > acceptanceTimeout
		p := Publication{Offset: d.offset, State: PublicationRecorded, Lagging: c.lagging(d.offset + 1)}
		switch {
		case folded && len(findings) > 0:
			p = Publication{Offset: d.offset, State: PublicationRefused, Findings: findings}
		case folded && c.isAccepted(d.offset+1):
			p.State = PublicationAccepted
		case !timedOut:
			continue
		}
		delete(c.publications.pending, tag)
		c.addPublished(d.request, p)
	}
	if c.settings.WithdrawRecord == nil {
		return
	}
	for name, p := range c.domainState.provisional {
		wait := provisionalRetryInterval
		if p.author == "" && p.lastAttempt == 0 {
			wait, p.lastAttempt = peerRecordTimeout, p.startedAt
		}
		if p.appendTag != 0 || p.lastAttempt != 0 && c.now-p.lastAttempt < wait || !c.hasLogQuorum() {
			continue
		}
		p.lastAttempt = c.now
		p.appendTag = c.appendRecord(StreamConfiguration, c.settings.WithdrawRecord(name, p.author))
		c.domainState.provisional[name] = p
	}
}

func (c *Core) withdrawProvisionally(domain, author string) {
	if c.domainState.provisional == nil {
		c.domainState.provisional = map[string]provisionalWithdrawal{}
	}
	if old, ok := c.domainState.provisional[domain]; !ok || old.author == "" {
		c.domainState.provisional[domain] = provisionalWithdrawal{author: author, startedAt: c.now}
	}
	c.applyDomains()
	for _, p := range c.peers {
		c.pingPeer(p)
	}
}

// adoptProvisional obeys a withdrawal that a peer told of, unless this entry has seen it recorded since.
func (c *Core) adoptProvisional(domain string, offset uint64) {
	if _, ok := c.domainState.provisional[domain]; ok || offset < c.domainState.recordedOffsets[domain] {
		return
	}
	if c.domainState.inForce != nil && !c.domainState.inForce(domain) {
		return
	}
	if len(c.domainState.provisional) < maxProvisional {
		c.withdrawProvisionally(domain, "")
	}
}

// resolveProvisional ends a provisional withdrawal that is in the log now. Peers that are behind do not renew it.
func (c *Core) endProvisional(domain string) {
	delete(c.domainState.provisional, domain)
	if c.domainState.recordedOffsets == nil {
		c.domainState.recordedOffsets = map[string]uint64{}
	}
	c.domainState.recordedOffsets[domain] = c.domainState.offset
}

// lagging counts the members and sidecars that are not known to have the configuration offset.
func (c *Core) lagging(offset uint64) int {
	count := 0
	for _, e := range c.roster.Entries {
		p := c.peers[e.Member.ID]
		if e.Member != c.self && (p == nil || !p.hasValidReport(c.now, e.Member) || p.report.ConfigOffset < offset) {
			count++
		}
	}
	for _, sc := range c.sidecars {
		if sc.session == 0 || sc.configOffset < offset {
			count++
		}
	}
	return count
}
