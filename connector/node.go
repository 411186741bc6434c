package connector

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/recoverer"
)

const (
	// dialTimeout bounds the TCP handshake. A host that is down does not answer; the kernel of a running host answers within
	// one round trip, even if its processes are slow.
	dialTimeout = 150 * time.Millisecond
	// helloTimeout bounds the wait for the peer's Hello.
	helloTimeout = time.Second
	// minRetryDelay and maxRetryDelay bound the exponential backoff between connection attempts.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

type (
	// Node manages all sessions of a process. The fields must be set before Listen or Connect is called. The functions are
	// called from a session's reader goroutine, and sequentially for one session.
	Node struct {
		// Hello returns the opening message of a new session. Its Session field is set by the Node.
		Hello        func() marshaler.Hello
		OnConnect    func(s *Session)
		OnMessage    func(s *Session, batch []marshaler.Message)
		OnDisconnect func(s *Session, cause error)
		// OnConnectError is called when a connection could not be accepted or opened, or its peer sent no valid Hello. It may be
		// called from several goroutines, and may be nil.
		OnConnectError func(address string, err error)
		// OnPanic is called when the decoding of a message, or the handling of a message or of a session's start or end,
		// panicked. Only the session in question is closed. It may be nil.
		OnPanic func(s *Session, err error)

		// Admit is called with each accepted connection, and reports whether there is room for it. known is called once the peer has
		// sent its Hello or the connection has ended. It may be nil.
		Admit func(conn net.Conn) (known func(), ok bool)

		// Traffic counts the messages that the sessions send.
		Traffic Traffic

		goroutines  sync.WaitGroup
		lastSession atomic.Uint64
	}
)

// Listen accepts sessions on a TCP address until ctx is done, and returns the bound address.
func (n *Node) Listen(ctx context.Context, address string) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return "", trace.ConnectionProblem(err, "cannot listen on %q: %v", address, err)
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() }) // Accept returns whether or not the close succeeds
	n.goroutines.Go(func() {
		for {
			conn, err := listener.Accept()
			if ctx.Err() != nil {
				return
			}
			if err != nil {
				n.connectFailed(address, err)
				time.Sleep(minRetryDelay)
				continue
			}
			n.accept(ctx, conn)
		}
	})
	return listener.Addr().String(), nil
}

// accept admits an accepted connection and serves it. It waits for the admission, so that no further connection is accepted
// before.
func (n *Node) accept(ctx context.Context, conn net.Conn) {
	s := newSession(conn, false, &n.Traffic)
	if n.Admit != nil {
		known, ok := n.Admit(conn)
		if !ok {
			_ = conn.Close() // nothing was sent
			return
		}
		s.known = known
	}
	n.goroutines.Go(func() { _ = n.serve(ctx, s) }) // OnDisconnect reports the cause
}

// Connect maintains a session to an address until ctx is done, and reconnects whenever it ends.
func (n *Node) Connect(ctx context.Context, address string) {
	n.goroutines.Go(func() {
		delay := minRetryDelay
		dialer := net.Dialer{Timeout: dialTimeout}
		for ctx.Err() == nil {
			conn, err := dialer.DialContext(ctx, "tcp", address)
			if err == nil && n.serve(ctx, newSession(conn, true, &n.Traffic)) {
				delay = minRetryDelay
			}
			if err != nil {
				n.connectFailed(address, err)
			}
			select {
			case <-ctx.Done():
			case <-time.After(delay):
			}
			delay = min(2*delay, maxRetryDelay)
		}
	})
}

// Wait blocks until all goroutines of the Node have returned. The contexts given to Listen and Connect must be done first.
func (n *Node) Wait() { n.goroutines.Wait() }

func (n *Node) connectFailed(address string, err error) {
	if n.OnConnectError != nil {
		n.OnConnectError(address, err)
	}
}

// serve handles a connection until it is closed, and reports whether the session was established.
func (n *Node) serve(ctx context.Context, s *Session) bool {
	defer context.AfterFunc(ctx, func() { s.Close(ctx.Err()) })()
	n.goroutines.Go(s.write)
	r := bufio.NewReaderSize(s.conn, readBufferSize)
	var err error
	n.recoverPanic(s, func() {
		hello := n.Hello()
		hello.Session = n.lastSession.Add(1)
		s.Send(&hello)
		err = s.readHello(r)
	})
	if s.known != nil {
		s.known()
	}
	if err == nil && s.Remote.Name == "" {
		return false // making or decoding a Hello panicked
	}
	if err != nil {
		s.Close(err)
		n.connectFailed(s.conn.RemoteAddr().String(), err)
		return false
	}
	n.recoverPanic(s, func() {
		n.OnConnect(s)
		err = s.read(r, func(batch []marshaler.Message) { n.OnMessage(s, batch) })
	})
	s.Close(err)
	n.recoverPanic(s, func() { n.OnDisconnect(s, s.cause) })
	return true
}

// recoverPanic calls f, and closes the session if it panics.
func (n *Node) recoverPanic(s *Session, f func()) {
	err := recoverer.Call(f)
	if err == nil {
		return
	}
	s.Close(err)
	if n.OnPanic != nil {
		n.OnPanic(s, err)
	}
}

// readHello reads the peer's Hello.
func (s *Session) readHello(r *bufio.Reader) error {
	_ = s.conn.SetReadDeadline(time.Now().Add(helloTimeout)) // a failure surfaces in the read
	m, err := readMessage(r, maxHelloSize)
	if err != nil {
		return err
	}
	h, ok := m.(*marshaler.Hello)
	if !ok || h.Name == "" {
		return trace.BadParameter("first message of the session is %T, want Hello with a name", m)
	}
	s.Remote = *h
	return s.conn.SetReadDeadline(time.Time{})
}
