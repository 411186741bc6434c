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
	source   *quic.Stream
	received *atomic.Bool
	buffer   []byte // bytes read and not yet returned are buffer[start:]
	start    int
}

// next returns the next frame, which is valid until the next call, or the header of a transport frame. It returns errEnd
// at the end of the stream, and errFrame for a header that is out of range.
func (r *frameReader) next() (frame []byte, control uint32, err error) {
	if err := r.fill(headerSize); err != nil {
		return nil, 0, err
	}
	header := binary.BigEndian.Uint32(r.buffer[r.start:])
	if header == headerHeartbeat || header == headerAnswer {
		r.start += headerSize
		return nil, header, nil
	}
	if header == 0 || header > encoder.MaxFrame {
		return nil, 0, trace.Wrap(errFrame, "length %d is out of range", header)
	}
	size := headerSize + int(header)
	if err := r.fill(size); err != nil {
		return nil, 0, err
	}
	frame = r.buffer[r.start+headerSize : r.start+size]
	r.start += size
	return frame, 0, nil
}

// fill reads until at least size bytes are buffered. The buffer grows with the bytes that arrive, not with the length
// that the other end claims, and shrinks when it is empty.
func (r *frameReader) fill(size int) error {
	for len(r.buffer)-r.start < size {
		if r.start == len(r.buffer) && cap(r.buffer) != readBuffer {
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
		n, err := r.source.Read(r.buffer[len(r.buffer):cap(r.buffer)])
		r.buffer = r.buffer[:len(r.buffer)+n]
		if n > 0 {
			r.received.Store(true)
			continue
		}
		if errors.Is(err, io.EOF) {
			if r.start < len(r.buffer) {
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
