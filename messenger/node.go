// Package messenger maintains message sessions between crocuslb processes over QUIC. It detects unresponsive sessions by
// heartbeats and replaces them.
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
	defaultHeartbeatInterval = 250
	defaultIdleTimeout       = timer.Second
	// defaultMaxSessions exceeds twice the number of sidecars that an entry must serve, 1,700. Each may have a second
	// session while an unresponsive one is being replaced.
	defaultMaxSessions = 8192
	// minHandshakeTimeout is the shortest handshake timeout. On a loaded machine, a handshake takes much longer than the
	// idle timeout.
	minHandshakeTimeout = 2 * timer.Second
	// maxUnverifiedHandshakes is the number of incomplete handshakes above which clients must validate their address by
	// a QUIC Retry.
	maxUnverifiedHandshakes = 64

	codeClosed      quic.ApplicationErrorCode = 0
	codeRefused     quic.ApplicationErrorCode = 1
	codeInvalid     quic.ApplicationErrorCode = 2
	codeIdleTimeout quic.ApplicationErrorCode = 3
)

type (
	// Node is the local endpoint of all sessions of a process. Set the fields before calling Listen or Connect. The
	// callbacks may be nil. They are called from the reader goroutine of a session, in order for each session, and must
	// not block for long. Two processes can have several sessions with each other, for example while an unresponsive one
	// is being replaced, or if one was dialed through a load balancer and another one directly.
	Node struct {
		// Hello returns the first message of each dialed session.
		Hello func() encoder.Hello
		// Accept returns the answer to the Hello of an incoming session. If it returns an error, the session is refused
		// and the text of the error is sent to the dialing end.
		Accept    func(h *encoder.Hello) (encoder.HelloAck, error)
		OnConnect func(s *Session)
		OnMessage func(s *Session, m encoder.Message)
		// OnDisconnect is called exactly once for each session for which OnConnect was called. The cause is never nil.
		OnDisconnect func(s *Session, cause error)
		// OnConnectError is called when a session could not be opened or accepted, with the remote address, and when a listener
		// fails, with its own address.
		OnConnectError func(address string, err error)
		// TLS is a result of NewTLSConfig. If it is nil, the node uses a publicly known secret and accepts loopback addresses
		// only.
		TLS               *tls.Config
		HeartbeatInterval timer.Millis // interval of heartbeats; 0 means 250
		IdleTimeout       timer.Millis // time without received data after which a session ends; 0 means 1000
		GracePeriod       timer.Millis // time after OnDisconnect in which a timed-out session still delivers messages
		MaxSessions       int          // maximum number of accepted sessions, including handshakes; 0 means 8192

		goroutines        sync.WaitGroup
		acceptedConns     atomic.Int64
		pendingHandshakes atomic.Int64
		bufferPool        sync.Pool // of *[]byte; write buffers
	}
)

// Listen accepts sessions on a UDP address until ctx ends. It returns the bound address as soon as it listens. If TLS is
// nil, the address must be a loopback address.
func (n *Node) Listen(ctx context.Context, address string) (string, error) {
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return "", trace.BadParameter("listen address %q: %v", address, err)
	}
	tlsConfig, err := n.tlsConfig(udpAddress)
	if err != nil {
		return "", err
	}
	socket, err := net.ListenUDP("udp", udpAddress)
	if err != nil {
		return "", trace.ConnectionProblem(err, "cannot listen on %q: %v", address, err)
	}
	transport := &quic.Transport{
		Conn:                socket,
		ConnContext:         n.admitConn,
		VerifySourceAddress: func(net.Addr) bool { return n.pendingHandshakes.Load() > maxUnverifiedHandshakes },
	}
	listener, err := transport.Listen(tlsConfig, n.quicConfig(1))
	if err != nil {
		return "", trace.NewAggregate(err, transport.Close(), socket.Close())
	}
	var sessions sync.WaitGroup
	n.goroutines.Go(func() {
		for {
			conn, err := listener.Accept(ctx)
			if err != nil {
				if ctx.Err() == nil {
					n.reportFailure(address, trace.ConnectionProblem(err, "cannot accept connections: %v", err))
				}
				break
			}
			sessions.Go(func() { n.serve(ctx, conn) })
		}
		// The sessions need the transport until they have flushed their queues.
		sessions.Wait()
		_ = transport.Close()
		_ = socket.Close()
	})
	return socket.LocalAddr().String(), nil
}

