// Package connector maintains message sessions between processes over TCP. Messages are sent as length-prefixed frames, writes
// are batched and never block the sender, and each side starts with a Hello.
package connector

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/marshaler"
)

const (
	// maxFrameSize is the largest encoded message in bytes.
	maxFrameSize = 4 << 20
	// maxHelloSize is the same for the Hello, which anyone may send. A larger one is not allocated.
	maxHelloSize = readBufferSize
	// maxQueuedBytes is the number of unsent bytes above which a session is closed, because the peer does not read.
	maxQueuedBytes = 8 << 20
	// writeTimeout bounds a write to a peer that accepts no data.
	writeTimeout     = 2 * time.Second
	readBufferSize   = 8 << 10
	headerSize       = 4
	maxBatchMessages = 256
)

type (
	// Session is a connection to another process. Its methods may be called concurrently.
	Session struct {
		// Remote is the Hello of the peer.
		Remote marshaler.Hello
		// Dialed says that this process opened the connection.
		Dialed bool

		conn      net.Conn
		known     func()   // see Node.Admit; may be nil
		traffic   *Traffic // may be nil
		mu        sync.Mutex
		queued    []byte
		wake      chan struct{}
		done      chan struct{}
		closeOnce sync.Once
		cause     error
	}
)

func newSession(conn net.Conn, dialed bool, t *Traffic) *Session {
	return &Session{conn: conn, Dialed: dialed, traffic: t, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// Send queues a message without blocking. Messages to a closed session are dropped; the Node reports the closure.
func (s *Session) Send(m marshaler.Message) {
	select {
	case <-s.done:
		return
	default:
	}
	s.mu.Lock()
	start := len(s.queued)
	s.queued = append(s.queued, 0, 0, 0, 0)
	s.queued = marshaler.Append(s.queued, m)
	binary.BigEndian.PutUint32(s.queued[start:], uint32(len(s.queued)-start-headerSize))
	if s.traffic != nil {
		s.traffic.add(s.queued[start+headerSize:], len(s.queued)-start)
	}
	full := len(s.queued) > maxQueuedBytes
	s.mu.Unlock()
	if full {
		s.Close(trace.LimitExceeded("peer does not read: more than %d bytes are queued", maxQueuedBytes))
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Close closes the session. Only the cause of the first call is kept.
func (s *Session) Close(cause error) {
	s.closeOnce.Do(func() {
		s.cause = cause
		close(s.done)
		if c, ok := s.conn.(*net.TCPConn); ok {
			// Reset the connection to discard unsent data: messages must not arrive after the session was closed.
			_ = c.SetLinger(0) // if this fails, the close below is a normal one
		}
		_ = s.conn.Close() // the session is over even if this fails
	})
}

// write sends queued messages until the session is closed.
func (s *Session) write() {
	var spare []byte
	for {
		select {
		case <-s.done:
			return
		case <-s.wake:
		}
		s.mu.Lock()
		batch := s.queued
		s.queued = spare[:0]
		s.mu.Unlock()
		if len(batch) == 0 {
			spare = batch
			continue
		}
		_ = s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // a failure surfaces in Write
		if _, err := s.conn.Write(batch); err != nil {
			s.Close(trace.ConnectionProblem(err, "write: %v", err))
			return
		}
		spare = batch
		if cap(spare) > 1<<16 {
			spare = nil
		}
	}
}

// read delivers received messages in batches until the connection fails or is closed.
func (s *Session) read(r *bufio.Reader, deliver func(batch []marshaler.Message)) error {
	var batch []marshaler.Message
	for {
		m, err := readMessage(r, maxFrameSize)
		switch {
		case trace.IsNotImplemented(err): // ignore message types of newer versions
		case err != nil:
			if len(batch) > 0 {
				deliver(batch)
			}
			return err
		default:
			batch = append(batch, m)
		}
		if len(batch) > 0 && (len(batch) >= maxBatchMessages || !frameBuffered(r)) {
			deliver(batch)
			batch = nil
		}
	}
}

// frameBuffered reports whether a complete frame is buffered.
func frameBuffered(r *bufio.Reader) bool {
	if r.Buffered() < headerSize {
		return false
	}
	head, err := r.Peek(headerSize)
	return err == nil && r.Buffered()-headerSize >= int(binary.BigEndian.Uint32(head))
}

// readMessage reads a message of at most maxSize bytes.
func readMessage(r *bufio.Reader, maxSize int) (marshaler.Message, error) {
	head, err := r.Peek(headerSize)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "read: %v", err)
	}
	size := int(binary.BigEndian.Uint32(head))
	if size == 0 || size > maxSize {
		return nil, trace.BadParameter("invalid frame size %d, want 1 to %d bytes", size, maxSize)
	}
	_, _ = r.Discard(headerSize) // the bytes are buffered
	if size <= r.Size() {
		frame, err := r.Peek(size)
		if err != nil {
			return nil, trace.ConnectionProblem(err, "read: %v", err)
		}
		m, err := marshaler.Decode(frame)
		_, _ = r.Discard(size) // the bytes are buffered
		return m, err
	}
	frame := make([]byte, size)
	if _, err := io.ReadFull(r, frame); err != nil {
		return nil, trace.ConnectionProblem(err, "read: %v", err)
	}
	return marshaler.Decode(frame)
}
