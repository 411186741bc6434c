package messenger

import (
	"bytes"
	"errors"
	"flag"
	"io"
	"os"
	"slices"
	"sync/atomic"
	"testing"

	"pgregory.net/rapid"
)

// A fixed seed makes runs repeatable; -rapid.seed tries others.
var _ = flag.Set("rapid.seed", "1")

// TestFrameReader guards against frames that are lost, mixed up or truncated when reads return any number of bytes or
// reach deadlines, and when fragments of a long message lie between other frames.
func TestFrameReader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream []byte
		var want [][]byte
		longMessage := bytes.Repeat([]byte{7}, rapid.IntRange(1, 200_000).Draw(t, "long"))
		rest := longMessage
		sizes := rapid.SliceOfN(rapid.OneOf(rapid.IntRange(1, 300), rapid.IntRange(1, 20_000)), 0, 20).Draw(t, "sizes")
		for i, size := range sizes {
			want = append(want, bytes.Repeat([]byte{byte(i)}, size))
			stream = slices.Concat(stream, withHeader(want[i]), header(headerHeartbeatAck))
			if n := min(size, len(rest)-1); n > 0 {
				stream = slices.Concat(stream, header(fragmentFlag|uint32(n)), rest[:n])
				rest = rest[n:]
			}
		}
		want = append(want, longMessage)
		stream = slices.Concat(stream, header(fragmentFlag|lastFragmentFlag|uint32(len(rest))), rest)
		truncateAt := rapid.IntRange(0, len(stream)).Draw(t, "cut")
		readSizes := rapid.SliceOfN(rapid.IntRange(0, 5000), 1, 20).Draw(t, "chunks")
		reads := 0
		source := bytes.NewReader(stream[:truncateAt])
		r := frameReader{received: &atomic.Bool{}, read: func(p []byte) (int, error) {
			reads++
			if n := readSizes[reads%len(readSizes)]; n > 0 {
				return source.Read(p[:min(n, len(p))])
			}
			if source.Len() == 0 {
				return 0, io.EOF
			}
			if reads%2 == 0 {
				return source.Read(p[:1])
			}
			return 0, os.ErrDeadlineExceeded
		}}
		for got := 0; ; {
			frame, control, err := r.next()
			switch {
			case errors.Is(err, os.ErrDeadlineExceeded):
			case errors.Is(err, errEndOfStream) && (truncateAt == len(stream)) != (got == len(want)):
				t.Fatalf("end after %d of %d frames and %d of %d bytes", got, len(want), truncateAt, len(stream))
			case errors.Is(err, errEndOfStream), errors.Is(err, errInvalidFrame) && truncateAt < len(stream):
				return
			case err != nil:
				t.Fatal(err)
			case control == 0:
				if got == len(want) || !bytes.Equal(frame, want[got]) {
					t.Fatalf("frame %d has the wrong content", got)
				}
				got++
			}
		}
	})
}
