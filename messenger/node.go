// Package messenger carries messages between crocuslb processes over QUIC. It keeps sessions alive with heartbeats and
// replaces silent ones.
package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	defaultHeartbeat = 250
	defaultSilence   = timer.Second
	// defaultSessions leaves room above the 1,700 sidecars that an entry serves, each with a second session while a
	// silent one is being replaced.
	defaultSessions = 8192
	// minHandshake is the shortest bound on a handshake. A busy machine takes much longer than Silence for one.
	minHandshake = 2 * timer.Second
	// pendingHandshakes is the number of incomplete handshakes above which a client must first prove its address.
	pendingHandshakes = 64

	codeClosed  quic.ApplicationErrorCode = 0
	codeRefused quic.ApplicationErrorCode = 1
	codeInvalid quic.ApplicationErrorCode = 2
	codeSilent  quic.ApplicationErrorCode = 3
)

type (
	// Node is one process's end of all its sessions. Set the fields before Listen or Connect is called. The functions
	// are called from a session's reader goroutine, in order for one session; they must not block for long. Nil
	// functions are allowed. Two processes can have several sessions with each other, for example while a silent one is
	// being replaced, or when one was dialed through a load balancer and another one directly.
	Node struct {
		// Hello makes the message that opens each dialed session.
		Hello func() encoder.Hello
		// Accept decides on an incoming session. An error refuses it, and the dialing end gets its text.
		Accept    func(h *encoder.Hello) (encoder.HelloAck, error)
		OnUp      func(s *Session)
		OnMessage func(s *Session, m encoder.Message)
		// OnDown is called once for each session that OnUp was called for. The cause is never nil.
		OnDown func(s *Session, cause error)
		// OnFail is called for each attempt to open a session that failed, with the address of the other end.
		OnFail func(address string, err error)
		// TLS is the result of Keys. Without it, the Node uses a publicly known secret and only talks to loopback
		// addresses.
		TLS         *tls.Config
		Heartbeat   timer.Millis // period of transport heartbeats; 0 means 250
		Silence     timer.Millis // silence after which a session is replaced; 0 means 1000
		Grace       timer.Millis // time after silence in which late messages are still delivered, after OnDown
		MaxSessions int          // largest number of accepted sessions, including handshakes; 0 means 8192

		running  sync.WaitGroup
		accepted atomic.Int64
		pending  atomic.Int64
		buffers  sync.Pool // of *[]byte, write buffers
	}
)

// Listen accepts sessions on a UDP address until ctx ends. It returns the bound address once it is listening. Without
// TLS, the address must be a loopback address.
func (n *Node) Listen(ctx context.Context, address string) (string, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return "", trace.BadParameter("listen address %q: %v", address, err)
	}
	keys, err := n.keys(at)
	if err != nil {
		return "", err
	}
	socket, err := net.ListenUDP("udp", at)
	if err != nil {
		return "", trace.ConnectionProblem(err, "cannot listen on %q: %v", address, err)
	}
	transport := &quic.Transport{
		Conn:                socket,
		ConnContext:         n.admit,
		VerifySourceAddress: func(net.Addr) bool { return n.pending.Load() > pendingHandshakes },
	}
	listener, err := transport.Listen(keys, n.config(1))
	if err != nil {
		return "", trace.NewAggregate(err, transport.Close(), socket.Close())
	}
	var sessions sync.WaitGroup
	n.running.Go(func() {
		for {
			conn, err := listener.Accept(ctx)
			if err != nil {
				if ctx.Err() == nil {
					n.fail(address, trace.ConnectionProblem(err, "the listener ended: %v", err))
				}
				break
			}
			sessions.Go(func() { n.serve(ctx, conn) })
		}
		// The sessions need the transport until they have sent what is queued.
		sessions.Wait()
		_ = transport.Close()
		_ = socket.Close()
	})
	return socket.LocalAddr().String(), nil
}

