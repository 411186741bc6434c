package starter

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// The fixed seed makes test runs reproducible. Use -rapid.seed for other seeds.
var _ = flag.Set("rapid.seed", "1")

// model drives a core with random messages and tracks independently which actions of the core are allowed.
type model struct {
	*rapid.T
	core                      Core
	sessions                  map[uint64]*modelSession
	roster                    encoder.Roster          // the latest that was sent to the core
	ackedBy                   map[encoder.Member]bool // entries that have acknowledged the sidecar
	now, leaseEnd             timer.Millis            // leaseEnd is the latest possible end
	lastSession, configOffset uint64                  // latest session; latest configuration offset that was sent to the core
	outageUntil               map[encoder.Member]timer.Millis
	domainReports             map[encoder.Member]domainReport
	leaving                   bool
	running, canceled         map[encoder.TaskKey]bool
	endStatus                 map[encoder.TaskKey]encoder.Status
	runCount                  map[encoder.TaskKey]int // number of runs, without those reported as not started
	waiting                   map[encoder.TaskKey]delivery
}

// modelSession is a session of an entry.
type modelSession struct {
	id                uint64
	member            encoder.Member
	lastPing          sentPing // the latest ping from the core
	credits, recalled uint32   // credits held, and the part of them that the answer to a Recall returns
	recallPending     bool     // a Recall has not been answered
}

func (s *modelSession) voidCredits() { s.credits, s.recalled, s.recallPending = 0, 0, false }

// delivery is a start that was delivered to the core.
type delivery struct {
	session  uint64
	start    encoder.Start
	deadline timer.Millis
}

// The default of 100 sequences is too low, because some faults occur in one of thousands only. A flag on the command
// line takes precedence.
func init() { _ = flag.Set("rapid.checks", "3000") }

// TestSafety checks the start gate with random sequences of messages, ends of runs, lost sessions and pauses. It fails
// if a task runs twice or although a condition of the gate does not hold, if a start gets no answer or more than one,
// or if too many credits are granted.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		md := &model{
			T: t, core: Core{ID: sidecarIDInCell(newRoster(5, testMembers...), task(0)), Slots: 2, ExtraCredits: 1}, now: 1000,
			sessions: map[uint64]*modelSession{}, ackedBy: map[encoder.Member]bool{},
			outageUntil: map[encoder.Member]timer.Millis{}, domainReports: map[encoder.Member]domainReport{},
			canceled: map[encoder.TaskKey]bool{}, runCount: map[encoder.TaskKey]int{}, running: map[encoder.TaskKey]bool{},
			endStatus: map[encoder.TaskKey]encoder.Status{}, waiting: map[encoder.TaskKey]delivery{},
		}
		md.adoptRoster(newRoster(5, testMembers...))
		for _, m := range testMembers {
			md.connect(m)
		}
		actions := []func(){
			md.deliverStart, md.deliverStart, md.deliverStart, md.deliverStart, md.deliverPong, md.deliverPong, md.deliverPong,
			md.endRun, md.endRun, md.advanceTime, md.deliverControl, md.changeSessions,
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			rapid.SampledFrom(actions).Draw(t, "action")()
			md.checkTotals()
		}
	})
}

func (md *model) chance(percent int, label string) bool {
	return rapid.IntRange(1, 100).Draw(md.T, label) <= percent
}

// drawSession returns a random session, or nil if there is none.
func (md *model) drawSession() *modelSession {
	if len(md.sessions) == 0 {
		return nil
	}
	return md.sessions[rapid.SampledFrom(slices.Sorted(maps.Keys(md.sessions))).Draw(md.T, "session")]
}

func (md *model) sessionOf(m encoder.Member) *modelSession {
	for _, s := range md.sessions {
		if s.member == m {
			return s
		}
	}
	return nil
}

func (md *model) ownerOf(t encoder.TaskKey) encoder.Member {
	o, _ := elector.Owner(md.roster, t.Job)
	return o.Member
}

