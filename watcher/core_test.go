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

// network connects cores in memory, in virtual time. It delivers packets after a delay, or drops them.
type network struct {
	t      testing.TB
	random *rand.Rand
	now    timer.Millis
	loss   float64
	cut    func(from, to string) bool // packets that are dropped
	delay  timer.Millis               // longest delay of a packet
	nodes  map[string]*Core           // running cores by address
	frozen string                     // address of a core that is paused; packets to it wait
	flying []flight
	seen   map[[2]string]Member // newest version by observer and member
	died   map[string]bool      // identifiers that were declared dead by anyone
}

type flight struct {
	at       timer.Millis
	from, to string
	packet   Packet
}

var addresses = []string{"n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8", "n9"}

func newNetwork(t testing.TB, size int, seed uint64) *network {
	n := &network{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: 1000, delay: 50,
		cut: func(string, string) bool { return false }, nodes: map[string]*Core{},
		seen: map[[2]string]Member{}, died: map[string]bool{},
	}
	for i := range size {
		n.start(i, 1)
	}
	return n
}

func nodeAddress(i int) string { return addresses[i] }

func (n *network) start(i int, incarnation uint64) {
	m := Member{ID: fmt.Sprint("m", i), Address: nodeAddress(i), Incarnation: incarnation}
	n.nodes[m.Address] = &Core{Self: m, Seed: n.random.Uint64()}
	for key := range n.seen {
		if key[0] == m.ID {
			delete(n.seen, key) // a new process knows nothing
		}
	}
}

func (n *network) perform(c *Core, out Output) {
	for _, d := range out.Send {
		if n.random.Float64() >= n.loss && !n.cut(c.Self.Address, d.To) {
			at := n.now + 1 + timer.Millis(n.random.Int64N(int64(n.delay)))
			n.flying = append(n.flying, flight{at, c.Self.Address, d.To, d.Packet})
		}
	}
	for _, u := range out.Changes {
		key := [2]string{c.Self.ID, u.Member.ID}
		if n.seen[key].newer(u.Member) {
			n.t.Errorf("%s went from version %+v to %+v", c.Self.ID, n.seen[key], u.Member)
		}
		n.seen[key] = u.Member
		if u.State == StateDead {
			n.died[u.Member.ID] = true
		}
	}
}

// run advances the time by a number of default periods.
func (n *network) run(periods int) {
	for end := n.now + timer.Millis(periods*defaultPeriod); n.now < end; n.now += 20 {
		flying := n.flying
		n.flying = nil
		for _, f := range flying {
			if f.at > n.now || f.to == n.frozen {
				n.flying = append(n.flying, f)
			} else if c := n.nodes[f.to]; c != nil {
				n.perform(c, c.Receive(n.now, f.from, &f.packet))
			}
		}
		for _, address := range addresses {
			c := n.nodes[address]
			if c == nil || c.Self.Address == n.frozen {
				continue
			}
			if n.now >= c.Next() {
				n.perform(c, c.Tick(n.now))
			}
			// Process joins a seed in the same way.
			if len(c.order) == 0 && n.now%defaultPeriod == 0 {
				n.perform(c, c.Join(nodeAddress(0)))
			}
		}
	}
}

// agreed returns a difference between what the running cores know and the truth, or the empty string.
func (n *network) agreed() string {
	for _, c := range n.nodes {
		known := map[string]Update{}
		for _, u := range c.Members() {
			known[u.Member.ID] = u
			if n.nodes[u.Member.Address] == nil && u.State != StateDead {
				return fmt.Sprintf("%s believes %s %v, but it is dead", c.Self.ID, u.Member.ID, u.State)
			}
		}
		for _, other := range n.nodes {
			u := known[other.Self.ID]
			if other != c && (u.State != StateAlive || u.Member.Incarnation != other.Self.Incarnation) {
				return fmt.Sprintf("%s believes %+v, but %+v is alive", c.Self.ID, u, other.Self)
			}
		}
	}
	return ""
}

// Guards against members that stay dead although they are reachable again, dead members that some process keeps, and
// versions that go back: whatever happened before, all agree on the truth some time after the network has recovered.
func TestAgreement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(3, 9).Draw(t, "size")
		n := newNetwork(testing.TB(nil), size, rapid.Uint64().Draw(t, "seed"))
		n.t = failer{t: t}
		n.run(10)
		incarnation := uint64(1)
		for range rapid.IntRange(1, 4).Draw(t, "steps") {
			i := rapid.IntRange(1, size-1).Draw(t, "member")
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				delete(n.nodes, nodeAddress(i))
			case 1:
				incarnation++
				n.start(i, incarnation)
			case 2:
				n.cut = func(from, to string) bool { return from == nodeAddress(i) || to == nodeAddress(i) }
			case 3:
				n.cut = func(from, _ string) bool { return from == nodeAddress(i) }
			default:
				n.loss = 0.4
			}
			n.run(rapid.IntRange(0, 40).Draw(t, "periods"))
		}
		n.cut, n.loss = func(string, string) bool { return false }, 0
		n.run(150)
		if difference := n.agreed(); difference != "" {
			t.Errorf("no agreement: %s", difference)
		}
	})
}

