package watcher

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/crocuslb/crocuslb/timer"
)

// A fixed seed makes runs repeatable; -rapid.seed tries others.
var _ = flag.Set("rapid.seed", "1")

// network simulates a network of cores in virtual time. It delivers packets after a random delay, or drops them.
type network struct {
	t              testing.TB
	rng            *rand.Rand
	now            timer.Millis
	loss           float64
	drops          func(from, to string) bool // drops all packets of a path
	maxDelay       timer.Millis               // of a packet
	cores          map[string]*Core           // running cores by address
	pausedAddress  string                     // of a core that is not run; packets to it wait
	inFlight       []inFlightPacket
	newestVersions map[[2]string]Member // by observer and member
	declaredDead   map[string]bool      // identifiers that any core declared dead
}

type inFlightPacket struct {
	deliverAt timer.Millis
	from, to  string
	packet    Packet
}

var addresses = []string{"n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9"}

func newNetwork(t testing.TB, size int, seed uint64) *network {
	n := &network{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: 1000, maxDelay: 50,
		drops: func(string, string) bool { return false }, cores: map[string]*Core{},
		newestVersions: map[[2]string]Member{}, declaredDead: map[string]bool{},
	}
	for i := range size {
		n.start(i, 1)
	}
	return n
}

func nodeAddress(i int) string { return addresses[i] }

func (n *network) start(i int, incarnation uint64) {
	m := Member{ID: fmt.Sprint("m", i), Address: nodeAddress(i), Incarnation: incarnation}
	n.cores[m.Address] = &Core{Self: m, Seed: n.rng.Uint64()}
	for key := range n.newestVersions {
		if key[0] == m.ID {
			delete(n.newestVersions, key) // a restarted process has no records
		}
	}
}

func (n *network) handleOutput(c *Core, out Output) {
	for _, d := range out.Send {
		if n.rng.Float64() >= n.loss && !n.drops(c.Self.Address, d.To) {
			at := n.now + 1 + timer.Millis(n.rng.Int64N(int64(n.maxDelay)))
			n.inFlight = append(n.inFlight, inFlightPacket{at, c.Self.Address, d.To, d.Packet})
		}
	}
	for _, u := range out.Changes {
		key := [2]string{c.Self.ID, u.Member.ID}
		if n.newestVersions[key].newer(u.Member) {
			n.t.Errorf("%s replaced version %+v by the older %+v", c.Self.ID, n.newestVersions[key], u.Member)
		}
		n.newestVersions[key] = u.Member
		if u.State == StateDead {
			n.declaredDead[u.Member.ID] = true
		}
	}
}

// run advances the time by a number of default probe intervals.
func (n *network) run(periods int) {
	for end := n.now + timer.Millis(periods*defaultProbeInterval); n.now < end; n.now += 20 {
		inFlight := n.inFlight
		n.inFlight = nil
		for _, f := range inFlight {
			if f.deliverAt > n.now || f.to == n.pausedAddress {
				n.inFlight = append(n.inFlight, f)
			} else if c := n.cores[f.to]; c != nil {
				n.handleOutput(c, c.Receive(n.now, f.from, &f.packet))
			}
		}
		for _, address := range addresses {
			c := n.cores[address]
			if c == nil || c.Self.Address == n.pausedAddress {
				continue
			}
			if n.now >= c.NextTick() {
				n.handleOutput(c, c.Tick(n.now))
			}
			// Process also retries to join a seed while it knows no members.
			if len(c.probeOrder) == 0 && n.now%defaultProbeInterval == 0 {
				n.handleOutput(c, c.Join(nodeAddress(0)))
			}
		}
	}
}

// disagreement describes a difference between the records of a running core and the actual state, or returns the empty
// string.
func (n *network) disagreement() string {
	for _, c := range n.cores {
		known := map[string]Update{}
		for _, u := range c.Members() {
			known[u.Member.ID] = u
			if n.cores[u.Member.Address] == nil && u.State != StateDead {
				return fmt.Sprintf("%s has %s as %v, but it is dead", c.Self.ID, u.Member.ID, u.State)
			}
		}
		for _, other := range n.cores {
			u := known[other.Self.ID]
			if other != c && (u.State != StateAlive || u.Member.Incarnation != other.Self.Incarnation) {
				return fmt.Sprintf("%s has record %+v, but %+v is alive", c.Self.ID, u, other.Self)
			}
		}
	}
	return ""
}

// TestAgreement guards against members that stay dead although they are reachable again, dead members that some process
// considers alive, and versions that decrease. After crashes, restarts, partitions and packet loss, all records must
// converge to the actual state once the network has recovered.
func TestAgreement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(3, 9).Draw(t, "size")
		n := newNetwork(testing.TB(nil), size, rapid.Uint64().Draw(t, "seed"))
		n.t = rapidReporter{t: t}
		n.run(10)
		incarnation := uint64(1)
		for range rapid.IntRange(1, 4).Draw(t, "steps") {
			i := rapid.IntRange(1, size-1).Draw(t, "member")
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				delete(n.cores, nodeAddress(i))
			case 1:
				incarnation++
				n.start(i, incarnation)
			case 2:
				n.drops = func(from, to string) bool { return from == nodeAddress(i) || to == nodeAddress(i) }
			case 3:
				n.drops = func(from, _ string) bool { return from == nodeAddress(i) }
			default:
				n.loss = 0.4
			}
			n.run(rapid.IntRange(0, 40).Draw(t, "periods"))
		}
		n.drops, n.loss = func(string, string) bool { return false }, 0
		n.run(150)
		if difference := n.disagreement(); difference != "" {
			t.Errorf("records did not converge: %s", difference)
		}
	})
}

