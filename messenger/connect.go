package messenger

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	minBackoff = 25 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Connect maintains a session to address until ctx ends. It returns without waiting for the session. After a failure or
// an idle timeout it dials again from a new port. The address may be that of a load balancer; the session is with the
// process that answers.
func (n *Node) Connect(ctx context.Context, address string) {
	n.goroutines.Go(func() {
		backoff := minBackoff
		for ctx.Err() == nil {
			startTime := time.Now()
			err := n.dial(ctx, address)
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				n.reportFailure(address, err)
			}
			if err == nil && time.Since(startTime) > maxBackoff {
				backoff = minBackoff
			}
			sleep(ctx, time.Duration(rand.Int64N(int64(backoff))))
			backoff = min(2*backoff, maxBackoff)
		}
	})
}

// dial opens one session from a new socket and returns after the session has ended. It returns an error if the session
// could not be opened.
func (n *Node) dial(ctx context.Context, address string) error {
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return trace.BadParameter("address %q: %v", address, err)
	}
	tlsConfig, err := n.tlsConfig(udpAddress)
	if err != nil {
		return err
	}
	local := &net.UDPAddr{}
	if udpAddress.IP.IsLoopback() {
		local.IP = udpAddress.IP
	}
	socket, err := net.ListenUDP("udp", local)
	if err != nil {
		return trace.ConnectionProblem(err, "cannot open a socket: %v", err)
	}
	transport := &quic.Transport{Conn: socket}
	release := func() {
		_ = transport.Close()
		_ = socket.Close()
	}
	handshakeCtx, cancel := context.WithTimeout(ctx, n.handshakeTimeout().Duration())
	defer cancel()
	conn, err := transport.Dial(handshakeCtx, udpAddress, tlsConfig, n.quicConfig(-1))
	if err != nil {
		release()
		return trace.ConnectionProblem(err, "cannot connect to %s: %v", address, err)
	}
	s, err := n.openSession(handshakeCtx, conn, address)
	if err != nil {
		_ = conn.CloseWithError(codeInvalid, closeReason(err))
		release()
		return err
	}
	// Session.run may return up to Node.GracePeriod later than this function.
	n.goroutines.Go(func() {
		stop := context.AfterFunc(ctx, s.Close)
		defer stop()
		s.run()
		release()
	})
	<-s.done
	return nil
}

// openSession opens the stream, sends Hello and waits for HelloAck.
func (n *Node) openSession(ctx context.Context, conn *quic.Conn, address string) (*Session, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "cannot open a stream to %s: %v", address, err)
	}
	s := newSession(n, conn, stream)
	hello := encoder.Hello{}
	if n.Hello != nil {
		hello = n.Hello()
	}
	if !s.Send(&hello) {
		return nil, trace.LimitExceeded("Hello exceeds the frame or queue limit")
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetReadDeadline(time.Now()) })
	defer stop()
	m, err := s.readHandshake(n.handshakeTimeout())
	if err != nil {
		return nil, err
	}
	ack, ok := m.(*encoder.HelloAck)
	if !ok {
		return nil, trace.BadParameter("%s answered Hello with %T, want HelloAck", address, m)
	}
	s.ack = *ack
	s.peer = encoder.Hello{Role: encoder.RoleEntry, Member: ack.Member, Address: address}
	return s, nil
}

// maxIdleTicks returns the number of heartbeat intervals in the idle timeout, rounded up.
func (n *Node) maxIdleTicks() int {
	interval := n.heartbeatInterval()
	return int((n.idleTimeout() + interval - 1) / interval)
}

// jitteredHeartbeatInterval returns the heartbeat interval with random jitter of up to 1/16 in both directions, so that
// the sessions of a process do not send heartbeats at the same time.
func (n *Node) jitteredHeartbeatInterval() time.Duration {
	p := int64(n.heartbeatInterval() * timer.Millis(time.Millisecond))
	return time.Duration(p - p/16 + rand.Int64N(p/8+1))
}
