// Package dialer opens connections on which a request fails without being sent if the peer has closed the connection
// meanwhile. Without this check, a request on an idle connection to a process that has ended looks like one that the process
// has received before it ended.
package dialer

import (
	"context"
	"errors"
	"net"
	"syscall"

	"github.com/gravitational/trace"
)

// ErrPeerClosed is returned by a write to a connection that the peer has closed or reset. Nothing was sent by that write.
var ErrPeerClosed = errors.New("the peer has closed the connection")

// conn is a TCP connection that checks for the peer's end before each write.
type conn struct {
	*net.TCPConn
	raw syscall.RawConn
}

// Dial opens a TCP connection. The context bounds its opening.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	opened, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := opened.(*net.TCPConn)
	if !ok {
		return opened, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		_ = tcp.Close() // nothing was sent
		return nil, trace.ConvertSystemError(err)
	}
	return &conn{tcp, raw}, nil
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.closedByPeer() {
		return 0, ErrPeerClosed
	}
	return c.TCPConn.Write(b)
}

// closedByPeer looks at the received bytes without taking them. Errors other than a reset do not show that the peer is gone.
func (c *conn) closedByPeer() (closed bool) {
	var first [1]byte
	err := c.raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET)
	})
	return closed && err == nil
}
