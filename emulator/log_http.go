package emulator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	maxAppendRequest  = maxRecordBody*4/3 + 4096
	maxControlRequest = 4096
	controlPath       = "/control"
	maxReadWait       = 30 * timer.Second
)

type (
	logAppendWire struct {
		ID   string `json:"id"`
		Body []byte `json:"body"`
	}

	logOffsetWire struct {
		Offset uint64 `json:"offset"`
	}

	logRecordWire struct {
		Offset uint64 `json:"offset"`
		ID     string `json:"id"`
		Body   []byte `json:"body"`
	}

	logPageWire struct {
		First   uint64          `json:"first"`
		Next    uint64          `json:"next"`
		Records []logRecordWire `json:"records"`
	}

	logErrorWire struct {
		Error    string  `json:"error"`
		Appended *bool   `json:"appended,omitempty"`
		First    *uint64 `json:"first,omitempty"`
		Next     *uint64 `json:"next,omitempty"`
	}
)

var streamName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)

func (l *Log) mux() *http.ServeMux {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/streams/{stream}/records", l.handleAppend)
	m.HandleFunc("GET /v1/streams/{stream}/records", l.handleRead)
	m.HandleFunc("GET "+controlPath, l.handleStatus)
	m.HandleFunc("POST "+controlPath, l.handleControl)
	return m
}

func (l *Log) handleAppend(w http.ResponseWriter, q *http.Request) {
	stream := q.PathValue("stream")
	if !streamName.MatchString(stream) {
		l.refuseAppend(w, http.StatusBadRequest, "stream name is malformed")
		return
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxAppendRequest))
	if err != nil {
		l.refuseAppend(w, http.StatusRequestEntityTooLarge, "request body is too large or incomplete")
		return
	}
	var r logAppendWire
	if err := json.Unmarshal(b, &r); err != nil {
		l.refuseAppend(w, http.StatusBadRequest, "request body is not valid JSON or has unexpected types")
		return
	}
	if r.ID == "" || len(r.ID) > maxRecordID || len(r.Body) > maxRecordBody {
		l.refuseAppend(w, http.StatusBadRequest, "record identifier is missing or too long, or body is too large")
		return
	}
	s := l.Settings()
	if s.Unresponsive {
		l.hang(q)
	}
	if s.Outage {
		l.refuseAppend(w, http.StatusServiceUnavailable, "the log is unavailable")
		return
	}
	l.mu.Lock()
	admitted := l.takeToken()
	l.mu.Unlock()
	if !admitted {
		w.Header().Set("Retry-After", "1")
		l.refuseAppend(w, http.StatusServiceUnavailable, "append rate is over the limit")
		return
	}
	if s.AppendDelay > 0 {
		// Not canceled with the request: a slow append takes effect even if its client has given up.
		time.Sleep(s.AppendDelay.Duration())
	}
	l.mu.Lock()
	if l.settings.Outage || l.settings.Unresponsive {
		silent := l.settings.Unresponsive
		l.mu.Unlock()
		if silent {
			l.hang(q)
		}
		l.refuseAppend(w, http.StatusServiceUnavailable, "the log is unavailable")
		return
	}
	offset, ok := l.appendLocked(stream, r.ID, r.Body)
	drop, silently := ok && l.settings.DropResponses > 0, l.settings.DropSilently
	if drop {
		l.settings.DropResponses--
		l.counts.Lost++
	}
	l.mu.Unlock()
	switch {
	case !ok:
		l.refuseAppend(w, http.StatusBadRequest, "too many streams")
	case drop && silently:
		l.hang(q)
	case drop:
		panic(http.ErrAbortHandler) // closes the connection without a response
	default:
		writeJSON(w, http.StatusOK, logOffsetWire{Offset: offset})
	}
}

func (l *Log) handleRead(w http.ResponseWriter, q *http.Request) {
	stream := q.PathValue("stream")
	v := q.URL.Query()
	from, errFrom := parseQueryNumber(v.Get("from"), 0)
	limit, errLimit := parseQueryNumber(v.Get("limit"), maxPageRecords)
	wait, errWait := parseQueryNumber(v.Get("waitMs"), 0)
	if !streamName.MatchString(stream) || errFrom != nil || errLimit != nil || errWait != nil || limit == 0 {
		writeJSON(w, http.StatusBadRequest, logErrorWire{Error: "stream name, from, limit or waitMs is malformed"})
		return
	}
	l.mu.Lock()
	l.counts.Reads++
	delay := l.settings.ReadDelay
	l.mu.Unlock()
	if !sleep(q.Context(), delay) {
		return
	}
	expired := time.NewTimer(min(timer.Millis(min(wait, uint64(maxReadWait))), maxReadWait).Duration())
	defer expired.Stop()
	for final := wait == 0; ; {
		l.mu.Lock()
		s := l.settings
		page := logPageWire{Records: []logRecordWire{}}
		if found, ok := l.streams[stream]; ok {
			page.First, page.Next = found.first, found.next()
			for _, r := range found.page(from, int(min(limit, maxPageRecords))) {
				page.Records = append(page.Records, logRecordWire(r))
			}
		}
		changed := l.nextChange()
		l.mu.Unlock()
		switch {
		case s.Unresponsive:
			l.hang(q)
		case s.Outage:
			writeJSON(w, http.StatusServiceUnavailable, logErrorWire{Error: "the log is unavailable"})
			return
		case from < page.First:
			writeJSON(w, http.StatusGone, logErrorWire{Error: "record is no longer retained", First: &page.First, Next: &page.Next})
			return
		case final || len(page.Records) > 0:
			writeJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-expired.C:
			final = true
		case <-q.Context().Done():
			return
		}
	}
}

// refuseAppend rejects an append that had no effect.
func (l *Log) refuseAppend(w http.ResponseWriter, code int, text string) {
	l.mu.Lock()
	l.counts.Refused++
	l.mu.Unlock()
	appended := false
	writeJSON(w, code, logErrorWire{Error: text, Appended: &appended})
}

func writeJSON(w http.ResponseWriter, code int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err) // the wire structs can always be encoded
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(b)
}

// parseQueryNumber parses a decimal query parameter; an empty one has the default value.
func parseQueryNumber(s string, defaultValue uint64) (uint64, error) {
	if s == "" {
		return defaultValue, nil
	}
	return strconv.ParseUint(s, 10, 64)
}

// sleep waits for d and reports whether it elapsed before ctx was canceled.
func sleep(ctx context.Context, d timer.Millis) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// hang holds the request without a response until the client closes the connection.
func (l *Log) hang(q *http.Request) {
	// net/http detects a closed connection only after the request body has been read.
	_, _ = io.Copy(io.Discard, io.LimitReader(q.Body, maxAppendRequest))
	l.mu.Lock()
	l.counts.Hanging++
	l.mu.Unlock()
	<-q.Context().Done()
	l.mu.Lock()
	l.counts.Hanging--
	l.mu.Unlock()
	panic(http.ErrAbortHandler)
}
