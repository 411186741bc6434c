// Package recorder writes structured log lines without blocking the caller: lines that exceed the buffer or the rate
// limit are dropped and counted.
package recorder

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

const (
	// defaultBufferSize is the number of bytes buffered for a slow reader before lines are dropped.
	defaultBufferSize = 256 << 10
	// defaultRate is the average number of lines per second that are written. Bursts of twice as many lines are
	// allowed.
	defaultRate = 4000
	// flushDelay is how long lines are collected before they are written, so that each write contains many lines.
	flushDelay = 20 * time.Millisecond
)

// Handler is a log handler. Its exported fields must be set before Run is called. If BufferSize and RateLimit are zero, they
// default to 256 KiB and 4,000 lines per second.
type Handler struct {
	Writer     io.Writer
	BufferSize int // bytes
	RateLimit  int // lines per second

	mu         sync.Mutex
	pending    []byte
	tokens     float64
	refilledAt time.Time
	wakeup     chan struct{}
	wakeupOnce sync.Once
	dropped    atomic.Uint64
}

// HandleLog implements log.Handler. It never waits for the writer.
func (r *Handler) HandleLog(e *log.Entry) error {
	line := encode(e)
	r.mu.Lock()
	if !r.allow(e.Timestamp, len(line)) {
		r.mu.Unlock()
		r.dropped.Add(1)
		return nil
	}
	first := len(r.pending) == 0
	r.pending = append(r.pending, line...)
	r.mu.Unlock()
	if first {
		select {
		case r.wakeupChan() <- struct{}{}:
		default:
		}
	}
	return nil
}

// allow takes a token from a token bucket to which RateLimit tokens are added per second. It reports whether the line fits
// the rate limit and the buffer.
func (r *Handler) allow(now time.Time, lineSize int) bool {
	rate, bufferSize := float64(r.RateLimit), r.BufferSize
	if rate <= 0 {
		rate = defaultRate
	}
	if bufferSize <= 0 {
		bufferSize = defaultBufferSize
	}
	if elapsed := now.Sub(r.refilledAt).Seconds(); elapsed > 0 || r.refilledAt.IsZero() {
		r.tokens = min(2*rate, r.tokens+min(elapsed, 2)*rate)
		r.refilledAt = now
	} else if elapsed < -1 { // the system clock was set back
		r.refilledAt = now
	}
	if r.tokens < 1 || len(r.pending)+lineSize > bufferSize {
		return false
	}
	r.tokens--
	return true
}

// Dropped returns the number of lines that were dropped.
func (r *Handler) Dropped() uint64 { return r.dropped.Load() }

// Run writes lines until done is closed, and then writes the remaining ones.
func (r *Handler) Run(done <-chan struct{}) {
	for {
		select {
		case <-r.wakeupChan():
			time.Sleep(flushDelay)
			r.flush()
		case <-done:
			r.flush()
			return
		}
	}
}

func (r *Handler) flush() {
	r.mu.Lock()
	batch := r.pending
	r.pending = nil
	r.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	if _, err := r.Writer.Write(batch); err != nil {
		r.dropped.Add(uint64(bytes.Count(batch, []byte{'\n'}))) // the error cannot be logged, because this is the log writer
	}
}

func (r *Handler) wakeupChan() chan struct{} {
	r.wakeupOnce.Do(func() { r.wakeup = make(chan struct{}, 1) })
	return r.wakeup
}

// encode returns an entry as one line of JSON with its fields sorted by name.
func encode(e *log.Entry) []byte {
	b := append(make([]byte, 0, 256), `{"time":"`...)
	b = e.Timestamp.UTC().AppendFormat(b, "2006-01-02T15:04:05.000Z")
	b = append(b, `","level":"`...)
	b = append(b, e.Level.String()...)
	b = append(b, `","message":`...)
	b = appendValue(b, e.Message)
	for _, name := range slices.Sorted(maps.Keys(e.Fields)) {
		b = append(b, ',')
		b = appendValue(b, name)
		b = append(b, ':')
		b = appendValue(b, e.Fields[name])
	}
	return append(b, '}', '\n')
}

func appendValue(b []byte, v any) []byte {
	switch v := v.(type) {
	case string:
		if needsNoEscaping(v) {
			b = append(b, '"')
			b = append(b, v...)
			return append(b, '"')
		}
	case int64:
		return strconv.AppendInt(b, v, 10)
	case int:
		return strconv.AppendInt(b, int64(v), 10)
	case uint64:
		return strconv.AppendUint(b, v, 10)
	}
	text, err := json.Marshal(v)
	if err != nil {
		text, _ = json.Marshal(err.Error()) // strings can always be encoded
	}
	return append(b, text...)
}

// needsNoEscaping reports whether s can be written as a JSON string without escape sequences.
func needsNoEscaping(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' || s[i] == '"' || s[i] == '\\' {
			return false
		}
	}
	return true
}