// Wait blocks until all goroutines of the Node have ended. The contexts given to Listen and Connect must end first.
func (n *Node) Wait() { n.running.Wait() }

// admit bounds the number of connections that are open or in their handshake.
func (n *Node) admit(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	limit := int64(defaultSessions)
	if n.MaxSessions > 0 {
		limit = int64(n.MaxSessions)
	}
	if n.accepted.Add(1) > limit {
		n.accepted.Add(-1)
		return nil, trace.LimitExceeded("more than %d sessions", limit)
	}
	n.pending.Add(1)
	done := sync.OnceFunc(func() { n.pending.Add(-1) })
	context.AfterFunc(ctx, func() {
		done()
		n.accepted.Add(-1)
	})
	return context.WithValue(ctx, handshakeKey{}, done), nil
}

// handshakeKey is the context key of the function that ends the handshake's share of Node.pending.
type handshakeKey struct{}

// serve runs an accepted connection to its end.
func (n *Node) serve(ctx context.Context, conn *quic.Conn) {
	s, err := n.greet(ctx, conn)
	if done, ok := conn.Context().Value(handshakeKey{}).(func()); ok {
		done()
	}
	if err != nil {
		code := codeInvalid
		if trace.IsAccessDenied(err) {
			code = codeRefused
		}
		_ = conn.CloseWithError(code, phrase(err))
		n.fail(conn.RemoteAddr().String(), err)
		return
	}
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	s.run()
}

// greet reads Hello and answers with HelloAck.
func (n *Node) greet(ctx context.Context, conn *quic.Conn) (*Session, error) {
	ctx, cancel := context.WithTimeout(ctx, n.handshake().Duration())
	defer cancel()
	stream, err := conn.AcceptStream(ctx)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "no stream: %v", err)
	}
	s := newSession(n, conn, stream)
	s.patience = max(1, min(3, n.ticks()-1))
	m, err := s.first(n.handshake())
	if err != nil {
		return nil, err
	}
	h, ok := m.(*encoder.Hello)
	if !ok {
		return nil, trace.BadParameter("first message is %T, want Hello", m)
	}
	s.peer = *h
	if n.Accept != nil {
		if s.ack, err = n.Accept(h); err != nil {
			return nil, trace.AccessDenied("%s", trace.UserMessage(err))
		}
	}
	if !s.Send(&s.ack) {
		return nil, trace.LimitExceeded("HelloAck is too large")
	}
	return s, nil
}

func (n *Node) fail(address string, err error) {
	if n.OnFail != nil {
		n.OnFail(address, err)
	}
}

func (n *Node) config(streams int64) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: n.handshake().Duration(),
		// The heartbeat finds silence first; this bound only covers a session whose heartbeat cannot run.
		MaxIdleTimeout:        (10*n.silence() + n.Grace).Duration(),
		MaxIncomingStreams:    streams,
		MaxIncomingUniStreams: -1,
		// Room for one message of encoder.MaxFrame in flight.
		InitialStreamReceiveWindow:     256 << 10,
		MaxStreamReceiveWindow:         encoder.MaxFrame + encoder.MaxFrame/2,
		InitialConnectionReceiveWindow: 512 << 10,
		MaxConnectionReceiveWindow:     2 * encoder.MaxFrame,
	}
}

func (n *Node) heartbeat() timer.Millis {
	if n.Heartbeat > 0 {
		return n.Heartbeat
	}
	return defaultHeartbeat
}

func (n *Node) silence() timer.Millis {
	if n.Silence > 0 {
		return n.Silence
	}
	return defaultSilence
}

func (n *Node) handshake() timer.Millis { return max(minHandshake, n.silence()) }

// keys returns the TLS configuration for traffic with an address.
func (n *Node) keys(at *net.UDPAddr) (*tls.Config, error) {
	if n.TLS != nil {
		return n.TLS, nil
	}
	if !at.IP.IsLoopback() {
		return nil, trace.BadParameter("address %v is not a loopback address; other addresses require a secret", at)
	}
	return developmentKeys()
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