// adoptRoster records a roster that is sent to the core.
func (md *model) adoptRoster(r encoder.Roster) {
	if r.Epoch <= md.roster.Epoch {
		return
	}
	md.roster = r
	for _, s := range md.sessions {
		if e, ok := elector.FindEntry(r, s.member.ID); !ok || e.Member != s.member {
			s.voidCredits()
		}
	}
}

func (md *model) connect(m encoder.Member) {
	if old := md.sessionOf(m); old != nil {
		md.endSession(old)
	}
	md.lastSession++
	md.sessions[md.lastSession], md.ackedBy[m] = &modelSession{id: md.lastSession, member: m}, true
	md.applyEffects(md.core.Connected(md.now, md.lastSession, &encoder.HelloAck{Member: m, Roster: md.roster}), nil)
}

func (md *model) endSession(s *modelSession) {
	delete(md.sessions, s.id)
	maps.DeleteFunc(md.waiting, func(_ encoder.TaskKey, d delivery) bool { return d.session == s.id })
}

// deliverStart delivers a start, which is valid and from the owner in most cases.
func (md *model) deliverStart() {
	t := task(rapid.IntRange(0, 23).Draw(md.T, "task"))
	s := md.sessionOf(md.ownerOf(t))
	if s == nil || md.chance(10, "any session") {
		if s = md.drawSession(); s == nil {
			return
		}
	}
	m := encoder.Start{Task: t, Epoch: md.roster.Epoch, Owner: s.member}
	m.Once, m.Claimed = md.chance(25, "once"), md.chance(30, "claimed")
	if md.chance(10, "other epoch") {
		m.Epoch = rapid.Uint64Range(3, md.roster.Epoch+2).Draw(md.T, "epoch")
	}
	d := delivery{session: s.id, start: m}
	if md.chance(20, "deadline") {
		m.Deadline = timer.Millis(rapid.SampledFrom([]int{-1, 1, 50, 500}).Draw(md.T, "left"))
		d.deadline = md.now + m.Deadline
	}
	_, waits := md.waiting[t]
	if md.runCount[t] == 0 && !waits && s.credits > 0 {
		s.credits--
		s.recalled -= min(s.recalled, 1) // the start was sent before the Recall arrived
	}
	md.applyEffects(md.core.Receive(md.now, s.id, &m), &d)
}

func (md *model) deliverPong() {
	s := md.drawSession()
	if s == nil || s.lastPing.sequence == 0 {
		return
	}
	m := encoder.Pong{
		Sequence: s.lastPing.sequence, Confirmed: !md.chance(15, "unconfirmed"), ConfirmationAge: timer.Millis(rapid.IntRange(0, 900).Draw(md.T, "age")),
		Roster: md.roster, ConfigOffset: max(md.configOffset, 1) - 1 + rapid.Uint64Range(0, 2).Draw(md.T, "offset"),
		DomainInForce: !md.chance(15, "withdrawn"), LogReachable: !md.chance(20, "outage"),
	}
	if md.chance(15, "next epoch") {
		m.Roster = md.drawNextRoster()
	} else if md.chance(10, "old epoch") {
		m.Roster = newRoster(4, testMembers[:3]...)
	}
	from, sent := s.member, s.lastPing.sentAt
	md.adoptRoster(m.Roster)
	md.configOffset = max(md.configOffset, m.ConfigOffset)
	if m.Sequence > md.domainReports[from].pongSequence {
		md.domainReports[from] = domainReport{m.Sequence, m.ConfigOffset, m.DomainInForce}
	}
	if m.Confirmed && (m.LogReachable || m.ConfigOffset == md.configOffset && m.Roster.Epoch == md.roster.Epoch) {
		md.leaseEnd = max(md.leaseEnd, sent-m.ConfirmationAge+leaseDuration)
		md.outageUntil[from] = max(md.outageUntil[from], sent-m.ConfirmationAge+leaseDuration)
		if m.LogReachable {
			md.outageUntil[from] = 0
		}
	}
	md.applyEffects(md.core.Receive(md.now, s.id, &m), nil)
}

