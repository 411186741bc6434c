// Package emulator holds test doubles of the systems around crocuslb. They speak the published protocols and can be
// told to fail.
package emulator

import (
	"net/http"
	"sync"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	defaultRate      = 500     // "several hundred appends a second" is what the platform states
	defaultRetention = 100_000 // records per stream
	maxStreams       = 64
	maxConnections   = 4096 // later connections cannot be made silent
	maxStreamBytes   = 64 << 20
	maxRecordBody    = 1 << 20
	maxRecordID      = 64
	maxPageRecords   = 1000
	maxPageBytes     = 8 << 20
)

type (
	// Log is a test double of the platform's log, in memory. It is an http.Handler for the streams and for /control.
	// The zero value is an empty log without faults. It appends a record as often as it is asked to: identifiers are
	// stored, not compared.
	Log struct {
		// Clock drives the rate limit.
		Clock timer.Clock

		mu       sync.Mutex
		settings LogSettings
		streams  map[string]*logStream
		tokens   float64
		filled   timer.Millis // when tokens was computed, 0 for never
		changed  chan struct{}
		counts   LogCounts
		routes   *http.ServeMux
		seen     map[string]bool // remote addresses of connections; true when the connection is silent
	}

	// LogSettings are the faults and limits of a Log. They may be set at run time.
	LogSettings struct {
		// AppendDelay passes before an append takes effect. A caller that gives up does not stop its append.
		AppendDelay timer.Millis
		// ReadDelay passes before a read is answered.
		ReadDelay timer.Millis
		// Outage refuses every request with 503; nothing is appended.
		Outage bool
		// Silent leaves every request without an answer; nothing is appended.
		Silent bool
		// LoseNext is the number of appends that take effect and whose answer is then lost.
		LoseNext int
		// LoseSilently keeps the connection of a lost answer open. Otherwise it is closed.
		LoseSilently bool
		// Retention is the number of records kept per stream; 0 means 100,000.
		Retention int
		// AppendsPerSecond limits the rate of appends over all streams; 0 means 500, a negative number no limit.
		AppendsPerSecond int
	}

	// LogCounts count requests since the start.
	LogCounts struct {
		Appended, Refused, Lost, Reads uint64
		// Hanging is the number of requests that are left without an answer at present.
		Hanging uint64
	}

	// LogRecord is a stored record.
	LogRecord struct {
		Offset uint64
		ID     string
		Body   []byte
	}

	logStream struct {
		first   uint64
		bytes   int
		records []LogRecord
	}
)

// ServeHTTP serves the interface of the platform's log and /control.
func (l *Log) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	l.mu.Lock()
	if l.routes == nil {
		l.routes = l.mux()
	}
	routes := l.routes
	silent := l.seen[q.RemoteAddr]
	if !silent && len(l.seen) < maxConnections {
		if l.seen == nil {
			l.seen = map[string]bool{}
		}
		l.seen[q.RemoteAddr] = false
	}
	l.mu.Unlock()
	if silent && q.URL.Path != controlPath {
		l.hang(q)
	}
	routes.ServeHTTP(w, q)
}

// SilenceConnections makes every connection that was used so far silent for good: its requests get no answer and have no
// effect. New connections work.
func (l *Log) SilenceConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for a := range l.seen {
		l.seen[a] = true
	}
}

// Settings returns the present settings.
func (l *Log) Settings() LogSettings {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.settings
}

// Change changes the settings atomically. It also wakes waiting reads, so an outage reaches them at once.
func (l *Log) Change(change func(s *LogSettings)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.settings)
	for _, s := range l.streams {
		s.trim(l.settings.Retention)
	}
	l.wake()
}

// Counts returns the counts since the start.
func (l *Log) Counts() LogCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Records returns the retained records of a stream. Their bodies are shared with the log.
func (l *Log) Records(stream string) []LogRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.streams[stream]; ok {
		return append([]LogRecord(nil), s.records...)
	}
	return nil
}

// Append stores a record whatever the faults are, for tests. ok is false when there are too many streams. The body is
// kept, not copied.
func (l *Log) Append(stream, id string, body []byte) (offset uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.add(stream, id, body)
}

// add stores a record; ok is false when there are too many streams.
func (l *Log) add(stream, id string, body []byte) (offset uint64, ok bool) {
	s, ok := l.streams[stream]
	if !ok {
		if len(l.streams) >= maxStreams {
			return 0, false
		}
		if l.streams == nil {
			l.streams = map[string]*logStream{}
		}
		s = &logStream{}
		l.streams[stream] = s
	}
	offset = s.next()
	s.records = append(s.records, LogRecord{Offset: offset, ID: id, Body: body})
	s.bytes += len(body)
	s.trim(l.settings.Retention)
	l.counts.Appended++
	l.wake()
	return offset, true
}

// admit takes one append from the rate limit.
func (l *Log) admit() bool {
	rate := l.settings.AppendsPerSecond
	if rate < 0 {
		return true
	}
	if rate == 0 {
		rate = defaultRate
	}
	capacity := max(1, float64(rate)/10)
	now := l.Clock.Now()
	if l.filled == 0 {
		l.tokens = capacity
	} else {
		l.tokens = min(capacity, l.tokens+float64(now-l.filled)*float64(rate)/float64(timer.Second))
	}
	l.filled = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// wake ends the wait of all reads; they look at the state again.
func (l *Log) wake() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// wait returns a channel that is closed at the next change.
func (l *Log) wait() <-chan struct{} {
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}

func (s *logStream) next() uint64 { return s.first + uint64(len(s.records)) }

// trim drops the oldest records beyond the retention, and beyond the memory bound.
func (s *logStream) trim(retention int) {
	if retention <= 0 {
		retention = defaultRetention
	}
	n := 0
	for n < len(s.records) && (len(s.records)-n > retention || s.bytes > maxStreamBytes) {
		s.bytes -= len(s.records[n].Body)
		s.records[n] = LogRecord{} // frees the body before the list is copied at its next growth
		n++
	}
	s.records = s.records[n:]
	s.first += uint64(n)
}

// page returns the records from an offset on, within the bounds of a page.
func (s *logStream) page(from uint64, limit int) []LogRecord {
	if from < s.first || from >= s.next() {
		return nil
	}
	rest := s.records[from-s.first:]
	n, bytes := 0, 0
	for n < len(rest) && n < limit && (n == 0 || bytes+len(rest[n].Body) <= maxPageBytes) {
		bytes += len(rest[n].Body)
		n++
	}
	return append([]LogRecord(nil), rest[:n]...)
}
