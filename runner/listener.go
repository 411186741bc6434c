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
	closeListener struct{ net.Listener }

	// closeConn cancels the context of its requests when the client closes the connection. While a handler runs, net/http
	// notices this with a read of one byte, but reads no more once the client has sent one: a part of its next request, or
	// a line break behind the body. From then on the socket is polled until net/http reads again.
	closeConn struct {
		*limiter.Conn
		cancelRequests context.CancelFunc

		mu       sync.Mutex
		stopPoll context.CancelFunc // nil while the socket is not polled
	}
)

// Accept implements net.Listener.
func (l closeListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if limited, ok := c.(*limiter.Conn); ok {
		return &closeConn{Conn: limited}, err
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
	c.endPoll()
	n, err := c.Conn.Read(b)
	if len(b) == 1 && n == 1 { // all other reads of net/http have larger buffers
		c.startPoll()
	}
	return n, err
}

// Close implements net.Conn.
func (c *closeConn) Close() error {
	c.endPoll()
	if c.cancelRequests != nil {
		c.cancelRequests()
	}
	return c.Conn.Close()
}

func (c *closeConn) startPoll() {
	ctx, stop := context.WithCancel(context.Background())
	c.mu.Lock()
	c.stopPoll = stop
	c.mu.Unlock()
	go c.poll(ctx)
}

func (c *closeConn) endPoll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopPoll != nil {
		c.stopPoll()
		c.stopPoll = nil
	}
}

// poll checks the socket until it is closed by the client or ctx is canceled.
func (c *closeConn) poll(ctx context.Context) {
	ticker := time.NewTicker(closeCheckInterval)
	defer ticker.Stop()
	for !c.closedByPeer() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	if ctx.Err() == nil && c.cancelRequests != nil {
		c.cancelRequests()
	}
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
