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
	// headerSize is the size of the header before each frame. The header of a message is its length.
	headerSize = 4
	// headerHeartbeat and headerHeartbeatAck are control frames without content. They are larger than any frame length.
	headerHeartbeat    uint32 = 0xffffff01
	headerHeartbeatAck uint32 = 0xffffff02
	// fragmentFlag marks the header of a fragment of a long message. The last fragment also has lastFragmentFlag.
	fragmentFlag     uint32 = 0x80000000
	lastFragmentFlag uint32 = 0x40000000

	readBufferSize = 4 << 10
	// maxCloseReason is the length in bytes to which the reason sent in a QUIC CONNECTION_CLOSE frame is truncated.
	maxCloseReason = 500
)

var (
	errInvalidFrame = errors.New("invalid frame")
	errEndOfStream  = errors.New("end of stream")
	errIdleTimeout  = errors.New("the other end is silent")
)

// frameReader splits a stream into frames. next can be called again after a read deadline and then continues with the
// partly received frame.
type frameReader struct {
	read          func(p []byte) (int, error) // reads from the stream
	received      *atomic.Bool
	buffer        []byte // buffer[start:] holds the bytes that were read and not yet returned
	start         int
	lastFrameSize int    // size of the last returned frame
	fragments     []byte // received part of a fragmented message
}

// next returns the next message, which is valid until the next call. For a control frame it returns the header instead,
// and for a fragment other than the last fragmentFlag. The error is errEndOfStream at the end of the stream, and
// errInvalidFrame if a length is out of range or the stream ends within a message.
func (r *frameReader) next() (frame []byte, control uint32, err error) {
	if err := r.fill(headerSize); err != nil {
		return nil, 0, err
	}
	header := binary.BigEndian.Uint32(r.buffer[r.start:])
	if header == headerHeartbeat || header == headerHeartbeatAck {
		r.start += headerSize
		r.lastFrameSize = 0
		return nil, header, nil
	}
	length := header
	if header&fragmentFlag != 0 {
		length &^= fragmentFlag | lastFragmentFlag
	}
	if length == 0 || length > encoder.MaxFrameSize || header&fragmentFlag != 0 && len(r.fragments)+int(length) > encoder.MaxFrameSize {
		return nil, 0, trace.Wrap(errInvalidFrame, "frame length %d is out of range", length)
	}
	size := headerSize + int(length)
	if err := r.fill(size); err != nil {
		return nil, 0, err
	}
	frame = r.buffer[r.start+headerSize : r.start+size]
	r.start += size
	r.lastFrameSize = size
	if header&fragmentFlag == 0 {
		return frame, 0, nil
	}
	r.fragments = append(r.fragments, frame...)
	if header&lastFragmentFlag == 0 {
		return nil, fragmentFlag, nil
	}
	frame, r.fragments = r.fragments, nil
	return frame, 0, nil
}

// fill reads until at least size bytes are buffered. The buffer grows with the received data, not with the length in the
// header, so that a peer cannot cause large allocations by a false length. It shrinks when it is empty after a small
// frame.
func (r *frameReader) fill(size int) error {
	for len(r.buffer)-r.start < size {
		if r.start == len(r.buffer) && (r.buffer == nil || cap(r.buffer) > readBufferSize && r.lastFrameSize < readBufferSize) {
			r.buffer = make([]byte, 0, readBufferSize)
			r.start = 0
		}
		if r.start > 0 && len(r.buffer) == cap(r.buffer) || r.start == len(r.buffer) {
			r.buffer = r.buffer[:copy(r.buffer, r.buffer[r.start:])]
			r.start = 0
		}
		if len(r.buffer) == cap(r.buffer) {
			r.buffer = append(make([]byte, 0, 2*cap(r.buffer)), r.buffer...)
		}
		n, err := r.read(r.buffer[len(r.buffer):cap(r.buffer)])
		r.buffer = r.buffer[:len(r.buffer)+n]
		if n > 0 {
			r.received.Store(true)
			continue
		}
		if errors.Is(err, io.EOF) {
			if r.start < len(r.buffer) || len(r.fragments) > 0 {
				return trace.Wrap(errInvalidFrame, "the stream ended within a frame")
			}
			return errEndOfStream
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// errorText returns the text of err, or the reason that the peer gave if err says that the peer closed the connection.
func errorText(err error) string {
	var appErr *quic.ApplicationError
	if errors.As(err, &appErr) && appErr.ErrorMessage != "" {
		return "connection closed by the peer: " + appErr.ErrorMessage
	}
	return err.Error()
}

// closeReason returns the text of err to send to the peer, truncated so that it fits into one packet.
func closeReason(err error) string {
	text := trace.UserMessage(err)
	return text[:min(len(text), maxCloseReason)]
}
