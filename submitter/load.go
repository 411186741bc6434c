package submitter

import (
	"fmt"

	"github.com/crocuslb/crocuslb/gauger"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// stepDownAfter is how long an entry must be overloaded before it steps down as the placing entry.
	stepDownAfter = timer.Second
	// stepDownTime is how long an entry that stepped down does not become the placing entry again.
	stepDownTime = 5 * timer.Second
	// successorFactor is how many times the processors of another entry an entry may have to step down in its favor.
	successorFactor = 2
	// loadReportInterval is the maximum time between two reports of the load to a peer. Other messages replace
	// heartbeats, but do not carry the load.
	loadReportInterval = marshaler.IdleHeartbeatInterval
	// loadValidity is how long a peer's reported load is used: loadReportInterval and the delay of a heartbeat.
	loadValidity = loadReportInterval + heartbeatInterval
	// perMille converts fractions to the unit of marshaler.Heartbeat.ProcessorUse.
	perMille = 1000
)

// loadState is the load of this entry and what follows from it for the choice of the placing entry.
type loadState struct {
	own             gauger.Load
	overloadedSince timer.Millis
	steppedDown     bool
	stepsUpAt       timer.Millis // earliest time at which steppedDown is cleared
}

// SetLoad sets the load of this entry. It must be called every gauger.Interval.
func (s *Submitter) SetLoad(now timer.Millis, l gauger.Load) {
	s.setNow(now)
	old := s.load.own.Class
	s.load.own = l
	if l.Class != old {
		s.load.overloadedSince = now
		s.report(Event{Kind: "loadClass", Detail: l.Class.String() + " " + describeLoad(&l), Value: int64(l.ProcessorUse * perMille)})
	}
	changed := s.updateStepDown()
	if s.Handover && (l.Class != old || changed) {
		s.sendPeerHeartbeats()
	}
	if changed && s.load.steppedDown {
		s.placer.RejectAll()
	}
}

func describeLoad(l *gauger.Load) string {
	return fmt.Sprintf("(processor use %.2f, loop delay %d ms, sent %d B/s, memory %d MB)", l.ProcessorUse, l.LoopDelay, l.BytesPerSecond, l.MemoryBytes>>20)
}

// updateStepDown updates whether this entry refrains from being the placing entry, and reports a change.
func (s *Submitter) updateStepDown() bool {
	overloaded := s.load.own.Class == gauger.Overloaded && s.now-s.load.overloadedSince >= stepDownAfter
	stepsDown := s.Handover && overloaded && s.hasSuccessor() || s.load.steppedDown && s.now < s.load.stepsUpAt
	if stepsDown == s.load.steppedDown {
		return false
	}
	wasPlacing := s.placingEntry() == s.Name
	s.load.steppedDown = stepsDown
	if !stepsDown {
		s.report(Event{Kind: "stepUp", Peer: s.placingEntry()})
		return true
	}
	s.load.stepsUpAt = s.now + stepDownTime
	detail := "candidate"
	if wasPlacing {
		detail = "placing"
	}
	s.report(Event{Kind: "stepDown", Peer: s.placingEntry(), Detail: detail, Value: int64(s.placer.QueueLen())})
	return true
}

// hasSuccessor reports whether another entry may place instead of this one.
func (s *Submitter) hasSuccessor() bool {
	for _, p := range s.peers {
		if s.isNormal(p) && !p.load.SteppedDown && p.hello.Weight*successorFactor >= s.Weight {
			return true
		}
	}
	return false
}

// isLive reports whether an entry can be expected to answer.
func (s *Submitter) isLive(p *peer) bool {
	return p.link != nil && !p.leaving && !p.suspect && (!p.active || p.silence(s.now) < suspectTimeout)
}

// isNormal reports whether a live entry says that its load is normal.
func (s *Submitter) isNormal(p *peer) bool {
	return s.isLive(p) && p.load != nil && gauger.Class(p.load.LoadClass) == gauger.Normal && s.now-p.loadAt < loadValidity
}

// setLoad stores the load that a heartbeat carries. A peer of a former release sends none.
func (p *peer) setLoad(now timer.Millis, m *marshaler.Heartbeat) {
	p.load, p.loadAt, p.handedSince = nil, now, 0
	if m.LoadClass != 0 {
		p.load = m
	}
}

// spareProcessor returns the processor capacity of a peer, in millicores, that neither its work at its latest report nor
// the jobs handed over to it since then use.
func (p *peer) spareProcessor() int64 {
	unused := perMille - int64(min(p.load.ProcessorUse, perMille))
	return int64(p.hello.Weight)*unused/perMille - int64(p.handedSince)*handoverProcessor
}

// addLoad adds this entry's load to a heartbeat for another entry.
func (s *Submitter) addLoad(m *marshaler.Heartbeat) *marshaler.Heartbeat {
	if l := &s.load.own; s.Handover && l.Class != 0 {
		m.LoadClass, m.ProcessorUse, m.LoopDelay = uint8(l.Class), uint64(l.ProcessorUse*perMille), l.LoopDelay
		m.BytesPerSecond, m.MemoryBytes, m.SteppedDown = l.BytesPerSecond, l.MemoryBytes, s.load.steppedDown
	}
	return m
}

// loadReportDue reports whether a peer must get a heartbeat for the sake of the load in it.
func (s *Submitter) loadReportDue(p *peer) bool {
	return s.Handover && s.load.own.Class != 0 && s.now-p.loadSentAt >= loadReportInterval
}

func (s *Submitter) sendPeerHeartbeats() {
	for _, p := range marshaler.SortedByKey(s.peers) {
		if p.link != nil {
			s.sendPeerHeartbeat(p)
		}
	}
}

// Placing reports whether this entry is the placing entry at present.
func (s *Submitter) Placing() bool { return s.placingEntry() == s.Name }
