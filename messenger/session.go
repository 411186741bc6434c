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
	// maxQueueBytes bounds the encoded messages that wait for the writer. It holds two of the largest messages. The
	// batch that is being written comes on top.
	maxQueueBytes = 2*encoder.MaxFrame + 1<<10
	// maxQueueCount bounds the number of messages that wait for the writer or are being written.
	maxQueueCount = 1 << 16
	// bulkSize is the encoded size above which results are sent in fragments of this size. On a busy machine, a round
	// trip behind 1 MiB took 3 ms instead of 9, behind 4 MiB 3 ms instead of 24; the throughput of 1 MiB results fell
	// from 210 to 110 MB/s.
	bulkSize = 32 << 10
	// keepBuffer is the largest write buffer that an idle session keeps.
	keepBuffer = 4 << 10
	// maxShared is the largest write buffer that sessions hand on to each other. Growing new ones took 18% of the bytes
	// that a loaded entry and its sidecars allocated.
	maxShared = 256 << 10
	// flushLimit bounds the time in which Close flushes queued messages and waits for the other end.
	flushLimit = 500 * time.Millisecond
)

type (
	// Session is an open, authenticated connection to another process. Its methods may be called from any goroutine.
	Session struct {
		node   *Node
		conn   *quic.Conn
		stream *quic.Stream
		reader frameReader
		peer   encoder.Hello
		ack    encoder.HelloAck
		down   chan struct{} // closed after OnDown

		received atomic.Bool // bytes arrived since the last tick
		busy     atomic.Bool // the reader is in OnMessage
		missed   int         // ticks in a row without bytes; used by tick only
		patience int         // missed ticks after which this end sends a heartbeat

		mu      sync.Mutex
		queue   []byte   // encoded frames that wait for the writer
		bulk    [][]byte // rests of long messages that wait for the writer
		waiting int      // bytes in bulk
		count   int      // messages in queue and in the batch that is being written
		spare   []byte   // the buffer that the writer used last
		writing bool     // a flush goroutine is running
		closed  bool     // Send refuses
		over    bool     // Close was called
		cause   error
		beat    *time.Timer
	}
)

func newSession(n *Node, conn *quic.Conn, stream *quic.Stream) *Session {
	s := &Session{node: n, conn: conn, stream: stream, down: make(chan struct{})}
	// The dialing end sends heartbeats first, so that an idle session carries those of one end only. At least half of
	// the silence is left for the answer. The accepting end sets a longer patience.
	s.patience = max(1, min(2, n.ticks()/2))
	s.reader.source = stream.Read
	s.reader.received = &s.received
	return s
}

// Peer returns the Hello of the other end. For a dialed session only role, member and address are set; the address is
// the one that was dialed.
func (s *Session) Peer() encoder.Hello { return s.peer }

// Ack returns the HelloAck that the accepting end sent.
func (s *Session) Ack() encoder.HelloAck { return s.ack }

// Done returns a channel that is closed after OnDown returned.
func (s *Session) Done() <-chan struct{} { return s.down }

// Send queues m for the other end. It never blocks. It returns false when the session is closed, its queue is full or m
// is longer than encoder.MaxFrame; the message is then lost for sure. True does not mean that the message arrives.
//
// Messages arrive in the order of Send, except that a Result or a ForwardAnswer longer than 32 KiB is sent in fragments
// between other messages, and arrives after messages that were queued later.
func (s *Session) Send(m encoder.Message) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.count >= maxQueueCount || len(s.queue)+s.waiting >= maxQueueBytes {
		return false
	}
	start := len(s.queue)
	if start > keepBuffer/2 && cap(s.queue) <= keepBuffer {
		s.queue = s.node.takeBuffer(s.queue)
	}
	grown := encoder.Append(append(s.queue, 0, 0, 0, 0), m)
	size := len(grown) - start - headerSize
	if size > encoder.MaxFrame || len(grown)+s.waiting > maxQueueBytes {
		return false
	}
	if size > bulkSize && overtaken(m) {
		s.bulk = append(s.bulk, slices.Clone(grown[start+headerSize:]))
		s.waiting += size
		s.enqueue(grown[:start])
		return true
	}
	binary.BigEndian.PutUint32(grown[start:], uint32(size))
	s.enqueue(grown)
	return true
}

