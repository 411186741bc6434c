package emulator

import (
	"encoding/json"
	"net/http"

	"github.com/crocuslb/crocuslb/timer"
)

type (
	// controlWire holds the settings that a control request changes; omitted ones are unchanged.
	controlWire struct {
		AppendDelayMs    *int64 `json:"appendDelayMs,omitempty"`
		ReadDelayMs      *int64 `json:"readDelayMs,omitempty"`
		Outage           *bool  `json:"outage,omitempty"`
		Silent           *bool  `json:"silent,omitempty"`
		LoseNext         *int   `json:"loseNext,omitempty"`
		LoseSilently     *bool  `json:"loseSilently,omitempty"`
		Retention        *int   `json:"retention,omitempty"`
		AppendsPerSecond *int   `json:"appendsPerSecond,omitempty"`
		// SilenceConnections is an action, so it is not part of the status.
		SilenceConnections bool `json:"silenceConnections,omitempty"`
	}

	streamWire struct {
		First uint64 `json:"first"`
		Next  uint64 `json:"next"`
	}

	statusWire struct {
		Settings controlWire           `json:"settings"`
		Streams  map[string]streamWire `json:"streams"`
		Appended uint64                `json:"appended"`
		Refused  uint64                `json:"refused"`
		Lost     uint64                `json:"lost"`
		Reads    uint64                `json:"reads"`
	}
)

// handleStatus responds with the settings, stream offsets and counts. It works during an outage.
func (l *Log) handleStatus(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	s, c := l.settings, l.counts
	status := statusWire{
		Settings: controlWire{
			AppendDelayMs: (*int64)(&s.AppendDelay), ReadDelayMs: (*int64)(&s.ReadDelay), Outage: &s.Outage, Silent: &s.Unresponsive,
			LoseNext: &s.DropResponses, LoseSilently: &s.DropSilently, Retention: &s.Retention, AppendsPerSecond: &s.AppendsPerSecond,
		},
		Streams:  map[string]streamWire{},
		Appended: c.Appended, Refused: c.Refused, Lost: c.Lost, Reads: c.Reads,
	}
	for name, s := range l.streams {
		status.Streams[name] = streamWire{First: s.first, Next: s.next()}
	}
	l.mu.Unlock()
	writeJSON(w, http.StatusOK, status)
}

// handleControl changes the settings in the request and responds with the status.
func (l *Log) handleControl(w http.ResponseWriter, q *http.Request) {
	var c controlWire
	d := json.NewDecoder(http.MaxBytesReader(w, q.Body, maxControlRequest))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		writeJSON(w, http.StatusBadRequest, logErrorWire{Error: "control request is malformed: " + err.Error()})
		return
	}
	for _, n := range []*int64{c.AppendDelayMs, c.ReadDelayMs} {
		if n != nil && (*n < 0 || timer.Millis(*n) > 10*timer.Minute) {
			writeJSON(w, http.StatusBadRequest, logErrorWire{Error: "delay is not between 0 and 600000"})
			return
		}
	}
	l.UpdateSettings(func(s *LogSettings) {
		setIfPresent(&s.AppendDelay, (*timer.Millis)(c.AppendDelayMs))
		setIfPresent(&s.ReadDelay, (*timer.Millis)(c.ReadDelayMs))
		setIfPresent(&s.Outage, c.Outage)
		setIfPresent(&s.Unresponsive, c.Silent)
		setIfPresent(&s.DropResponses, c.LoseNext)
		setIfPresent(&s.DropSilently, c.LoseSilently)
		setIfPresent(&s.Retention, c.Retention)
		setIfPresent(&s.AppendsPerSecond, c.AppendsPerSecond)
	})
	if c.SilenceConnections {
		l.SilenceConnections()
	}
	l.handleStatus(w, q)
}

// setIfPresent sets *dst if src is not nil.
func setIfPresent[T any](dst *T, src *T) {
	if src != nil {
		*dst = *src
	}
}
