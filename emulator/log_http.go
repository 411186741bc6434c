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
		l.refuse(w, http.StatusBadRequest, "stream name is malformed")
		return
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, q.Body, maxAppendRequest))
	if err != nil {
		l.refuse(w, http.StatusRequestEntityTooLarge, "request is too large or incomplete")
		return
	}
	var r logAppendWire
	if err := json.Unmarshal(b, &r); err != nil {
		l.refuse(w, http.StatusBadRequest, "request is not the expected JSON")
		return
	}
	if r.ID == "" || len(r.ID) > maxRecordID || len(r.Body) > maxRecordBody {
		l.refuse(w, http.StatusBadRequest, "record identifier is missing or too long, or body is too large")
		return
	}
	s := l.Settings()
	if s.Silent {
		l.hang(q)
	}
	if s.Outage {
		l.refuse(w, http.StatusServiceUnavailable, "log is not available")
		return
	}
	l.mu.Lock()
	admitted := l.admit()
	l.mu.Unlock()
	if !admitted {
		w.Header().Set("Retry-After", "1")
		l.refuse(w, http.StatusServiceUnavailable, "append rate is over the limit")
		return
	}
	if s.AppendDelay > 0 {
		// Not ended by the caller's context: a slow append takes effect even when its caller has given up.
		time.Sleep(s.AppendDelay.Duration())
	}
	l.mu.Lock()
	if l.settings.Outage || l.settings.Silent {
		silent := l.settings.Silent
		l.mu.Unlock()
		if silent {
			l.hang(q)
		}
		l.refuse(w, http.StatusServiceUnavailable, "log is not available")
		return
	}
	offset, ok := l.add(stream, r.ID, r.Body)
	lose, silently := ok && l.settings.LoseNext > 0, l.settings.LoseSilently
	if lose {
		l.settings.LoseNext--
		l.counts.Lost++
	}
	l.mu.Unlock()
	switch {
	case !ok:
		l.refuse(w, http.StatusBadRequest, "there are too many streams")
	case lose && silently:
		l.hang(q)
	case lose:
		panic(http.ErrAbortHandler) // closes the connection without an answer
	default:
		answer(w, http.StatusOK, logOffsetWire{Offset: offset})
	}
}

func (l *Log) handleRead(w http.ResponseWriter, q *http.Request) {
	stream := q.PathValue("stream")
	v := q.URL.Query()
	from, errFrom := number(v.Get("from"), 0)
	limit, errLimit := number(v.Get("limit"), maxPageRecords)
	wait, errWait := number(v.Get("waitMs"), 0)
	if !streamName.MatchString(stream) || errFrom != nil || errLimit != nil || errWait != nil || limit == 0 {
		answer(w, http.StatusBadRequest, logErrorWire{Error: "stream name, from, limit or waitMs is malformed"})
		return
	}
	l.mu.Lock()
	l.counts.Reads++
	delay := l.settings.ReadDelay
	l.mu.Unlock()
	if !pause(q.Context(), delay) {
		return
	}
	expired := time.NewTimer(min(timer.Millis(min(wait, uint64(maxReadWait))), maxReadWait).Duration())
	defer expired.Stop()
	for last := wait == 0; ; {
		l.mu.Lock()
		s := l.settings
		page := logPageWire{Records: []logRecordWire{}}
		if found, ok := l.streams[stream]; ok {
			page.First, page.Next = found.first, found.next()
			for _, r := range found.page(from, int(min(limit, maxPageRecords))) {
				page.Records = append(page.Records, logRecordWire(r))
			}
		}
		changed := l.wait()
		l.mu.Unlock()
		switch {
		case s.Silent:
			l.hang(q)
		case s.Outage:
			answer(w, http.StatusServiceUnavailable, logErrorWire{Error: "log is not available"})
			return
		case from < page.First:
			answer(w, http.StatusGone, logErrorWire{Error: "record is no longer retained", First: &page.First, Next: &page.Next})
			return
		case last || len(page.Records) > 0:
			answer(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-expired.C:
			last = true
		case <-q.Context().Done():
			return
		}
	}
}

// refuse answers an append that took no effect.
func (l *Log) refuse(w http.ResponseWriter, code int, text string) {
	l.mu.Lock()
	l.counts.Refused++
	l.mu.Unlock()
	appended := false
	answer(w, code, logErrorWire{Error: text, Appended: &appended})
}

func answer(w http.ResponseWriter, code int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err) // the wire structs always encode
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(b)
}

// number parses a decimal query parameter.
func number(s string, missing uint64) (uint64, error) {
	if s == "" {
		return missing, nil
	}
	return strconv.ParseUint(s, 10, 64)
}

// pause waits and reports whether the caller is still there.
func pause(ctx context.Context, d timer.Millis) bool {
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

// hang keeps the connection open without an answer until the caller gives up.
func (l *Log) hang(q *http.Request) {
	// The server notices a closed connection only when the body was read.
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
