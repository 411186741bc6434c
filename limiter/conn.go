package limiter

import (
	"net"
	"net/http"
)

// Conn is a connection of a client to an HTTP server that is charged to a budget. Its methods may be called concurrently.
type Conn struct {
	*net.TCPConn

	account *Account
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.account.Close()
	return c.TCPConn.Close()
}

// BeginRequest notes that the head of a request is complete. Until the body is, the connection may be evicted.
func (c *Conn) BeginRequest(r *http.Request) {
	if r.ContentLength == 0 {
		c.account.SetPhase(Serving)
	}
}

// EndRequest notes that a request is answered, and that the next bytes are of another one.
func (c *Conn) EndRequest() { c.account.SetPhase(Idle) }
