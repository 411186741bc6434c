package limiter

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/crocuslb/crocuslb/timer"
)

// ErrNoRoom is returned for a request for which there is no memory now. Nothing of it has been done.
var ErrNoRoom = errors.New("the memory for clients is used up")

const (
	// headLineBytes is what net/http holds of a header line besides its bytes: a map entry, a list and a string.
	headLineBytes = 128
	// headByteCopies is the number of copies of a head's bytes that net/http makes.
	headByteCopies = 2
	// readBufferSize is the size of net/http's read buffer. It may hold as many bytes of the body when a head is complete.
	readBufferSize = 4 << 10
	// DefaultAnswerTimeout is how long a response may wait for its client to take it.
	DefaultAnswerTimeout = 10 * timer.Second
	// DefaultHeadBytes is the maximum size of a request's head unless Listener.HeadBytes returns another one, and maxHeadBytes
	// the largest that it can return.
	DefaultHeadBytes = 64 << 10
	maxHeadBytes     = 1 << 20

	headTooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// Conn is a connection of a client to an HTTP server. It charges what net/http holds for it to a budget. Its methods may be
// called concurrently.
type Conn struct {
	*net.TCPConn

	account *Account
	port    *Listener

	mu        sync.Mutex
	inRequest bool  // the head of the current request is complete
	headBytes int64 // charged of the current head
	// received is what the latest read returned. A part of it may belong to the next request, because net/http reads ahead.
	received headPart
}

// headPart is a part of a head.
type headPart struct{ bytes, lines int64 }

// memory returns what net/http holds for the part.
func (p headPart) memory() int64 { return p.lines*headLineBytes + p.bytes*headByteCopies }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if err := c.chargeAhead(); err != nil {
		return 0, err
	}
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		if refused := c.chargeHead(b[:n], len(b)); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// chargeAhead charges what was read with the previous request to the next head.
func (c *Conn) chargeAhead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inRequest || c.headBytes > 0 || c.received.bytes == 0 {
		return nil
	}
	return c.charge(c.received)
}

// chargeHead charges bytes that may be of a request's head. The end of the head is not looked for, so they may include up to a
// read buffer of the body. asked is the number of bytes that net/http has asked for. It reads a body past its read buffer when
// it asks for more than that, and then does not read ahead.
func (c *Conn) chargeHead(b []byte, asked int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	part := headPart{int64(len(b)), int64(bytes.Count(b, []byte{'\n'}))}
	switch {
	case asked > readBufferSize:
		c.received = headPart{}
	case len(b) == 1: // net/http reads a byte to notice the end of the connection
		c.received = headPart{c.received.bytes + part.bytes, c.received.lines + part.lines}
	default:
		c.received = part
	}
	if c.inRequest {
		return nil
	}
	c.account.SetPhase(Receiving)
	return c.charge(part)
}

// charge charges a part of the current head. The caller must hold c.mu.
func (c *Conn) charge(p headPart) error {
	c.headBytes += p.bytes
	if c.headBytes > c.port.maxHead()+2*readBufferSize { // what was read ahead, and a part of the body
		c.port.report(Event{Limit: LimitHead, Action: ActionRefuse})
		_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout)) // a failure surfaces in the write
		_, _ = io.WriteString(c.TCPConn, headTooLargeResponse) // the connection is closed whether or not the client gets it
		return net.ErrClosed
	}
	if !c.account.Reserve(p.memory()) {
		if !c.account.Evicted() { // otherwise the eviction was reported
			c.port.report(Event{Limit: LimitMemory, Action: ActionClose})
		}
		return ErrNoRoom
	}
	return nil
}

// Write implements net.Conn. A client that does not take its response loses the connection.
func (c *Conn) Write(b []byte) (int, error) {
	if c.account.SetPhaseFrom(Serving, Sending) {
		defer c.account.SetPhaseFrom(Sending, Serving)
	}
	timeout := c.port.AnswerTimeout
	if timeout == 0 {
		timeout = DefaultAnswerTimeout
	}
	_ = c.SetWriteDeadline(time.Now().Add(timeout.Duration())) // a failure surfaces in Write
	n, err := c.TCPConn.Write(b)
	var failed net.Error
	if errors.As(err, &failed) && failed.Timeout() {
		c.port.report(Event{Limit: LimitAnswer, Action: ActionClose})
		_ = c.TCPConn.Close() // the response is incomplete
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.account.Close()
	return c.TCPConn.Close()
}

// BeginRequest notes that the head of a request is complete. Until the body is, the connection may be evicted. It returns an
// error if there is no room for the head.
func (c *Conn) BeginRequest(r *http.Request) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest = true
	phase := Serving
	if r.ContentLength != 0 {
		phase = Receiving
	}
	c.account.SetPhase(phase)
	if c.headBytes > 0 {
		return nil
	}
	return c.charge(c.received) // the whole head came with the previous request
}

// EndRequest notes that a request is answered, and that the next bytes are of another head.
func (c *Conn) EndRequest() {
	c.mu.Lock()
	c.inRequest, c.headBytes = false, 0
	c.mu.Unlock()
	c.account.SetPhase(Idle)
}

// Account returns the account of the connection.
func (c *Conn) Account() *Account { return c.account }
