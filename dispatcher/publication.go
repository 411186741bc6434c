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
	// PublicationProvisional means that a withdrawal is in effect but not recorded in the log yet.
	PublicationProvisional
	// PublicationRefused means that the change is not in force and will not come into force.
	PublicationRefused
	// PublicationUnknown means that the change may be in the log, or may still be appended to it.
	PublicationUnknown
)

const (
	acceptanceTimeout        = 3 * timer.Second
	maxFoldedFindings        = 1000
	provisionalRetryInterval = timer.Second
	// peerRecordTimeout is the time that a peer gets to record its provisional withdrawal before this entry does so.
	peerRecordTimeout = 2 * timer.Second
)

type (
	// PublicationState is the state of a configuration change.
	PublicationState uint8

	// Publication is the result of publishing a configuration change. Lagging is the number of processes that are
	// not known to have it.
	Publication struct {
		Offset   uint64
		State    PublicationState
		Findings []configurer.Finding
		Lagging  int
	}

	// PublishResponse is a Publication and the identifier of the request that it answers.
	PublishResponse struct {
		Request     uint64
		Publication Publication
	}

	// publicationTracker tracks the configuration changes that are not decided yet.
	publicationTracker struct {
		pending        map[uint64]*pendingPublication // by append tag
		foldedFindings map[uint64][]configurer.Finding
		responses      []PublishResponse
	}

	pendingPublication struct {
		request   uint64
		domain    string // withdrawn domain; "" for other changes
		author    string
		offset    uint64
		inLog     bool
		startedAt timer.Millis
	}
)

// String returns the name of the state as shown to operators.
func (s PublicationState) String() string {
	names := [...]string{"", "accepted", "recorded", "provisional", "refused", "unknown"}
	if int(s) < len(names) {
		return names[s]
	}
	return ""
}

// TakePublished returns and clears the responses to Publish that were decided since the last call.
func (c *Core) TakePublished() []PublishResponse {
	p := c.publications.responses
	c.publications.responses = nil
	return p
}

// Publish appends the record of a configuration change to the log. If the change withdraws a failure domain, domain is its
// name, and the withdrawal takes effect provisionally if it cannot be recorded now.
func (c *Core) Publish(now timer.Millis, request uint64, record []byte, domain, author string) {
	c.now = now
	if !c.hasLogQuorum() {
		if domain != "" {
			c.withdrawProvisionally(domain, author)
			c.addPublishResponse(request, Publication{State: PublicationProvisional, Lagging: c.lagging(0)})
			return
		}
		c.addPublishResponse(request, Publication{State: PublicationRefused, Findings: []configurer.Finding{{
			Location: "log", Message: "less than half of the entries report the log as reachable",
		}}})
		return
	}
	if c.publications.pending == nil {
		c.publications.pending = map[uint64]*pendingPublication{}
	}
	tag := c.appendRecord(StreamConfiguration, record)
	c.publications.pending[tag] = &pendingPublication{request: request, domain: domain, author: author, startedAt: now}
}

func (c *Core) addPublishResponse(request uint64, p Publication) {
	c.publications.responses = append(c.publications.responses, PublishResponse{request, p})
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
		Location: "log", Message: "the outcome of the append is not known",
	}}}
	if !unknown {
		p = Publication{State: PublicationRefused, Findings: []configurer.Finding{{
			Location: "log", Message: "the append failed",
		}}}
	}
	if d.domain != "" {
		c.withdrawProvisionally(d.domain, d.author)
		p = Publication{State: PublicationProvisional, Lagging: c.lagging(0)}
	}
	c.addPublishResponse(d.request, p)
}

// ConfigurationRecord handles the findings of folding the configuration record at offset. A record with findings was
// refused.
func (c *Core) ConfigurationRecord(now timer.Millis, offset uint64, findings []configurer.Finding) {
	c.now = now
	if c.publications.foldedFindings == nil {
		c.publications.foldedFindings = map[uint64][]configurer.Finding{}
	}
	c.publications.foldedFindings[offset] = findings
	delete(c.publications.foldedFindings, offset-maxFoldedFindings)
}

// tickPublications completes the changes that were refused or accepted, or whose acceptance timed out, and appends the
// provisional withdrawals to the log.
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
		c.addPublishResponse(d.request, p)
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

// adoptProvisional applies a provisional withdrawal reported by a peer whose configuration has the given offset, unless
// this entry has seen the withdrawal recorded at a later offset.
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

// endProvisional ends a provisional withdrawal that is now recorded in the log. Reports of peers with an older
// configuration do not renew it.
func (c *Core) endProvisional(domain string) {
	delete(c.domainState.provisional, domain)
	if c.domainState.recordedOffsets == nil {
		c.domainState.recordedOffsets = map[string]uint64{}
	}
	c.domainState.recordedOffsets[domain] = c.domainState.offset
}

// lagging returns the number of members and sidecars that are not known to have the configuration offset.
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