// rapidReporter reports the errors of a network to rapid.
type rapidReporter struct {
	testing.TB
	t *rapid.T
}

func (f rapidReporter) Errorf(format string, args ...any) { f.t.Errorf(format, args...) }

// TestNoFalseFailure guards against false positives: a member whose packets all arrive in time must never be declared dead,
// even when other members crash or an observer pauses.
func TestNoFalseFailure(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(4, 10).Draw(t, "size")
		n := newNetwork(testing.TB(nil), size, rapid.Uint64().Draw(t, "seed"))
		n.t = rapidReporter{t: t}
		n.run(15)
		killed := rapid.IntRange(1, size-2).Draw(t, "killed")
		for i := 1; i <= killed; i++ {
			delete(n.cores, nodeAddress(i))
		}
		n.run(rapid.IntRange(1, 20).Draw(t, "periods"))
		n.pausedAddress = nodeAddress(size - 1)
		n.run(rapid.IntRange(0, 50).Draw(t, "pause"))
		n.pausedAddress = ""
		n.run(60)
		for address, c := range n.cores {
			if n.declaredDead[c.Self.ID] && address != nodeAddress(size-1) {
				t.Errorf("%s at %s was declared dead", c.Self.ID, address)
			}
		}
		if difference := n.disagreement(); difference != "" {
			t.Errorf("records did not converge: %s", difference)
		}
	})
}

// TestIndirectProbe guards against a suspicion because of a single broken path, while other members reach the target.
func TestIndirectProbe(t *testing.T) {
	n := newNetwork(t, 6, 1)
	n.run(10)
	n.drops = func(from, to string) bool { return from == nodeAddress(1) && to == nodeAddress(2) }
	n.run(100)
	if n.cores[nodeAddress(2)].Self.Refutations != 0 || n.disagreement() != "" {
		t.Errorf("got %+v, %s", n.cores[nodeAddress(2)].Self, n.disagreement())
	}
}

// TestPause guards against declaring a suspect dead after a pause of the local process, when the refutation may still wait
// in the socket.
func TestPause(t *testing.T) {
	m := Member{ID: "m", Address: "x", Incarnation: 1}
	for _, tt := range []struct {
		pause timer.Millis
		want  State
	}{{defaultProbeInterval, StateDead}, {1000 * defaultProbeInterval, StateSuspect}} {
		c := &Core{Self: Member{ID: "self"}, SuspicionTimeout: 10 * defaultProbeInterval}
		c.Tick(0)
		c.Receive(0, "x", &Packet{Kind: KindPage, From: Member{ID: "n", Address: "y"}, Updates: []Update{{m, StateSuspect}}})
		for now := timer.Millis(0); now <= max(tt.pause, 20*defaultProbeInterval); now += tt.pause {
			c.Tick(now)
		}
		if got := c.records["m"].state; got != tt.want {
			t.Errorf("ticks every %v: got %v, want %v", tt.pause, got, tt.want)
		}
	}
}

// TestBounds guards against gossip that never ends, and against packets above the size limit when all names have the
// maximum length.
func TestBounds(t *testing.T) {
	auth, err := newAuthenticator(developmentSecret)
	if err != nil {
		t.Fatal(err)
	}
	name := func(i int) string { return fmt.Sprintf("%0*d", MaxNameLen, i) }
	c := &Core{Self: Member{name(0), name(0), 1 << 63, 1 << 63}}
	for i := 1; i < 200; i++ {
		u := Update{Member{name(i), name(i), 1 << 63, 1 << 63}, StateSuspect}
		c.Receive(1, "x", &Packet{Kind: KindAck, From: u.Member, Updates: []Update{u}})
	}
	ticks := 0
	for now := timer.Millis(1); len(c.gossipQueue) > 0; now += 100 {
		out := c.Tick(now)
		sends := append([]Datagram{}, out.Send...)
		sends = append(sends, c.Receive(now, "x", &Packet{Kind: KindPing, From: Member{ID: name(7)}, Target: c.Self}).Send...)
		sends = append(sends, c.Receive(now, "x", &Packet{Kind: KindSync, From: Member{ID: name(7)}, Cursor: name(3)}).Send...)
		for _, d := range sends {
			if size := len(auth.signPacket(&d.Packet)); size > MaxDatagramLen || len(d.Packet.Updates) > maxUpdates {
				t.Fatalf("kind %d has %d bytes and %d updates", d.Packet.Kind, size, len(d.Packet.Updates))
			}
		}
		if ticks++; ticks > 100_000 {
			t.Fatalf("%d updates are still in the gossip queue", len(c.gossipQueue))
		}
	}
}
