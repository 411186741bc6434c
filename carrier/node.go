package carrier

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/catcher"
	"github.com/crocuslb/crocuslb/marshaler"
)

const (
	// dialTimeout bounds the opening of a connection. Addresses without power do not answer; the kernels of others do
	// within a round trip, also when their processes are slow.
	dialTimeout = 150 * time.Millisecond
	// helloTimeout bounds the wait for the other end's opening message.
	helloTimeout = time.Second
	// firstRetry and lastRetry bound the pause between attempts to connect; the pause doubles.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

type (
	// Node is one process's end of all its sessions. Set the fields before Listen or Connect is called. The functions
	// are called from a session's reader goroutine, in order for one session.
	Node struct {
		Hello     func() marshaler.Hello
		OnUp      func(s *Session)
		OnMessage func(s *Session, batch []marshaler.Message)
		OnDown    func(s *Session, cause error)
		// OnFail is called when a connection could not be opened. It may be nil.
		OnFail func(address string, err error)
		// OnPanic is called when a message, or one of the functions above, panicked. That ends its session only. It may be
		// nil.
		OnPanic func(s *Session, err error)

		// Traffic counts what the sessions send.
		Traffic Traffic

		goroutines  sync.WaitGroup
		lastSession atomic.Uint64
	}
)

// Listen accepts sessions on a TCP address until ctx ends, and returns the bound address.
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
			n.goroutines.Go(func() { _ = n.serve(ctx, newSession(conn, false, &n.Traffic)) }) // OnDown reports the cause
		}
	})
	return listener.Addr().String(), nil
}

// Connect keeps a session to an address open until ctx ends.
func (n *Node) Connect(ctx context.Context, address string) {
	n.goroutines.Go(func() {
		pause := minRetryDelay
		dialer := net.Dialer{Timeout: dialTimeout}
		for ctx.Err() == nil {
			conn, err := dialer.DialContext(ctx, "tcp", address)
			if err == nil && n.serve(ctx, newSession(conn, true, &n.Traffic)) {
				pause = minRetryDelay
			}
			if err != nil {
				n.connectFailed(address, err)
			}
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
			pause = min(2*pause, maxRetryDelay)
		}
	})
}

// Wait blocks until all goroutines of the Node have ended. The contexts given to Listen and Connect must end first.
func (n *Node) Wait() { n.goroutines.Wait() }

func (n *Node) connectFailed(address string, err error) {
	if n.OnFail != nil {
		n.OnFail(address, err)
	}
}

// serve runs a connection to its end and reports whether the session was opened.
func (n *Node) serve(ctx context.Context, s *Session) bool {
	defer context.AfterFunc(ctx, func() { s.Close(ctx.Err()) })()
	hello := n.Hello()
	hello.Session = n.lastSession.Add(1)
	s.Send(&hello)
	n.goroutines.Go(s.write)
	r := bufio.NewReaderSize(s.conn, readBufferSize)
	var err error
	n.recoverPanic(s, func() { err = s.readHello(r) })
	if err == nil && s.Remote.Name == "" {
		return false // the opening message panicked
	}
	if err != nil {
		s.Close(err)
		n.connectFailed(s.conn.RemoteAddr().String(), err)
		return false
	}
	n.recoverPanic(s, func() {
		n.OnUp(s)
		err = s.read(r, func(batch []marshaler.Message) { n.OnMessage(s, batch) })
	})
	s.Close(err)
	n.recoverPanic(s, func() { n.OnDown(s, s.cause) })
	return true
}

// catch calls f, and ends the session when it panics.
func (n *Node) recoverPanic(s *Session, f func()) {
	err := catcher.Catch(f)
	if err == nil {
		return
	}
	s.Close(err)
	if n.OnPanic != nil {
		n.OnPanic(s, err)
	}
}

// greet reads the other end's opening message.
func (s *Session) readHello(r *bufio.Reader) error {
	_ = s.conn.SetReadDeadline(time.Now().Add(helloTimeout)) // a failure shows in the read
	m, err := readMessage(r)
	if err != nil {
		return err
	}
	h, ok := m.(*marshaler.Hello)
	if !ok || h.Name == "" {
		return trace.BadParameter("the session opens with %T, want Hello with a name", m)
	}
	s.Remote = *h
	return s.conn.SetReadDeadline(time.Time{})
}