// overtaken reports whether later messages may overtake m. Receivers match results by key, and no later message depends
// on their arrival.
func overtaken(m encoder.Message) bool {
	switch m.(type) {
	case *encoder.Result, *encoder.ForwardAnswer:
		return true
	}
	return false
}

// control queues a frame of the transport. The caller does not hold the mutex.
func (s *Session) control(header uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A full queue delays only the heartbeat, and the bytes in it serve as one.
	if !s.closed && len(s.queue) < maxQueueBytes {
		s.enqueue(binary.BigEndian.AppendUint32(s.queue, header))
	}
}

func (s *Session) enqueue(queue []byte) {
	s.queue = queue
	s.count++
	if !s.writing {
		s.writing = true
		go s.flush()
	}
}

// flush writes what is queued until nothing is left. While one batch is written, the next one collects, so that a busy
// session needs few packets and system calls. An idle session has no writer goroutine.
func (s *Session) flush() {
	for {
		s.mu.Lock()
		batch, taken := s.queue, s.count
		s.queue, s.spare = s.spare[:0], nil
		batch = s.fragment(batch)
		if len(batch) == 0 {
			s.writing, s.count = false, 0
			if s.closed {
				_ = s.stream.Close()
			}
			s.spare = s.node.keep(batch)
			s.queue = s.node.keep(s.queue)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		_, err := s.stream.Write(batch)
		s.mu.Lock()
		if err != nil {
			s.writing, s.closed, s.queue, s.bulk = false, true, nil, nil
			s.setCause(trace.ConnectionProblem(err, "%v", describe(err)))
			s.mu.Unlock()
			return
		}
		s.spare = batch[:0]
		s.count -= taken
		s.mu.Unlock()
	}
}

// fragment appends the next fragment of a long message to a batch. The caller holds the mutex.
func (s *Session) fragment(batch []byte) []byte {
	if len(s.bulk) == 0 {
		return batch
	}
	n := min(len(s.bulk[0]), bulkSize)
	header := fragmentFlag | uint32(n)
	if n == len(s.bulk[0]) {
		header |= lastFlag
	}
	batch = append(binary.BigEndian.AppendUint32(batch, header), s.bulk[0][:n]...)
	s.waiting -= n
	if s.bulk[0] = s.bulk[0][n:]; len(s.bulk[0]) == 0 {
		s.bulk = s.bulk[1:]
	}
	return batch
}

// takeBuffer moves what is queued into a large buffer that a session gave back, if there is one.
func (n *Node) takeBuffer(queue []byte) []byte {
	if b, ok := n.buffers.Get().(*[]byte); ok {
		return append(*b, queue...)
	}
	return queue
}

// keep returns the buffer that an idle session keeps. Larger ones go to the other sessions of the node.
func (n *Node) keep(b []byte) []byte {
	b = b[:0]
	if cap(b) <= keepBuffer {
		return b
	}
	if cap(b) <= maxShared {
		shared := b // a new variable, so that b itself is not allocated in each call
		n.buffers.Put(&shared)
	}
	return nil
}

// Close ends the session and returns at once. Send refuses from then on. Queued messages are flushed, and messages of
// the other end are delivered, until the other end has closed its side as well, at most for half a second. Connect dials
// again. Close also ends the grace of a silent session.
func (s *Session) Close() {
	s.finish(trace.ConnectionProblem(nil, "closed by this end"))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = true
	if errors.Is(s.cause, errSilent) {
		_ = s.stream.SetReadDeadline(time.Now())
	}
}

// finish closes the write side after the queue, and the connection after flushLimit.
func (s *Session) finish(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	s.setCause(cause)
	if !s.writing {
		_ = s.stream.Close()
	}
	_ = s.stream.SetReadDeadline(time.Now().Add(flushLimit))
}

// setCause keeps the first cause. The caller holds the mutex.
func (s *Session) setCause(cause error) {
	if s.cause == nil {
		s.cause = cause
	}
}

// first reads the first message of the handshake.
func (s *Session) first(limit timer.Millis) (encoder.Message, error) {
	if err := s.stream.SetReadDeadline(time.Now().Add(limit.Duration())); err != nil {
		return nil, trace.ConnectionProblem(err, "handshake: %v", err)
	}
	frame, _, err := s.reader.next()
	if err != nil {
		return nil, trace.ConnectionProblem(err, "handshake: %v", describe(err))
	}
	m, err := encoder.Decode(frame)
	if err != nil {
		return nil, err
	}
	return m, s.stream.SetReadDeadline(time.Time{})
}

// run reads until the session ends, and reports it up and down.
func (s *Session) run() {
	n := s.node
	if n.OnUp != nil {
		n.OnUp(s)
	}
	s.mu.Lock()
	s.beat = time.AfterFunc(n.period(), s.tick)
	s.mu.Unlock()

	code, cause := s.read()
	s.mu.Lock()
	s.closed = true
	s.setCause(cause)
	cause = s.cause
	s.beat.Stop()
	s.mu.Unlock()

	late := code == codeSilent && n.Grace > 0
	if !late {
		_ = s.conn.CloseWithError(code, phrase(cause))
	}
	if n.OnDown != nil {
		n.OnDown(s, cause)
	}
	close(s.down)
	if late {
		s.mu.Lock()
		if !s.over {
			_ = s.stream.SetReadDeadline(time.Now().Add(n.Grace.Duration()))
		}
		s.mu.Unlock()
		_, _ = s.read()
		_ = s.conn.CloseWithError(codeSilent, phrase(cause))
	}
}

// read delivers messages until the stream ends. At the end of the stream it closes this end's side, after what is
// queued, and waits until the other end closes the connection.
func (s *Session) read() (quic.ApplicationErrorCode, error) {
	for {
		frame, control, err := s.reader.next()
		switch {
		case err == nil:
		case errors.Is(err, errFrame):
			return codeInvalid, err
		case errors.Is(err, errEnd):
			return s.ended()
		case errors.Is(err, os.ErrDeadlineExceeded):
			return s.expired()
		default:
			return codeClosed, trace.ConnectionProblem(err, "%v", describe(err))
		}
		if control == headerHeartbeat {
			s.control(headerAnswer)
		}
		if control != 0 {
			continue
		}
		m, err := encoder.Decode(frame)
		if err != nil {
			if trace.IsNotImplemented(err) {
				continue // a message of a newer version
			}
			return codeInvalid, err
		}
		if s.node.OnMessage != nil {
			s.busy.Store(true)
			s.node.OnMessage(s, m)
			s.busy.Store(false)
		}
	}
}

// ended handles the end of the other side's stream. Whoever sees the other side's end after closing its own closes the
// connection; the other one waits for that, so that its last messages arrive.
func (s *Session) ended() (quic.ApplicationErrorCode, error) {
	s.mu.Lock()
	first := s.closed
	s.mu.Unlock()
	if first {
		return codeClosed, nil
	}
	cause := trace.ConnectionProblem(nil, "closed by the other end")
	s.finish(cause)
	t := time.NewTimer(flushLimit)
	defer t.Stop()
	select {
	case <-s.conn.Context().Done():
	case <-t.C:
	}
	return codeClosed, cause
}

// expired handles the read deadline, which tick and finish set.
func (s *Session) expired() (quic.ApplicationErrorCode, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(s.cause, errSilent) {
		return codeSilent, s.cause
	}
	return codeClosed, s.cause
}

// tick runs once in a heartbeat period. It counts periods instead of reading the clock, so that a pause of this process
// does not count as silence of the other one.
func (s *Session) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.beat.Reset(s.node.period())
	if s.received.Swap(false) || s.busy.Load() {
		s.missed = 0
		return
	}
	s.missed++
	switch {
	case s.missed > s.node.ticks():
		s.closed = true
		s.setCause(errSilent)
		_ = s.stream.SetReadDeadline(time.Now())
	case s.missed == s.patience && len(s.queue) < maxQueueBytes:
		s.enqueue(binary.BigEndian.AppendUint32(s.queue, headerHeartbeat))
	}
}
