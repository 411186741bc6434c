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
	MinSecretLen = 32
	// developmentSecret protects nothing. It is used on loopback only.
	developmentSecret = "insecure development secret of crocuslb"
	// maxWaiting bounds the datagrams that were received and not yet handled; later ones are dropped.
	receiveQueueLen = 256
	// rejoinPeriod is the time between two attempts to join at first, and while no member is known.
	joinRetryInterval = timer.Second
	// firstJoins is the number of attempts at first. Processes that start together join seeds that know nobody yet; with
	// one attempt they found each other only after reseedPeriod.
	initialJoins = 10
	// reseedPeriod is the time between two attempts to join otherwise. They unite groups that do not know each other
	// because their members started while they were separated.
	rejoinInterval = timer.Minute
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

		authenticator  authenticator
		socket         *net.UDPConn
		rejected       atomic.Uint64
		memberRequests chan chan<- []Update
		done           chan struct{} // closed when no ask is answered any more
		goroutines     sync.WaitGroup
	}

	receivedPacket struct {
		from   string
		packet Packet
	}
)

// Start begins to watch on a UDP address, until ctx ends; it then tells others that this process leaves. It returns the
// bound address, which becomes the address of Core.Self when that is empty.
func (p *Process) Start(ctx context.Context, address string) (string, error) {
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return "", trace.BadParameter("watcher address %q: %v", address, err)
	}
	secret := p.Secret
	switch {
	case secret == "" && !udpAddress.IP.IsLoopback():
		return "", trace.BadParameter("address %v is not a loopback address; other addresses require a secret", udpAddress)
	case secret == "":
		secret = developmentSecret
	case len(secret) < MinSecretLen:
		return "", trace.BadParameter("the secret has %d bytes, at least %d are required", len(secret), MinSecretLen)
	}
	if p.authenticator, err = newAuthenticator(secret); err != nil {
		return "", trace.Wrap(err, "cannot derive the key")
	}
	if p.socket, err = net.ListenUDP("udp", udpAddress); err != nil {
		return "", trace.ConnectionProblem(err, "cannot listen on %q: %v", address, err)
	}
	bound := p.socket.LocalAddr().String()
	if p.Core.Self.Address == "" {
		p.Core.Self.Address = bound
	}
	if s := &p.Core.Self; s.ID == "" || len(s.ID) > MaxNameLen || len(s.Address) > MaxNameLen {
		_ = p.socket.Close()
		return "", trace.BadParameter("identifier %q and address %q need 1 to %d bytes", s.ID, s.Address, MaxNameLen)
	}
	received := make(chan receivedPacket, receiveQueueLen)
	p.memberRequests, p.done = make(chan chan<- []Update), make(chan struct{})
	p.goroutines.Go(func() { p.receiveLoop(received) })
	p.goroutines.Go(func() { p.eventLoop(ctx, received) })
	return bound, nil
}

// Wait blocks until the process has ended after its context.
func (p *Process) Wait() { p.goroutines.Wait() }

// Members returns the records of all other members, in no order, and nothing after the end. Start must have succeeded.
// It must not be called from OnChange, because the goroutine that answers is the one that calls OnChange.
func (p *Process) Members() []Update {
	response := make(chan []Update, 1)
	select {
	case p.memberRequests <- response:
		return <-response
	case <-p.done:
		return nil
	}
}

// Refused returns the number of datagrams that were malformed, had a wrong seal, or came too fast.
func (p *Process) Refused() uint64 { return p.rejected.Load() }

// read decodes datagrams until the socket is closed.
func (p *Process) receiveLoop(received chan<- receivedPacket) {
	buffer := make([]byte, MaxDatagram+1)
	for {
		n, from, err := p.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		packet, err := p.authenticator.openDatagram(buffer[:n])
		if err != nil {
			p.rejected.Add(1)
			continue
		}
		select {
		case received <- receivedPacket{from.String(), packet}:
		default:
			p.rejected.Add(1)
		}
	}
}

// run owns the core.
func (p *Process) eventLoop(ctx context.Context, received <-chan receivedPacket) {
	defer close(p.done)
	defer p.socket.Close() //nolint:errcheck // nothing is left to do with the socket
	tickTimer := time.NewTimer(0)
	defer tickTimer.Stop()
	lastJoin, joinCount, firstSeed := p.Clock.Now()-rejoinInterval, 0, rand.IntN(max(len(p.Seeds), 1))
	for {
		select {
		case <-ctx.Done():
			p.handleOutput(p.Core.Leave())
			return
		case r := <-received:
			p.handleOutput(p.Core.Receive(p.Clock.Now(), r.from, &r.packet))
		case response := <-p.memberRequests:
			response <- p.Core.Members()
		case <-tickTimer.C:
			now := p.Clock.Now()
			p.handleOutput(p.Core.Tick(now))
			interval := rejoinInterval
			if joinCount < initialJoins || len(p.Core.probeOrder) == 0 {
				interval = joinRetryInterval
			}
			if len(p.Seeds) > 0 && now-lastJoin >= interval {
				p.handleOutput(p.Core.Join(p.Seeds[(firstSeed+joinCount)%len(p.Seeds)]))
				lastJoin, joinCount = now, joinCount+1
			}
			tickTimer.Reset(max(1, p.Core.Next()-now).Duration())
		}
	}
}

func (p *Process) handleOutput(out Output) {
	for i := range out.Send {
		// Names are not resolved, because that would block.
		to, err := netip.ParseAddrPort(out.Send[i].To)
		if err != nil {
			continue
		}
		// A lost datagram and one that cannot be sent are the same to the protocol.
		_, _ = p.socket.WriteToUDPAddrPort(p.authenticator.sealPacket(&out.Send[i].Packet), to)
	}
	if p.OnChange != nil {
		for _, u := range out.Changes {
			p.OnChange(u.Member, u.State)
		}
	}
}
