package dispatcher

import (
	"slices"
	"strings"
	"testing"

	"github.com/crocuslb/crocuslb/configurer"
	"github.com/crocuslb/crocuslb/elector"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// newBenchWithPeers returns a test bench whose core shares a roster with the named peers. Their sessions are 1, 2, ...
func newBenchWithPeers(t testing.TB, peers ...string) *testBench {
	b := newTestBench(t, Settings{WithdrawRecord: func(domain, author string) []byte { return []byte(domain + " by " + author) }})
	for i, id := range peers {
		b.core.RosterRecord(b.now, uint64(i+1), elector.Change{
			Kind: elector.ChangeJoin, Entry: encoder.RosterEntry{Member: encoder.Member{ID: id, Incarnation: 1}, Address: id},
		})
		b.core.SessionOpened(b.now, SessionID(i+1), encoder.Hello{
			Role: encoder.RoleEntry, Member: encoder.Member{ID: id, Incarnation: 1},
		})
	}
	b.takeEffects()
	return b
}

// answerPing lets the peer of a session answer a ping that was sent the given delay ago.
func (b *testBench) answerPing(id SessionID, s encoder.PeerPing, delay timer.Millis) {
	p := b.core.sessions[id].peer
	b.core.now = b.now - delay
	b.core.pingPeer(p)
	b.core.HandleMessage(b.now, id, &encoder.PeerPong{Sequence: p.sequence, State: s})
	b.takeEffects()
}

// TestFreshness guards the rules by which an entry renews freshness leases and may append changes to the log.
func TestFreshness(t *testing.T) {
	const epoch = 4
	up := encoder.PeerPing{Epoch: epoch, LogReachable: true}
	down := encoder.PeerPing{Epoch: epoch}
	tests := []struct {
		name      string
		silence   timer.Millis // since the last confirmation
		reports   []encoder.PeerPing
		delay     timer.Millis // age of the reports
		attests   bool
		quorum    bool
		confirmed bool
	}{
		{"all reachable", 100, []encoder.PeerPing{up, up, up}, 50, false, true, true},
		{"alone with the log", 100, nil, 0, false, false, true},
		{"half with the log", 100, []encoder.PeerPing{up}, 50, false, true, true},
		{"half with the log, old report", 100, []encoder.PeerPing{up}, 500, false, false, true},
		{"peers without the log", 100, []encoder.PeerPing{down, down, down}, 50, false, false, true},
		{"all without the log", 1500, []encoder.PeerPing{down, down, down}, 50, true, false, true},
		{"majority without the log", 1500, []encoder.PeerPing{down, down, up}, 50, true, false, true},
		{"half without the log", 1500, []encoder.PeerPing{down, up, up}, 50, false, false, true},
		{"half without the log, too long", 2000, []encoder.PeerPing{down, up, up}, 50, false, false, false},
		{"minority", 2500, []encoder.PeerPing{down}, 50, false, false, false},
		{"old reports", 2500, []encoder.PeerPing{down, down, down}, 500, false, false, false},
		{"newer epoch", 2500, []encoder.PeerPing{down, down, {Epoch: epoch + 1}}, 50, false, false, false},
		{"newer configuration", 2500, []encoder.PeerPing{down, down, {Epoch: epoch, ConfigOffset: 1}}, 50, false, false, false},
		{"older peer", 2500, []encoder.PeerPing{down, down, {Epoch: epoch - 1}}, 50, true, false, true},
	}
	for _, tt := range tests {
		b := newBenchWithPeers(t, "b", "c", "d")
		b.confirmStreams()
		b.now += tt.silence
		for i, r := range tt.reports {
			b.answerPing(SessionID(i+1), r, tt.delay)
		}
		b.core.now = b.now
		if got := b.core.attestsLogOutage(); got != tt.attests {
			t.Errorf("%s: got attested log outage %v", tt.name, got)
		}
		if got := b.core.hasLogQuorum(); got != tt.quorum {
			t.Errorf("%s: got log quorum %v", tt.name, got)
		}
		b.sent = nil
		b.message(&encoder.Ping{Sequence: 7})
		pong, ok := b.sent[0].(*encoder.Pong)
		if !ok || pong.Sequence != 7 || pong.Confirmed != tt.confirmed || pong.LogReachable == tt.attests {
			t.Errorf("%s: got pong %+v", tt.name, b.sent[0])
		}
		if want := tt.silence; !tt.attests && tt.confirmed && pong.ConfirmationAge != want || tt.attests && pong.ConfirmationAge != 0 {
			t.Errorf("%s: got age %v, last confirmation %v ago", tt.name, pong.ConfirmationAge, want)
		}
	}
}

// TestDecisions guards the answers to configuration changes: accepted only if half of the roster has reported the change,
// refused if folding it gives findings. Withdrawals take effect during a log outage and are recorded after it.
func TestDecisions(t *testing.T) {
	up := encoder.PeerPing{Epoch: 3, LogReachable: true}
	tests := []struct {
		name    string
		steps   []string
		state   PublicationState
		inForce bool
		records int
	}{
		{"accepted", []string{"up", "publish", "append", "fold", "know"}, PublicationAccepted, false, 1},
		{"not reported by peers", []string{"up", "publish", "append", "fold", "time"}, PublicationRecorded, false, 1},
		{"undecided", []string{"up", "publish", "append", "fold"}, 0, false, 1},
		{"not folded yet", []string{"up", "publish", "append"}, 0, true, 1},
		{"refused by the fold", []string{"up", "publish", "append", "conflict"}, PublicationRefused, true, 1},
		{"response lost", []string{"up", "publish", "lose"}, PublicationProvisional, false, 2},
		{"no peer with the log", []string{"publish"}, PublicationProvisional, false, 0},
		{"recorded later", []string{"publish", "time", "up", "time", "up", "tick"}, PublicationProvisional, false, 1},
		{"peer's withdrawal", []string{"hear"}, 0, false, 0},
		{"peer's withdrawal is recorded for it", []string{"hear", "time", "up", "tick"}, 0, false, 1},
		{"recorded withdrawal is not renewed", []string{"hear", "fold", "return", "hear"}, 0, true, 0},
	}
	for _, tt := range tests {
		b := newBenchWithPeers(t, "b", "c")
		records := 0
		var tag uint64
		var got PublicationState
		configuration := func(offset uint64, inForce bool) {
			b.core.SetConfiguration(b.now, offset, func(domain string) bool { return inForce || domain != "north" })
		}
		for _, action := range tt.steps {
			switch action {
			case "up":
				b.confirmStreams()
				b.answerPing(1, up, 10)
			case "publish":
				b.core.Publish(b.now, 1, []byte("record"), "north", "ann")
			case "append":
				b.core.AppendDone(b.now, tag, 0, true, false)
			case "lose":
				b.core.AppendDone(b.now, tag, 0, false, true)
			case "fold":
				b.core.ConfigurationRecord(b.now, 0, nil)
				configuration(1, false)
			case "return":
				configuration(2, true)
			case "conflict":
				b.core.ConfigurationRecord(b.now, 0, []configurer.Finding{{Message: "the key was changed"}})
				configuration(1, true)
			case "know":
				b.answerPing(1, encoder.PeerPing{Epoch: 3, LogReachable: true, ConfigOffset: 1}, 10)
			case "hear":
				b.core.HandleMessage(b.now, 1, &encoder.PeerPing{Epoch: 3, WithdrawnDomains: []string{"north"}, ConfigOffset: 0})
			case "time":
				b.now += 3500
			}
			b.core.Tick(b.now)
			for _, f := range b.core.TakeEffects() {
				if f.Kind == EffectAppend && f.Stream == StreamConfiguration {
					tag = f.Tag
					records++
				}
			}
			for _, p := range b.core.TakePublished() {
				got = p.Publication.State
			}
		}
		if got != tt.state || b.core.inForce("north") != tt.inForce || records != tt.records {
			t.Errorf("%s: got %q, in force %v, %d records; want %q, %v, %d", tt.name, got, b.core.inForce("north"), records,
				tt.state, tt.inForce, tt.records)
		}
	}
}

// TestRoster guards the membership: failed peers are removed, an entry that was paused removes no peers, and a removed entry
// joins again with a new incarnation.
func TestRoster(t *testing.T) {
	takeChanges := func(b *testBench) []string {
		var list []string
		for _, f := range b.core.TakeEffects() {
			if f.Kind == EffectAppend && f.Stream == StreamRoster {
				c, _ := elector.DecodeChange(f.Body)
				list = append(list, strings.Repeat("-", int(c.Kind)-1)+c.Entry.Member.ID)
			}
		}
		return list
	}
	b := newBenchWithPeers(t, "b", "c")
	var got []string
	for range 200 { // 4 s in which b answers and c does not
		b.now += 20
		b.confirmStreams()
		b.answerPing(1, encoder.PeerPing{Epoch: 3, LogReachable: true}, 10)
		b.core.Tick(b.now)
		got = append(got, takeChanges(b)...)
	}
	if want := []string{"--c", "--c"}; !slices.Equal(got, want) {
		t.Errorf("got changes %v, want %v", got, want)
	}
	b = newBenchWithPeers(t, "b", "c")
	b.tick(1)
	b.now += timer.Minute
	b.confirmStreams()
	b.answerPing(1, encoder.PeerPing{Epoch: 3, LogReachable: true}, 10)
	b.core.Tick(b.now)
	if got := takeChanges(b); len(got) > 0 {
		t.Errorf("after a pause: got changes %v, want none", got)
	}
	b.core.RosterRecord(b.now, 3, elector.Change{
		Kind: elector.ChangeRemove, Entry: encoder.RosterEntry{Member: encoder.Member{ID: "a", Incarnation: 1}},
	})
	b.core.Tick(b.now)
	if got := takeChanges(b); !slices.Equal(got, []string{"a"}) || b.core.Self().Incarnation != 2 {
		t.Errorf("after the removal: got changes %v and incarnation %d", got, b.core.Self().Incarnation)
	}
}

// TestHasCompleteEvidence guards against a second start of a task after the sidecar, owner and receiving entry of the first
// start were all lost. A submission counts as newer than the loss of a sidecar only if an earlier arrival at another entry
// would have left a claim.
func TestHasCompleteEvidence(t *testing.T) {
	tests := []struct {
		name   string
		before func(b *testBench) // applied before this entry forwards the submission
		after  func(b *testBench)
		lost   timer.Millis // time from the loss of the sidecar to the submission
		want   bool
	}{
		{"came after the loss", nil, nil, 20 * timer.Second, true},
		{"came shortly after the loss", nil, nil, 4 * timer.Second, false},
		{"came before the loss", nil, nil, -timer.Second, false},
		{"claimed before", func(b *testBench) {
			b.core.ClaimsRecord(b.now, elector.Claims{Member: encoder.Member{ID: "b"}, Keys: []string{"k"}})
		}, nil, 20 * timer.Second, false},
		{"claims not read", func(b *testBench) { b.now += 2 * timer.Second }, nil, 20 * timer.Second, false},
		{"log was down", func(b *testBench) { b.now += 2 * timer.Second; b.tick(1); b.confirmStreams() }, nil, 20 * timer.Second, false},
		{"another peer had it", nil, func(b *testBench) {
			b.core.HandleMessage(b.now, 1, &encoder.PeerCensusReply{
				Epoch: b.core.roster.Epoch, Jobs: []encoder.KnownJob{{Key: "k", Age: timer.Minute}},
			})
		}, 20 * timer.Second, false},
	}
	for _, tt := range tests {
		b := newBenchWithPeers(t, "b", "c")
		b.tick(1)
		b.now += timer.Minute
		b.confirmStreams()
		if tt.before != nil {
			tt.before(b)
		}
		b.core.now = b.now
		b.core.recordOwner("k", encoder.Member{ID: "b", Incarnation: 1})
		b.core.takeover.missingEvidence = map[encoder.Member]timer.Millis{{ID: "s9"}: b.now - tt.lost}
		if tt.after != nil {
			tt.after(b)
		}
		if got := b.core.hasCompleteEvidence("k"); got != tt.want {
			t.Errorf("%s: got complete evidence %v", tt.name, got)
		}
	}
}

// TestOfferConfiguration guards against an entry that keeps an older configuration than its peers because it cannot read the
// log.
func TestOfferConfiguration(t *testing.T) {
	tests := []struct {
		name   string
		report encoder.PeerPing
		want   int // offers after two reports in a row
	}{
		{"older offset, log unreachable", encoder.PeerPing{ConfigOffset: 3}, 1},
		{"older offset, log reachable", encoder.PeerPing{ConfigOffset: 3, LogReachable: true}, 0},
		{"same offset", encoder.PeerPing{ConfigOffset: 7}, 0},
		{"later offset", encoder.PeerPing{ConfigOffset: 9}, 0},
	}
	for _, tt := range tests {
		b := newBenchWithPeers(t, "b")
		b.core.SetConfiguration(b.now, 7, nil)
		b.core.effects = nil
		for range 2 {
			b.core.HandleMessage(b.now, 1, &tt.report)
		}
		got := 0
		for i := range b.core.effects {
			if b.core.effects[i].Kind == EffectSendConfiguration {
				got++
			}
		}
		if got != tt.want {
			t.Errorf("%s: got %d offers, want %d", tt.name, got, tt.want)
		}
	}
}
