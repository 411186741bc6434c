package recorder

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
)

// TestBlockedWriter checks that logging does not block while the reader of the logs does not read.
func TestBlockedWriter(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	r := &Handler{Writer: writer, BufferSize: 10_000, RateLimit: 1_000_000}
	done := make(chan struct{})
	go r.Run(done)
	defer close(done)
	logger := &log.Logger{Handler: r, Level: log.InfoLevel}
	logged := make(chan struct{})
	go func() {
		for range 5000 {
			logger.WithField("job", "00").Info("entry: answer")
		}
		close(logged)
	}()
	select {
	case <-logged:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocked while the reader did not read")
	}
	if r.Dropped() == 0 {
		t.Error("got 0 dropped lines, want those that exceed the buffer")
	}
}

// TestRateLimit checks that the volume of the log is limited and does not grow with the load.
func TestRateLimit(t *testing.T) {
	var out bytes.Buffer
	r := &Handler{Writer: &out, RateLimit: 100}
	logger := &log.Logger{Handler: r, Level: log.InfoLevel}
	for range 10_000 {
		logger.Info("entry: answer")
	}
	r.flush()
	if lines := strings.Count(out.String(), "\n"); lines > 250 || lines < 100 {
		t.Errorf("got %d lines, want 100 to 250 at a rate of 100", lines)
	}
	if got := r.Dropped() + uint64(strings.Count(out.String(), "\n")); got != 10_000 {
		t.Errorf("got %d lines written or counted as dropped, want 10000", got)
	}
}

// TestOutputIsValidJSON checks that each line is a valid JSON object that contains all fields.
func TestOutputIsValidJSON(t *testing.T) {
	cases := []log.Fields{
		{}, {"job": `quote " and \ and ` + "\n"}, {"n": 1, "m": int64(-2), "u": uint64(3)}, {"list": []string{"a"}, "none": []string(nil)},
		{"error": errors.New("x").Error()}, {"text": "äö"}, {"bad": "\xff"}, {"f": 1.5, "b": true},
	}
	for _, fields := range cases {
		var out bytes.Buffer
		r := &Handler{Writer: &out}
		(&log.Logger{Handler: r, Level: log.InfoLevel}).WithFields(fields).Info("part: text")
		r.flush()
		var got map[string]any
		if err := json.Unmarshal(out.Bytes(), &got); err != nil {
			t.Errorf("%v: got %q, want a JSON object: %v", fields, out.String(), err)
			continue
		}
		for name := range fields {
			if _, ok := got[name]; !ok {
				t.Errorf("%v: got no field %s in %q", fields, name, out.String())
			}
		}
	}
}
