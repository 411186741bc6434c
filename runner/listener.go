package runner

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/crocuslb/crocuslb/limiter"
)

// closeCheckInterval is the interval at which a connection that net/http does not read is checked for its end.
const closeCheckInterval = 50 * time.Millisecond

type (
	// closeListener accepts connections whose end is noticed also while net/http does not read them.
	closeListener struct {
		net.Listener
		watcher closeWatcher
	}

	// closeConn cancels the context of its requests when the client closes the connection. While a handler runs, net/http
	// notices this with a read of one byte, but reads no more once the client has sent one: a part of its next request, or
	// a line break behind the body. From then on the socket is watched until net/http reads again.
	closeConn struct {
		*limiter.Conn
		watcher        *closeWatcher
		cancelRequests context.CancelFunc
	}

	// closeWatcher polls the sockets that net/http does not read. One goroutine polls all of them, because each may be opened by a
	// client on purpose. The zero value is ready to use.
	closeWatcher struct {
		mu      sync.Mutex
		conns   map[*closeConn]struct{}
		running bool
	}
)

// Accept implements net.Listener.
func (l *closeListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if limited, ok := c.(*limiter.Conn); ok {
		return &closeConn{Conn: limited, watcher: &l.watcher}, err
	}
	return c, err
}

// limitedConn returns the connection below a closeConn, or nil.
func limitedConn(c net.Conn) *limiter.Conn {
	if c, ok := c.(*closeConn); ok {
		return c.Conn
	}
	return nil
}

// connContext is an http.Server's ConnContext.
func connContext(ctx context.Context, c net.Conn) context.Context {
	if c, ok := c.(*closeConn); ok {
		ctx, c.cancelRequests = context.WithCancel(ctx)
	}
	return ctx
}

// Read implements net.Conn.
func (c *closeConn) Read(b []byte) (int, error) {
	c.watcher.remove(c)
	n, err := c.Conn.Read(b)
	if len(b) == 1 && n == 1 { // all other reads of net/http have larger buffers
		c.watcher.add(c)
	}
	return n, err
}

// Close implements net.Conn.
func (c *closeConn) Close() error {
	c.watcher.remove(c)
	if c.cancelRequests != nil {
		c.cancelRequests()
	}
	return c.Conn.Close()
}

// add starts to watch a connection.
func (w *closeWatcher) add(c *closeConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conns == nil {
		w.conns = map[*closeConn]struct{}{}
	}
	w.conns[c] = struct{}{}
	if !w.running {
		w.running = true
		go w.run()
	}
}

func (w *closeWatcher) remove(c *closeConn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
}

// run polls the connections until there are none left.
func (w *closeWatcher) run() {
	ticker := time.NewTicker(closeCheckInterval)
	defer ticker.Stop()
	for ; w.poll(); <-ticker.C {
		continue
	}
}

// poll cancels the requests of the connections that their clients have closed, and reports whether some are left.
func (w *closeWatcher) poll() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		if !c.closedByPeer() {
			continue
		}
		delete(w.conns, c)
		if c.cancelRequests != nil {
			c.cancelRequests()
		}
	}
	w.running = len(w.conns) > 0
	return w.running
}

// closedByPeer reports whether the peer has closed or reset the connection, also behind bytes that were not read.
func (c *closeConn) closedByPeer() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	sockets := []unix.PollFd{{Events: unix.POLLRDHUP}}
	err = raw.Control(func(fd uintptr) {
		sockets[0].Fd = int32(fd)
		_, _ = unix.Poll(sockets, 0) // after a failure no event is set
	})
	return err != nil || sockets[0].Revents != 0
}
