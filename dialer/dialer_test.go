package dialer

import (
	"errors"
	"net"
	"testing"
	"time"
)

// TestWriteAfterClose guards against a request that is sent on a connection that the peer has closed or reset, so that it seems
// to have reached the peer.
func TestWriteAfterClose(t *testing.T) {
	cases := []struct {
		name string
		end  func(c *net.TCPConn)
		want error
	}{
		{"open", func(*net.TCPConn) {}, nil},
		{"unread bytes", func(c *net.TCPConn) { _, _ = c.Write([]byte("x")) }, nil},
		{"closed", func(c *net.TCPConn) { _ = c.Close() }, ErrPeerClosed},
		{"reset", func(c *net.TCPConn) {
			_ = c.SetLinger(0)
			_ = c.Close()
		}, ErrPeerClosed},
	}
	for _, c := range cases {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		accepted := make(chan net.Conn, 1)
		go func() {
			peer, err := listener.Accept()
			if err == nil {
				accepted <- peer
			}
		}()
		conn, err := Dial(t.Context(), listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		peer := <-accepted
		c.end(peer.(*net.TCPConn))
		time.Sleep(50 * time.Millisecond) // until the end has arrived
		if _, err := conn.Write([]byte("request")); !errors.Is(err, c.want) {
			t.Errorf("%s: got error %v, want %v", c.name, err, c.want)
		}
		_ = conn.Close()
		_ = peer.Close()
		_ = listener.Close()
	}
}
