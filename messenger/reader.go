package messenger

import (
	"encoding/binary"
	"errors"
	"io"
	"sync/atomic"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"github.com/crocuslb/crocuslb/encoder"
)

const (
	// headerSize is the size of the length before each frame.
	headerSize = 4
	// Headers above this value are frames of the transport, without content.
	headerHeartbeat uint32 = 0xffffff01
	headerAnswer    uint32 = 0xffffff02
	// A header with fragmentFlag begins a fragment of a long message, one with lastFlag the last fragment.
	fragmentFlag uint32 = 0x80000000
	lastFlag     uint32 = 0x40000000

	readBuffer = 4 << 10
	// maxPhrase is the longest reason in bytes that is sent when a connection is closed.
	maxPhrase = 500
)

var (
	errFrame  = errors.New("invalid frame")
	errEnd    = errors.New("end of stream")
	errSilent = errors.New("the other end is silent")
)

// frameReader splits a stream into frames. After a read deadline, next continues where it stopped.
type frameReader struct {
	source   func(p []byte) (int, error) // reads from the stream
	received *atomic.Bool
	buffer   []byte // bytes read and not yet returned are buffer[start:]
	start    int
	last     int    // size of the last frame
	long     []byte // fragments of the long message that is arriving
}

// next returns the next frame, which is valid until the next call, or the header of a transport frame or a
// fragment. It returns errEnd at the end of the stream, and errFrame for a header that is out of range.
func (r *frameReader) next() (frame []byte, control uint32, err error) {
	if err := r.fill(headerSize); err != nil {
		return nil, 0, err
	}
	header := binary.BigEndian.Uint32(r.buffer[r.start:])
	if header == headerHeartbeat || header == headerAnswer {
		r.start += headerSize
		r.last = 0
		return nil, header, nil
	}
	length := header
	if header&fragmentFlag != 0 {
		length &^= fragmentFlag | lastFlag
	}
	if length == 0 || length > encoder.MaxFrame || header&fragmentFlag != 0 && len(r.long)+int(length) > encoder.MaxFrame {
		return nil, 0, trace.Wrap(errFrame, "length %d is out of range", length)
	}
	size := headerSize + int(length)
	if err := r.fill(size); err != nil {
		return nil, 0, err
	}
	frame = r.buffer[r.start+headerSize : r.start+size]
	r.start += size
	r.last = size
	if header&fragmentFlag == 0 {
		return frame, 0, nil
	}
	r.long = append(r.long, frame...)
	if header&lastFlag == 0 {
		return nil, fragmentFlag, nil
	}
	frame, r.long = r.long, nil
	return frame, 0, nil
}

// fill reads until at least size bytes are buffered. The buffer grows with the bytes that arrive, not with the length
// that the other end claims, and shrinks when it is empty after
// a small frame.
func (r *frameReader) fill(size int) error {
	for len(r.buffer)-r.start < size {
		if r.start == len(r.buffer) && (r.buffer == nil || cap(r.buffer) > readBuffer && r.last < readBuffer) {
			r.buffer = make([]byte, 0, readBuffer)
			r.start = 0
		}
		if r.start > 0 && len(r.buffer) == cap(r.buffer) || r.start == len(r.buffer) {
			r.buffer = r.buffer[:copy(r.buffer, r.buffer[r.start:])]
			r.start = 0
		}
		if len(r.buffer) == cap(r.buffer) {
			r.buffer = append(make([]byte, 0, 2*cap(r.buffer)), r.buffer...)
		}
		n, err := r.source(r.buffer[len(r.buffer):cap(r.buffer)])
		r.buffer = r.buffer[:len(r.buffer)+n]
		if n > 0 {
			r.received.Store(true)
			continue
		}
		if errors.Is(err, io.EOF) {
			if r.start < len(r.buffer) || len(r.long) > 0 {
				return trace.Wrap(errFrame, "the stream ends within a frame")
			}
			return errEnd
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// describe returns the text of err, or the one that the other end gave for closing the connection.
func describe(err error) string {
	var refused *quic.ApplicationError
	if errors.As(err, &refused) && refused.ErrorMessage != "" {
		return "closed by the other end: " + refused.ErrorMessage
	}
	return err.Error()
}

// phrase returns the text of err for the other end, bounded so that it fits into one packet.
func phrase(err error) string {
	text := trace.UserMessage(err)
	return text[:min(len(text), maxPhrase)]
}