// drawNextRoster removes an entry, replaces it by a new incarnation, or adds a new incarnation of a removed entry. A
// removed incarnation is never added again.
func (md *model) drawNextRoster() encoder.Roster {
	m := encoder.Member{ID: rapid.SampledFrom(testMembers).Draw(md.T, "entry").ID, Incarnation: md.roster.Epoch}
	next := newRoster(md.roster.Epoch + 1)
	for _, e := range md.roster.Entries {
		if e.Member.ID != m.ID {
			next.Entries = append(next.Entries, e)
		}
	}
	if len(next.Entries) < 3 || md.chance(60, "add") {
		next.Entries = append(next.Entries, encoder.RosterEntry{Member: m})
	}
	return next
}

func (md *model) endRun() {
	for i := range 24 {
		if t := task((i + 5) % 24); md.running[t] {
			status := encoder.Status(rapid.IntRange(int(encoder.StatusDone), int(encoder.StatusNotStarted)).Draw(md.T, "status"))
			delete(md.running, t)
			md.endStatus[t] = status
			if status == encoder.StatusNotStarted {
				md.runCount[t] = 0
			}
			md.applyEffects(md.core.RunEnded(md.now, t, Outcome{Status: status, Body: fmt.Append(nil, t)}), nil)
			return
		}
	}
}

// advanceTime advances the time. The longer steps simulate pauses of the process.
func (md *model) advanceTime() {
	md.now += timer.Millis(rapid.SampledFrom([]int{1, 20, 100, 300, 300, 900, 2500}).Draw(md.T, "ms"))
	md.applyEffects(md.core.Tick(md.now), nil)
}

// deliverControl delivers a message other than Start and Pong.
func (md *model) deliverControl() {
	t := task(rapid.IntRange(0, 23).Draw(md.T, "task"))
	s := md.sessionOf(md.ownerOf(t))
	if s == nil {
		return
	}
	var m encoder.Message
	switch rapid.IntRange(0, 4).Draw(md.T, "message") {
	case 0:
		for k, d := range md.waiting {
			d.start.Claimed = d.start.Claimed || k.Job == t.Job
			md.waiting[k] = d
		}
		m = &encoder.Claimed{Job: t.Job}
	case 1:
		md.canceled[t] = true
		m = &encoder.Cancel{Tasks: []encoder.TaskKey{t}}
	case 2:
		m = &encoder.Collected{Tasks: []encoder.TaskKey{t}}
	case 3:
		r := md.drawNextRoster()
		md.adoptRoster(r)
		m = &encoder.Census{Roster: r}
	case 4:
		n := s.recalled
		if !s.recallPending {
			n = min(s.credits, 1)
		}
		s.credits, s.recalled, s.recallPending = s.credits-n, 0, false
		m = &encoder.Release{Credits: n}
	}
	md.applyEffects(md.core.Receive(md.now, s.id, m), nil)
}

// changeSessions ends a session, toggles whether the sidecar is leaving, or opens the missing sessions.
func (md *model) changeSessions() {
	switch rapid.IntRange(0, 3).Draw(md.T, "change") {
	case 0:
		if s := md.drawSession(); s != nil {
			md.endSession(s)
			md.applyEffects(md.core.Disconnected(md.now, s.id), nil)
		}
	case 1:
		md.leaving = !md.leaving
		for _, s := range md.sessions {
			s.voidCredits()
		}
		md.applyEffects(md.core.SetLeaving(md.now, md.leaving), nil)
	default:
		for _, e := range md.roster.Entries {
			if md.sessionOf(e.Member) == nil {
				md.connect(e.Member)
			}
		}
	}
}

