package messenger

import (
	"encoding/binary"
	"errors"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// maxQueuedBytes bounds the encoded messages in a session's send queue. Two messages of the largest size fit. The
	// batch that is being written does not count.
	maxQueuedBytes = 2*encoder.MaxFrameSize + 1<<10
	// maxQueuedMessages bounds the number of messages that are queued or being written.
	maxQueuedMessages = 1 << 16
	// fragmentSize is the encoded size above which results are split, and the size of their fragments. On a loaded
	// machine, fragmentation reduced the time of a round trip behind a 1 MiB result from 9 to 3 ms, and behind a 4 MiB
	// result from 24 to 3 ms. It reduced the throughput of 1 MiB results from 210 to 110 MB/s.
	fragmentSize = 32 << 10
	// maxIdleBufferSize is the capacity of the largest write buffer that an idle session retains.
	maxIdleBufferSize = 4 << 10
	// maxPooledBufferSize is the capacity of the largest write buffer that is returned to Node.bufferPool. Without the
	// pool, growing write buffers took 18% of the bytes that a loaded entry and its sidecars allocated.
	maxPooledBufferSize = 256 << 10
	// closeTimeout bounds the time that a closing session spends on flushing queued messages and waiting for the peer.
	closeTimeout = 500 * time.Millisecond
)

type (
	// Session is an open, authenticated connection to another process. Its methods may be called concurrently.
	Session struct {
		node   *Node
		conn   *quic.Conn
		stream *quic.Stream
		reader frameReader
		peer   encoder.Hello
		ack    encoder.HelloAck
		done   chan struct{} // closed after OnDisconnect returned

		received       atomic.Bool // data was received since the last tick
		handling       atomic.Bool // OnMessage is running
		idleTicks      int         // consecutive ticks without received data; used by tick only
		heartbeatTicks int         // value of idleTicks at which this end sends a heartbeat

		mu             sync.Mutex
		queue          []byte   // encoded frames to write
		longMessages   [][]byte // unsent parts of the messages that are sent in fragments
		longBytes      int      // total size of longMessages
		queuedMessages int      // number of messages in queue and in the batch that is being written
		spareBuffer    []byte   // buffer of the last written batch, for reuse
		flushing       bool     // the flush goroutine is running
		closed         bool     // Send returns false
		closeCalled    bool     // Close was called
		cause          error
		heartbeatTimer *time.Timer
	}
)

func newSession(n *Node, conn *quic.Conn, stream *quic.Stream) *Session {
	s := &Session{node: n, conn: conn, stream: stream, done: make(chan struct{})}
	// The dialing end sends heartbeats earlier than the accepting end, which sets a larger heartbeatTicks, so that only
	// one end of an idle session sends them. At least half of the idle timeout remains for the acknowledgement.
	s.heartbeatTicks = max(1, min(2, n.maxIdleTicks()/2))
	s.reader.read = stream.Read
	s.reader.received = &s.received
	return s
}

// Peer returns the Hello of the peer. For a dialed session only role, member and address are set; the address is the
// dialed one.
func (s *Session) Peer() encoder.Hello { return s.peer }

// Ack returns the HelloAck of the accepting end.
func (s *Session) Ack() encoder.HelloAck { return s.ack }

// Done returns a channel that is closed after OnDisconnect returned.
func (s *Session) Done() <-chan struct{} { return s.done }

// Send queues m for the peer without blocking. It returns false if the session is closed, its queue is full or m is
// longer than encoder.MaxFrameSize; the message is then never sent. True does not guarantee delivery.
//
// Messages are delivered in the order of the calls, with one exception: a Result or ForwardAnswer longer than 32 KiB is
// sent in fragments interleaved with other messages, and may be delivered after messages that were queued later.
func (s *Session) Send(m encoder.Message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.queuedMessages >= maxQueuedMessages || len(s.queue)+s.longBytes >= maxQueuedBytes {
		return false
	}
	start := len(s.queue)
	if start > maxIdleBufferSize/2 && cap(s.queue) <= maxIdleBufferSize {
		s.queue = s.node.moveToPooledBuffer(s.queue)
	}
	encoded := encoder.Append(append(s.queue, 0, 0, 0, 0), m)
	size := len(encoded) - start - headerSize
	if size > encoder.MaxFrameSize || len(encoded)+s.longBytes > maxQueuedBytes {
		return false
	}
	if size > fragmentSize && isReorderable(m) {
		s.longMessages = append(s.longMessages, slices.Clone(encoded[start+headerSize:]))
		s.longBytes += size
		s.enqueue(encoded[:start])
		return true
	}
	binary.BigEndian.PutUint32(encoded[start:], uint32(size))
	s.enqueue(encoded)
	return true
}