// Wait blocks until all goroutines of the Node have ended. They end after the contexts given to Listen and Connect.
func (n *Node) Wait() { n.goroutines.Wait() }

// admitConn limits the number of connections that are open or in their handshake.
func (n *Node) admitConn(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	limit := int64(defaultMaxSessions)
	if n.MaxSessions > 0 {
		limit = int64(n.MaxSessions)
	}
	if n.acceptedConns.Add(1) > limit {
		n.acceptedConns.Add(-1)
		return nil, trace.LimitExceeded("more than %d sessions", limit)
	}
	n.pendingHandshakes.Add(1)
	done := sync.OnceFunc(func() { n.pendingHandshakes.Add(-1) })
	context.AfterFunc(ctx, func() {
		done()
		n.acceptedConns.Add(-1)
	})
	return context.WithValue(ctx, handshakeDoneKey{}, done), nil
}

// handshakeDoneKey is the context key of the function that removes a connection from Node.pendingHandshakes.
type handshakeDoneKey struct{}

// serve runs an accepted connection until it is closed.
func (n *Node) serve(ctx context.Context, conn *quic.Conn) {
	s, err := n.acceptSession(ctx, conn)
	if done, ok := conn.Context().Value(handshakeDoneKey{}).(func()); ok {
		done()
	}
	if err != nil {
		code := codeInvalid
		if trace.IsAccessDenied(err) {
			code = codeRefused
		}
		_ = conn.CloseWithError(code, closeReason(err))
		n.reportFailure(conn.RemoteAddr().String(), err)
		return
	}
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	s.run()
}

// acceptSession accepts the stream, reads Hello and answers with HelloAck.
func (n *Node) acceptSession(ctx context.Context, conn *quic.Conn) (*Session, error) {
	ctx, cancel := context.WithTimeout(ctx, n.handshakeTimeout().Duration())
	defer cancel()
	stream, err := conn.AcceptStream(ctx)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "cannot accept the stream: %v", err)
	}
	s := newSession(n, conn, stream)
	s.heartbeatTicks = max(1, min(3, n.maxIdleTicks()-1))
	m, err := s.readHandshake(n.handshakeTimeout())
	if err != nil {
		return nil, err
	}
	hello, ok := m.(*encoder.Hello)
	if !ok {
		return nil, trace.BadParameter("first message is %T, want Hello", m)
	}
	s.peer = *hello
	if n.Accept != nil {
		if s.ack, err = n.Accept(hello); err != nil {
			return nil, trace.AccessDenied("%s", trace.UserMessage(err))
		}
	}
	if !s.Send(&s.ack) {
		return nil, trace.LimitExceeded("HelloAck exceeds the frame or queue limit")
	}
	return s, nil
}

func (n *Node) reportFailure(address string, err error) {
	if n.OnConnectError != nil {
		n.OnConnectError(address, err)
	}
}

func (n *Node) quicConfig(streams int64) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: n.handshakeTimeout().Duration(),
		// The heartbeats detect an unresponsive peer earlier; this timeout only covers sessions whose heartbeat timer
		// does not run.
		MaxIdleTimeout:        (10*n.idleTimeout() + n.GracePeriod).Duration(),
		MaxIncomingStreams:    streams,
		MaxIncomingUniStreams: -1,
		// One message of encoder.MaxFrameSize bytes can be in flight.
		InitialStreamReceiveWindow:     256 << 10,
		MaxStreamReceiveWindow:         encoder.MaxFrameSize + encoder.MaxFrameSize/2,
		InitialConnectionReceiveWindow: 512 << 10,
		MaxConnectionReceiveWindow:     2 * encoder.MaxFrameSize,
	}
}

func (n *Node) heartbeatInterval() timer.Millis {
	if n.HeartbeatInterval > 0 {
		return n.HeartbeatInterval
	}
	return defaultHeartbeatInterval
}

func (n *Node) idleTimeout() timer.Millis {
	if n.IdleTimeout > 0 {
		return n.IdleTimeout
	}
	return defaultIdleTimeout
}

func (n *Node) handshakeTimeout() timer.Millis { return max(minHandshakeTimeout, n.idleTimeout()) }

// tlsConfig returns the TLS configuration for sessions with an address.
func (n *Node) tlsConfig(address *net.UDPAddr) (*tls.Config, error) {
	if n.TLS != nil {
		return n.TLS, nil
	}
	if !address.IP.IsLoopback() {
		return nil, trace.BadParameter("address %v is not a loopback address; other addresses require a secret", address)
	}
	return developmentTLSConfig()
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
