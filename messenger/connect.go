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

// Connect keeps a session to address open until ctx ends: it dials, and dials again from a new port after a failure or
// silence. It returns at once. The address may be one of a load balancer; the session is with the process that answers.
func (n *Node) Connect(ctx context.Context, address string) {
	n.running.Go(func() {
		backoff := minBackoff
		for ctx.Err() == nil {
			began := time.Now()
			err := n.dial(ctx, address)
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				n.fail(address, err)
			}
			if err == nil && time.Since(began) > maxBackoff {
				backoff = minBackoff
			}
			sleep(ctx, time.Duration(rand.Int64N(int64(backoff))))
			backoff = min(2*backoff, maxBackoff)
		}
	})
}

// dial opens one session from a new socket and returns when it is down. The error is not nil when no session came up.
func (n *Node) dial(ctx context.Context, address string) error {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return trace.BadParameter("address %q: %v", address, err)
	}
	keys, err := n.keys(at)
	if err != nil {
		return err
	}
	local := &net.UDPAddr{}
	if at.IP.IsLoopback() {
		local.IP = at.IP
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
	early, cancel := context.WithTimeout(ctx, n.handshake().Duration())
	defer cancel()
	conn, err := transport.Dial(early, at, keys, n.config(-1))
	if err != nil {
		release()
		return trace.ConnectionProblem(err, "cannot connect to %s: %v", address, err)
	}
	s, err := n.introduce(early, conn, address)
	if err != nil {
		_ = conn.CloseWithError(codeInvalid, phrase(err))
		release()
		return err
	}
	// The reader may outlive this call by Node.Grace.
	n.running.Go(func() {
		stop := context.AfterFunc(ctx, s.Close)
		defer stop()
		s.run()
		release()
	})
	<-s.down
	return nil
}

// introduce sends Hello and waits for HelloAck.
func (n *Node) introduce(ctx context.Context, conn *quic.Conn, address string) (*Session, error) {
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
		return nil, trace.LimitExceeded("Hello is too large")
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetReadDeadline(time.Now()) })
	defer stop()
	m, err := s.first(n.handshake())
	if err != nil {
		return nil, err
	}
	ack, ok := m.(*encoder.HelloAck)
	if !ok {
		return nil, trace.BadParameter("%s answered with %T, want HelloAck", address, m)
	}
	s.ack = *ack
	s.peer = encoder.Hello{Role: encoder.RoleEntry, Member: ack.Member, Address: address}
	return s, nil
}

// ticks returns the number of heartbeat periods in Silence, rounded up.
func (n *Node) ticks() int {
	period := n.heartbeat()
	return int((n.silence() + period - 1) / period)
}

// period returns the heartbeat period with jitter, so that the sessions of a process do not beat at the same time.
func (n *Node) period() time.Duration {
	p := int64(n.heartbeat() * timer.Millis(time.Millisecond))
	return time.Duration(p - p/16 + rand.Int64N(p/8+1))
}