// isReorderable reports whether m may be delivered after messages that were queued later. This is safe for results,
// because receivers match them by key and no later message depends on them.
func isReorderable(m encoder.Message) bool {
	switch m.(type) {
	case *encoder.Result, *encoder.ForwardAnswer:
		return true
	}
	return false
}

// enqueueControl queues a control frame. The caller must not hold the mutex.
func (s *Session) enqueueControl(header uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// If the queue is full, the frame is not needed: the queued data shows the peer that this end is alive.
	if !s.closed && len(s.queue) < maxQueuedBytes {
		s.enqueue(binary.BigEndian.AppendUint32(s.queue, header))
	}
}

func (s *Session) enqueue(queue []byte) {
	s.queue = queue
	s.queuedMessages++
	if !s.flushing {
		s.flushing = true
		go s.flush()
	}
}

// flush writes batches until the queue is empty. Messages that are queued during a write form the next batch, so that a
// busy session needs few packets and system calls. An idle session has no flush goroutine.
func (s *Session) flush() {
	for {
		s.mu.Lock()
		batch, batchMessages := s.queue, s.queuedMessages
		s.queue, s.spareBuffer = s.spareBuffer[:0], nil
		batch = s.appendFragment(batch)
		if len(batch) == 0 {
			s.flushing, s.queuedMessages = false, 0
			if s.closed {
				_ = s.stream.Close()
			}
			s.spareBuffer = s.node.recycleBuffer(batch)
			s.queue = s.node.recycleBuffer(s.queue)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		_, err := s.stream.Write(batch)
		s.mu.Lock()
		if err != nil {
			s.flushing, s.closed, s.queue, s.longMessages = false, true, nil, nil
			s.setCause(trace.ConnectionProblem(err, "%v", errorText(err)))
			s.mu.Unlock()
			return
		}
		s.spareBuffer = batch[:0]
		s.queuedMessages -= batchMessages
		s.mu.Unlock()
	}
}

// appendFragment appends the next fragment of the first long message to batch, if there is one. The caller must hold
// the mutex.
func (s *Session) appendFragment(batch []byte) []byte {
	if len(s.longMessages) == 0 {
		return batch
	}
	n := min(len(s.longMessages[0]), fragmentSize)
	header := fragmentFlag | uint32(n)
	if n == len(s.longMessages[0]) {
		header |= lastFragmentFlag
	}
	batch = append(binary.BigEndian.AppendUint32(batch, header), s.longMessages[0][:n]...)
	s.longBytes -= n
	if s.longMessages[0] = s.longMessages[0][n:]; len(s.longMessages[0]) == 0 {
		s.longMessages = s.longMessages[1:]
	}
	return batch
}

// moveToPooledBuffer moves the contents of queue into a larger buffer from the pool, if the pool has one.
func (n *Node) moveToPooledBuffer(queue []byte) []byte {
	if b, ok := n.bufferPool.Get().(*[]byte); ok {
		return append(*b, queue...)
	}
	return queue
}

// recycleBuffer returns b, emptied, if it is small enough for an idle session to retain. Otherwise it returns nil and
// puts b into the pool, or drops it when it is too large for that.
func (n *Node) recycleBuffer(b []byte) []byte {
	b = b[:0]
	if cap(b) <= maxIdleBufferSize {
		return b
	}
	if cap(b) <= maxPooledBufferSize {
		shared := b // copied so that b does not escape to the heap in each call
		n.bufferPool.Put(&shared)
	}
	return nil
}

// Close starts to close the session and returns without waiting. Later calls of Send return false. Queued messages are
// flushed and received messages are delivered until the peer has closed its side too, for at most 500 ms. A Connect
// whose session this is dials again. Close also ends the grace period of a session that timed out.
func (s *Session) Close() {
	s.closeWrite(trace.ConnectionProblem(nil, "session closed locally"))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeCalled = true
	if errors.Is(s.cause, errIdleTimeout) {
		_ = s.stream.SetReadDeadline(time.Now())
	}
}

// closeWrite closes the write side of the stream once the queue is flushed, and limits further reads to closeTimeout.
func (s *Session) closeWrite(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	s.setCause(cause)
	if !s.flushing {
		_ = s.stream.Close()
	}
	_ = s.stream.SetReadDeadline(time.Now().Add(closeTimeout))
}

// setCause records the cause of the session's end unless one is already set. The caller must hold the mutex.
func (s *Session) setCause(cause error) {
	if s.cause == nil {
		s.cause = cause
	}
}

// readHandshake reads the first message that the peer sends.
func (s *Session) readHandshake(limit timer.Millis) (encoder.Message, error) {
	if err := s.stream.SetReadDeadline(time.Now().Add(limit.Duration())); err != nil {
		return nil, trace.ConnectionProblem(err, "handshake: %v", err)
	}
	frame, _, err := s.reader.next()
	if err != nil {
		return nil, trace.ConnectionProblem(err, "handshake: %v", errorText(err))
	}
	m, err := encoder.Decode(frame)
	if err != nil {
		return nil, err
	}
	return m, s.stream.SetReadDeadline(time.Time{})
}

// run reads until the session ends, and calls OnConnect and OnDisconnect.
func (s *Session) run() {
	n := s.node
	if n.OnConnect != nil {
		n.OnConnect(s)
	}
	s.mu.Lock()
	s.heartbeatTimer = time.AfterFunc(n.jitteredHeartbeatInterval(), s.tick)
	s.mu.Unlock()

	code, cause := s.read()
	s.mu.Lock()
	s.closed = true
	s.setCause(cause)
	cause = s.cause
	s.heartbeatTimer.Stop()
	s.mu.Unlock()

	inGracePeriod := code == codeIdleTimeout && n.GracePeriod > 0
	if !inGracePeriod {
		_ = s.conn.CloseWithError(code, closeReason(cause))
	}
	if n.OnDisconnect != nil {
		n.OnDisconnect(s, cause)
	}
	close(s.done)
	if inGracePeriod {
		s.mu.Lock()
		if !s.closeCalled {
			_ = s.stream.SetReadDeadline(time.Now().Add(n.GracePeriod.Duration()))
		}
		s.mu.Unlock()
		_, _ = s.read()
		_ = s.conn.CloseWithError(codeIdleTimeout, closeReason(cause))
	}
}

// read delivers messages until the stream ends. When the peer has closed its side, read closes this side after flushing
// the queue, and waits until the peer closes the connection, so that the last messages arrive.
func (s *Session) read() (quic.ApplicationErrorCode, error) {
	for {
		frame, control, err := s.reader.next()
		switch {
		case err == nil:
		case errors.Is(err, errInvalidFrame):
			return codeInvalid, err
		case errors.Is(err, errEndOfStream):
			return s.handleEndOfStream()
		case errors.Is(err, os.ErrDeadlineExceeded):
			return s.handleReadDeadline()
		default:
			return codeClosed, trace.ConnectionProblem(err, "%v", errorText(err))
		}
		if control == headerHeartbeat {
			s.enqueueControl(headerHeartbeatAck)
		}
		if control != 0 {
			continue
		}
		m, err := encoder.Decode(frame)
		if err != nil {
			if trace.IsNotImplemented(err) {
				continue // message type of a newer version
			}
			return codeInvalid, err
		}
		if s.node.OnMessage != nil {
			s.handling.Store(true)
			s.node.OnMessage(s, m)
			s.handling.Store(false)
		}
	}
}

// handleEndOfStream handles the end of the peer's side of the stream. The end that closed its own side first then closes
// the connection. The other end waits for that, so that its last messages are delivered.
func (s *Session) handleEndOfStream() (quic.ApplicationErrorCode, error) {
	s.mu.Lock()
	closedLocally := s.closed
	s.mu.Unlock()
	if closedLocally {
		return codeClosed, nil
	}
	cause := trace.ConnectionProblem(nil, "session closed by the peer")
	s.closeWrite(cause)
	t := time.NewTimer(closeTimeout)
	defer t.Stop()
	select {
	case <-s.conn.Context().Done():
	case <-t.C:
	}
	return codeClosed, cause
}

// handleReadDeadline returns the close code and the cause after a read deadline, which tick or closeWrite set.
func (s *Session) handleReadDeadline() (quic.ApplicationErrorCode, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(s.cause, errIdleTimeout) {
		return codeIdleTimeout, s.cause
	}
	return codeClosed, s.cause
}

// tick runs once per heartbeat interval. It counts intervals instead of reading the clock, so that a pause of this
// process is not taken for an idle peer.
func (s *Session) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.heartbeatTimer.Reset(s.node.jitteredHeartbeatInterval())
	if s.received.Swap(false) || s.handling.Load() {
		s.idleTicks = 0
		return
	}
	s.idleTicks++
	switch {
	case s.idleTicks > s.node.maxIdleTicks():
		s.closed = true
		s.setCause(errIdleTimeout)
		_ = s.stream.SetReadDeadline(time.Now())
	case s.idleTicks == s.heartbeatTicks && len(s.queue) < maxQueuedBytes:
		s.enqueue(binary.BigEndian.AppendUint32(s.queue, headerHeartbeat))
	}
}