// failer lets a network report errors to rapid.
type failer struct {
	testing.TB
	t *rapid.T
}

func (f failer) Errorf(format string, args ...any) { f.t.Errorf(format, args...) }

// Guards against false deaths: a member whose packets all arrive in time is never declared dead, whatever happens to
// others, also when its observers pause.
func TestNoFalseDeath(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(4, 10).Draw(t, "size")
		n := newNetwork(testing.TB(nil), size, rapid.Uint64().Draw(t, "seed"))
		n.t = failer{t: t}
		n.run(15)
		killed := rapid.IntRange(1, size-2).Draw(t, "killed")
		for i := 1; i <= killed; i++ {
			delete(n.nodes, nodeAddress(i))
		}
		n.run(rapid.IntRange(1, 20).Draw(t, "periods"))
		n.frozen = nodeAddress(size - 1)
		n.run(rapid.IntRange(0, 50).Draw(t, "pause"))
		n.frozen = ""
		n.run(60)
		for address, c := range n.nodes {
			if n.died[c.Self.ID] && address != nodeAddress(size-1) {
				t.Errorf("%s at %s was declared dead", c.Self.ID, address)
			}
		}
		if difference := n.agreed(); difference != "" {
			t.Errorf("no agreement: %s", difference)
		}
	})
}

// Guards against one bad path that kills a member: others reach it, so it must stay alive without a suspicion.
func TestIndirectProbe(t *testing.T) {
	n := newNetwork(t, 6, 1)
	n.run(10)
	n.cut = func(from, to string) bool { return from == nodeAddress(1) && to == nodeAddress(2) }
	n.run(100)
	if n.nodes[nodeAddress(2)].Self.Refutations != 0 || n.agreed() != "" {
		t.Errorf("got %+v, %s", n.nodes[nodeAddress(2)].Self, n.agreed())
	}
}

// Guards against a pause of this process that counts against others: the refutation may wait in the socket.
func TestPause(t *testing.T) {
	m := Member{ID: "m", Address: "x", Incarnation: 1}
	for _, tt := range []struct {
		pause timer.Millis
		want  State
	}{{defaultPeriod, StateDead}, {1000 * defaultPeriod, StateSuspect}} {
		c := &Core{Self: Member{ID: "self"}, Suspicion: 10 * defaultPeriod}
		c.Tick(0)
		c.Receive(0, "x", &Packet{Kind: KindPage, From: Member{ID: "n", Address: "y"}, Updates: []Update{{m, StateSuspect}}})
		for now := timer.Millis(0); now <= max(tt.pause, 20*defaultPeriod); now += tt.pause {
			c.Tick(now)
		}
		if got := c.rows["m"].state; got != tt.want {
			t.Errorf("ticks every %v: got %v, want %v", tt.pause, got, tt.want)
		}
	}
}

// Guards against rumors that never end, and against packets above the limit, with the longest names.
func TestBounds(t *testing.T) {
	s, err := newSealer(developmentSecret)
	if err != nil {
		t.Fatal(err)
	}
	name := func(i int) string { return fmt.Sprintf("%0*d", MaxName, i) }
	c := &Core{Self: Member{name(0), name(0), 1 << 63, 1 << 63}}
	for i := 1; i < 200; i++ {
		u := Update{Member{name(i), name(i), 1 << 63, 1 << 63}, StateSuspect}
		c.Receive(1, "x", &Packet{Kind: KindAck, From: u.Member, Updates: []Update{u}})
	}
	limit := 0
	for now := timer.Millis(1); len(c.rumors) > 0; now += 100 {
		out := c.Tick(now)
		sends := append([]Datagram{}, out.Send...)
		sends = append(sends, c.Receive(now, "x", &Packet{Kind: KindPing, From: Member{ID: name(7)}, Target: c.Self}).Send...)
		sends = append(sends, c.Receive(now, "x", &Packet{Kind: KindSync, From: Member{ID: name(7)}, Cursor: name(3)}).Send...)
		for _, d := range sends {
			if size := len(s.seal(&d.Packet)); size > MaxDatagram || len(d.Packet.Updates) > maxUpdates {
				t.Fatalf("kind %d has %d bytes and %d updates", d.Packet.Kind, size, len(d.Packet.Updates))
			}
		}
		if limit++; limit > 100_000 {
			t.Fatalf("%d rumors are still told", len(c.rumors))
		}
	}
}
