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
	// MinSecretLen is the minimum length of the secret in bytes.
	MinSecretLen = 32
	// developmentSecret gives no protection, because it is public. It is used on loopback only.
	developmentSecret = "insecure development secret of crocuslb"
	// receiveQueueLen bounds the packets that were received and not yet handled; further ones are dropped.
	receiveQueueLen = 256
	// joinRetryInterval is the time between the first attempts to join, and between all while no member is known.
	joinRetryInterval = timer.Second
	// initialJoins is the number of attempts at joinRetryInterval after the start. Processes that start together join
	// seeds that know no members yet; with a single attempt they found each other only after rejoinInterval.
	initialJoins = 10
	// rejoinInterval is the time between two later attempts to join. They merge groups that do not know each other
	// because their members started during a network partition.
	rejoinInterval = timer.Minute
)

type (
	// Process runs a Core on a UDP socket. Set the exported fields before Start is called.
	Process struct {
		Core   Core
		Clock  timer.Clock
		Secret string // at least MinSecretLen bytes; if empty, only loopback addresses are allowed
		// Seeds are the addresses of processes to join.
		Seeds []string
		// OnChange is called from the goroutine of the process when a member appears or changes its state or version.
		// It must not block for long.
		OnChange func(m Member, s State)

		authenticator  authenticator
		socket         *net.UDPConn
		rejected       atomic.Uint64
		memberRequests chan chan<- []Update
		done           chan struct{} // closed when memberRequests is no longer served
		goroutines     sync.WaitGroup
	}

	receivedPacket struct {
		from   string
		packet Packet
	}
)

// Start runs the protocol on a UDP address in the background until ctx ends; the process then announces that it leaves.
// Start returns the bound address, which becomes the address of Core.Self if that is empty.
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
		return "", trace.Wrap(err, "cannot derive the MAC key from the secret")
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

// Wait blocks until the goroutines of the process have ended. They end after the context of Start.
func (p *Process) Wait() { p.goroutines.Wait() }

// Members returns all other members in no particular order, or nil after the process has ended. Start must have succeeded.
// A call from OnChange deadlocks, because the goroutine that runs OnChange also serves Members.
func (p *Process) Members() []Update {
	response := make(chan []Update, 1)
	select {
	case p.memberRequests <- response:
		return <-response
	case <-p.done:
		return nil
	}
}

// DroppedDatagrams returns the number of datagrams that were dropped because they were malformed, had an invalid MAC, or found the
// receive queue full.
func (p *Process) DroppedDatagrams() uint64 { return p.rejected.Load() }

// receiveLoop verifies and queues datagrams until the socket is closed.
func (p *Process) receiveLoop(received chan<- receivedPacket) {
	buffer := make([]byte, MaxDatagramLen+1)
	for {
		n, from, err := p.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		packet, err := p.authenticator.verifyDatagram(buffer[:n])
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

// eventLoop makes all calls of the core, which is not safe for concurrent use.
func (p *Process) eventLoop(ctx context.Context, received <-chan receivedPacket) {
	defer close(p.done)
	defer p.socket.Close() //nolint:errcheck // the socket is not used any more
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
			tickTimer.Reset(max(1, p.Core.NextTick()-now).Duration())
		}
	}
}

// handleOutput sends the datagrams and reports the changes of a call of the core.
func (p *Process) handleOutput(out Output) {
	for i := range out.Send {
		// Host names are not supported, because their resolution would block.
		to, err := netip.ParseAddrPort(out.Send[i].To)
		if err != nil {
			continue
		}
		// The protocol handles a failed send like a lost datagram.
		_, _ = p.socket.WriteToUDPAddrPort(p.authenticator.signPacket(&out.Send[i].Packet), to)
	}
	if p.OnChange != nil {
		for _, u := range out.Changes {
			p.OnChange(u.Member, u.State)
		}
	}
}
