package watcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	// MinSecret is the shortest secret in bytes.
	MinSecret = 32
	// developmentSecret protects nothing. It is used on loopback only.
	developmentSecret = "insecure development secret of crocuslb"
	// maxWaiting bounds the datagrams that were received and not yet handled; later ones are dropped.
	maxWaiting = 256
	// rejoinPeriod is the time between two attempts to join at first, and while no member is known.
	rejoinPeriod = timer.Second
	// firstJoins is the number of attempts at first. Processes that start together join seeds that know nobody yet; with
	// one attempt they found each other only after reseedPeriod.
	firstJoins = 10
	// reseedPeriod is the time between two attempts to join otherwise. They unite groups that do not know each other
	// because their members started while they were separated.
	reseedPeriod = timer.Minute
)

type (
	// Process runs a Core on a UDP socket. Set the exported fields before Run is called.
	Process struct {
		Core   Core
		Clock  timer.Clock
		Secret string // at least MinSecret bytes; without one, only loopback addresses are allowed
		// Seeds are the addresses of processes to join.
		Seeds []string
		// OnChange is called from the goroutine of the process when a member appears or changes its state or version.
		// It must not block for long.
		OnChange func(m Member, s State)

		sealer  sealer
		socket  *net.UDPConn
		refused atomic.Uint64
		asks    chan chan<- []Update
		ended   chan struct{} // closed when no ask is answered any more
		wait    sync.WaitGroup
	}

	arrival struct {
		from   string
		packet Packet
	}
)

// Start begins to watch on a UDP address, until ctx ends; it then tells others that this process leaves. It returns the
// bound address, which becomes the address of Core.Self when that is empty.
func (p *Process) Start(ctx context.Context, address string) (string, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return "", trace.BadParameter("watcher address %q: %v", address, err)
	}
	secret := p.Secret
	switch {
	case secret == "" && !at.IP.IsLoopback():
		return "", trace.BadParameter("address %v is not a loopback address; other addresses require a secret", at)
	case secret == "":
		secret = developmentSecret
	case len(secret) < MinSecret:
		return "", trace.BadParameter("the secret has %d bytes, at least %d are required", len(secret), MinSecret)
	}
	if p.sealer, err = newSealer(secret); err != nil {
		return "", trace.Wrap(err, "cannot derive the key")
	}
	if p.socket, err = net.ListenUDP("udp", at); err != nil {
		return "", trace.ConnectionProblem(err, "cannot listen on %q: %v", address, err)
	}
	bound := p.socket.LocalAddr().String()
	if p.Core.Self.Address == "" {
		p.Core.Self.Address = bound
	}
	if s := &p.Core.Self; s.ID == "" || len(s.ID) > MaxName || len(s.Address) > MaxName {
		_ = p.socket.Close()
		return "", trace.BadParameter("identifier %q and address %q need 1 to %d bytes", s.ID, s.Address, MaxName)
	}
	arrivals := make(chan arrival, maxWaiting)
	p.asks, p.ended = make(chan chan<- []Update), make(chan struct{})
	p.wait.Go(func() { p.read(arrivals) })
	p.wait.Go(func() { p.run(ctx, arrivals) })
	return bound, nil
}

// Wait blocks until the process has ended after its context.
func (p *Process) Wait() { p.wait.Wait() }

// Members returns the records of all other members, in no order, and nothing after the end. Start must have succeeded.
// It must not be called from OnChange, because the goroutine that answers is the one that calls OnChange.
func (p *Process) Members() []Update {
	answer := make(chan []Update, 1)
	select {
	case p.asks <- answer:
		return <-answer
	case <-p.ended:
		return nil
	}
}

// Refused returns the number of datagrams that were malformed, had a wrong seal, or came too fast.
func (p *Process) Refused() uint64 { return p.refused.Load() }

// read decodes datagrams until the socket is closed.
func (p *Process) read(arrivals chan<- arrival) {
	buffer := make([]byte, MaxDatagram+1)
	for {
		n, from, err := p.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		packet, err := p.sealer.open(buffer[:n])
		if err != nil {
			p.refused.Add(1)
			continue
		}
		select {
		case arrivals <- arrival{from.String(), packet}:
		default:
			p.refused.Add(1)
		}
	}
}

// run owns the core.
func (p *Process) run(ctx context.Context, arrivals <-chan arrival) {
	defer close(p.ended)
	defer p.socket.Close() //nolint:errcheck // nothing is left to do with the socket
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	joined, joins, first := p.Clock.Now()-reseedPeriod, 0, rand.IntN(max(len(p.Seeds), 1))
	for {
		select {
		case <-ctx.Done():
			p.perform(p.Core.Leave())
			return
		case a := <-arrivals:
			p.perform(p.Core.Receive(p.Clock.Now(), a.from, &a.packet))
		case answer := <-p.asks:
			answer <- p.Core.Members()
		case <-alarm.C:
			now := p.Clock.Now()
			p.perform(p.Core.Tick(now))
			period := reseedPeriod
			if joins < firstJoins || len(p.Core.order) == 0 {
				period = rejoinPeriod
			}
			if len(p.Seeds) > 0 && now-joined >= period {
				p.perform(p.Core.Join(p.Seeds[(first+joins)%len(p.Seeds)]))
				joined, joins = now, joins+1
			}
			alarm.Reset(max(1, p.Core.Next()-now).Duration())
		}
	}
}

func (p *Process) perform(out Output) {
	for i := range out.Send {
		// Names are not resolved, because that would block.
		to, err := netip.ParseAddrPort(out.Send[i].To)
		if err != nil {
			continue
		}
		// A lost datagram and one that cannot be sent are the same to the protocol.
		_, _ = p.socket.WriteToUDPAddrPort(p.sealer.seal(&out.Send[i].Packet), to)
	}
	if p.OnChange != nil {
		for _, u := range out.Changes {
			p.OnChange(u.Member, u.State)
		}
	}
}