// applyEffects checks and records the effects of a call. d is the start that the call delivered, or nil.
func (md *model) applyEffects(effects []Effect, d *delivery) {
	answers := 0
	for _, e := range effects {
		s := md.sessions[e.Session]
		switch m := e.Message.(type) {
		case *encoder.Ping:
			s.lastPing = sentPing{m.Sequence, md.now}
		case *encoder.Grant:
			s.credits += m.Credits
		case *encoder.Recall:
			s.recalled, s.recallPending = m.Credits, true
		case *encoder.Result:
			s.credits += m.Credits
			if m.Status != md.endStatus[m.Task] || m.Status != encoder.StatusNotStarted && string(m.Body) != fmt.Sprint(m.Task) {
				md.Fatalf("result of %v: got %v %s, want %v", m.Task, m.Status, m.Body, md.endStatus[m.Task])
			}
			if d != nil && m.Task == d.start.Task {
				answers++
			}
		case *encoder.Refusal:
			s.credits += m.Credits
			if d != nil && m.Task == d.start.Task && e.Session == d.session {
				answers++
			} else if was, ok := md.waiting[m.Task]; !ok || was.session != e.Session {
				md.Fatalf("refusal %d of %v on session %d without a start", m.Reason, m.Task, e.Session)
			} else {
				delete(md.waiting, m.Task)
			}
		}
		if e.Kind == EffectRun {
			was, ok := md.waiting[e.Run.Task]
			if !ok && d != nil && d.start.Task == e.Run.Task {
				was, ok = *d, true
				answers++
			}
			if !ok {
				md.Fatalf("run of %v without a start", e.Run.Task)
			}
			delete(md.waiting, e.Run.Task)
			md.runCount[e.Run.Task]++
			md.running[e.Run.Task] = true
			md.checkRun(e.Run, was)
		}
	}
	if d != nil && answers == 0 {
		md.waiting[d.start.Task] = *d
	} else if d != nil && answers != 1 {
		md.Fatalf("start of %v: got %d answers, want 1", d.start.Task, answers)
	}
}

func (md *model) checkRun(r Run, d delivery) {
	inForce := true
	for _, e := range md.core.entries {
		report := md.domainReports[e.member]
		inForce = inForce && (report.pongSequence == 0 || report.offset != md.configOffset || report.inForce)
	}
	announced := true
	for _, e := range md.roster.Entries {
		announced = announced && md.ackedBy[e.Member]
	}
	for condition, violated := range map[string]bool{
		"the task ran before":                md.runCount[r.Task] != 1,
		"the lease has expired":              md.now >= md.leaseEnd || r.NotAfter > md.leaseEnd,
		"the domain is withdrawn":            !inForce,
		"the epoch is stale":                 d.start.Epoch != md.roster.Epoch,
		"the sender is not the owner":        md.ownerOf(r.Task) != d.start.Owner || md.sessions[d.session].member != d.start.Owner,
		"the sidecar is leaving":             md.leaving,
		"an entry does not know the sidecar": !announced,
		"the deadline has passed":            d.deadline != 0 && (md.now >= d.deadline || r.NotAfter > d.deadline),
		"the task is canceled":               md.canceled[r.Task],
		"the claim is missing":               d.start.Once && !d.start.Claimed && md.now >= md.outageUntil[d.start.Owner],
	} {
		if violated {
			md.Fatalf("run of %v at %v although %s", r.Task, md.now, condition)
		}
	}
}

func (md *model) checkTotals() {
	held := uint32(0)
	for _, s := range md.sessions {
		held += s.credits
	}
	got := fmt.Sprint(len(md.core.running), len(md.core.waiting), held)
	if want := fmt.Sprint(len(md.running), len(md.waiting), md.core.committedCredits()-uint32(len(md.running)+len(md.waiting))); got != want {
		md.Fatalf("running, waiting and credits: got %s, want %s", got, want)
	}
	if n := held + uint32(len(md.running)+len(md.waiting)); n > 3 || len(md.running) > 2 {
		md.Fatalf("%d credits and tasks are committed, want at most 3; %d tasks are running, want at most 2", n, len(md.running))
	}
}
