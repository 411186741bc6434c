package emulator

import (
	"net/http"
	"sync"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	defaultRate      = 500     // the platform specifies "several hundred appends a second"
	defaultRetention = 100_000 // records per stream
	maxStreams       = 64
	maxConnections   = 4096 // connections beyond this number cannot be stalled
	maxStreamBytes   = 64 << 20
	maxRecordBody    = 1 << 20
	maxRecordID      = 64
	maxPageRecords   = 1000
	maxPageBytes     = 8 << 20
)

type (
	// Log is an in-memory test double of the platform's log. It is an http.Handler for the streams and for /control.
	// The zero value is an empty log without faults. It does not deduplicate: record identifiers are stored, not
	// compared, so a repeated append stores the record again.
	Log struct {
		// Clock is the time source of the rate limit.
		Clock timer.Clock

		mu          sync.Mutex
		settings    LogSettings
		streams     map[string]*logStream
		tokens      float64
		refilledAt  timer.Millis // time of the last update of tokens; 0 before the first one
		changes     chan struct{}
		counts      LogCounts
		routes      *http.ServeMux
		connections map[string]bool // remote addresses of connections; true if stalled by SilenceConnections
	}

	// LogSettings are the faults and limits of a Log. They may be changed at run time.
	LogSettings struct {
		// AppendDelay is the delay before an append takes effect. An append takes effect even if its client cancels the
		// request.
		AppendDelay timer.Millis
		// ReadDelay is the delay before a read is processed.
		ReadDelay timer.Millis
		// Outage rejects every request with status 503; nothing is appended.
		Outage bool
		// Unresponsive leaves every request without a response; nothing is appended.
		Unresponsive bool
		// DropResponses is the number of following appends that take effect but whose response is dropped.
		DropResponses int
		// DropSilently keeps the connection of a dropped response open instead of closing it.
		DropSilently bool
		// Retention is the number of records retained per stream; 0 means 100,000.
		Retention int
		// AppendsPerSecond limits the append rate across all streams; 0 means 500, a negative value means no limit.
		AppendsPerSecond int
	}

	// LogCounts are the request counts since the log was created.
	LogCounts struct {
		Appended, Refused, Lost, Reads uint64
		// Hanging is the number of requests currently held without a response.
		Hanging uint64
	}

	// LogRecord is a record of a stream.
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

// ServeHTTP serves the API of the platform's log and /control.
func (l *Log) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	l.mu.Lock()
	if l.routes == nil {
		l.routes = l.mux()
	}
	routes := l.routes
	silent := l.connections[q.RemoteAddr]
	if !silent && len(l.connections) < maxConnections {
		if l.connections == nil {
			l.connections = map[string]bool{}
		}
		l.connections[q.RemoteAddr] = false
	}
	l.mu.Unlock()
	if silent && q.URL.Path != controlPath {
		l.hang(q)
	}
	routes.ServeHTTP(w, q)
}

// SilenceConnections permanently stalls every connection used so far: its requests get no response and have no effect.
// New connections work.
func (l *Log) SilenceConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for a := range l.connections {
		l.connections[a] = true
	}
}

// Settings returns the current settings.
func (l *Log) Settings() LogSettings {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.settings
}

// UpdateSettings changes the settings atomically. It also notifies waiting reads, so that an outage affects them at once.
func (l *Log) UpdateSettings(update func(s *LogSettings)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	update(&l.settings)
	for _, s := range l.streams {
		s.trim(l.settings.Retention)
	}
	l.notifyReaders()
}

// Counts returns the request counts since the log was created.
func (l *Log) Counts() LogCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Records returns the retained records of a stream. The record bodies are not copied.
func (l *Log) Records(stream string) []LogRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.streams[stream]; ok {
		return append([]LogRecord(nil), s.records...)
	}
	return nil
}

// Append stores a record regardless of the configured faults, for use in tests. ok is false if there are too many
// streams. The body is retained, not copied.
func (l *Log) Append(stream, id string, body []byte) (offset uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendLocked(stream, id, body)
}

// appendLocked stores a record; ok is false if there are too many streams. The caller holds the lock.
func (l *Log) appendLocked(stream, id string, body []byte) (offset uint64, ok bool) {
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
	l.notifyReaders()
	return offset, true
}

// takeToken takes one token from the token bucket of the append rate limit and reports whether there was one. The
// bucket holds a tenth of a second's appends.
func (l *Log) takeToken() bool {
	rate := l.settings.AppendsPerSecond
	if rate < 0 {
		return true
	}
	if rate == 0 {
		rate = defaultRate
	}
	burst := max(1, float64(rate)/10)
	now := l.Clock.Now()
	if l.refilledAt == 0 {
		l.tokens = burst
	} else {
		l.tokens = min(burst, l.tokens+float64(now-l.refilledAt)*float64(rate)/float64(timer.Second))
	}
	l.refilledAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// notifyReaders wakes all waiting reads, which then check the state again.
func (l *Log) notifyReaders() {
	if l.changes != nil {
		close(l.changes)
		l.changes = nil
	}
}

// nextChange returns a channel that is closed at the next change.
func (l *Log) nextChange() <-chan struct{} {
	if l.changes == nil {
		l.changes = make(chan struct{})
	}
	return l.changes
}

func (s *logStream) next() uint64 { return s.first + uint64(len(s.records)) }

// trim removes the oldest records beyond the retention limit and the memory limit.
func (s *logStream) trim(retention int) {
	if retention <= 0 {
		retention = defaultRetention
	}
	n := 0
	for n < len(s.records) && (len(s.records)-n > retention || s.bytes > maxStreamBytes) {
		s.bytes -= len(s.records[n].Body)
		s.records[n] = LogRecord{} // releases the body now rather than when the slice is next reallocated
		n++
	}
	s.records = s.records[n:]
	s.first += uint64(n)
}

// page returns the records from an offset on, up to the size limits of a page.
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
