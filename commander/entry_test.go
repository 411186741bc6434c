package commander

import (
	"context"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/crocuslb/crocuslb/appender"
	"github.com/crocuslb/crocuslb/dispatcher"
	"github.com/crocuslb/crocuslb/emulator"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/server"
	"github.com/crocuslb/crocuslb/starter"
	"github.com/crocuslb/crocuslb/timer"
)

// startEntry runs an entry with a log double until stop is called, and waits until it is ready.
func startEntry(t *testing.T, drain timer.Millis) (p *entryProcess, c server.Client, stop func() error) {
	t.Helper()
	logs, stopLog := context.WithCancel(context.Background())
	t.Cleanup(stopLog)
	url, err := emulator.ServeLog(logs, "127.0.0.1:0", &emulator.Log{})
	if err != nil {
		t.Fatal(err)
	}
	listen, err := freeAddress(logs)
	if err != nil {
		t.Fatal(err)
	}
	p = &entryProcess{
		Entry: &dispatcher.Entry{
			ID: "e1", Listen: listen, Log: &appender.Client{URL: url}, Logger: &log.Logger{Handler: discard.New()},
		},
		Address: "127.0.0.1:0", Token: operatorToken, Drain: drain,
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	address, err := p.start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- p.serve(ctx) }()
	for !p.ready() {
		time.Sleep(time.Millisecond)
	}
	return p, server.Client{URL: "http://" + address, Token: operatorToken}, func() error {
		cancel()
		return <-ended
	}
}

// startSidecar runs a sidecar until ctx ends, and waits until the entry knows it.
func startSidecar(ctx context.Context, p *entryProcess, backend string) {
	s := &starter.Sidecar{ID: "s1", Domain: "d", Worker: "w", Backend: backend, Entries: []string{p.Entry.Listen}, Log: p.Entry.Logger}
	go func() { _ = s.Run(ctx) }()
	for len(p.Entry.Status(ctx).Sidecars) == 0 {
		time.Sleep(time.Millisecond)
	}
}

// A caller whose job outlasts the drain time must get an answer that is true, not a broken connection.
func TestDrainAnswersEveryRequest(t *testing.T) {
	p, c, stop := startEntry(t, timer.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	started := make(chan string, 1)
	backend := &emulator.Backend{OnStart: func(task string) { started <- task }}
	url, err := backend.Serve(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	startSidecar(ctx, p, url)
	body, err := server.EncodeJob(encoder.Job{Tasks: []encoder.JobTask{{Kind: "k", Payload: []byte(`{"runMs":30000}`)}}}, timer.Minute)
	if err != nil {
		t.Fatal(err)
	}
	type result struct {
		server.Response
		err error
	}
	answered := make(chan result, 1)
	go func() {
		r, err := c.Submit(ctx, "k", body)
		answered <- result{r, err}
	}()
	select {
	case <-started:
	case r := <-answered:
		t.Fatalf("got %d %s, %v before the task started", r.Status, r.Body, r.err)
	}
	_ = stop() // the job that is left over is reported
	if r := <-answered; r.err != nil || r.Status != 202 {
		t.Errorf("got %d %s, %v, want 202", r.Status, r.Body, r.err)
	}
}

// The wiring of the entry: health, notes with their differences and history, and a stop that ends by itself.
func TestEntryProcess(t *testing.T) {
	p, c, stop := startEntry(t, 10*timer.Second)
	ctx := context.Background()
	note := []byte(`{"id":"n1","added":[{"key":"domain/north","value":"out"}]}`)
	r, err := c.Publish(ctx, note, false)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := server.DecodePublication(r.Body); err != nil || !got.Accepted || len(got.Differences) != 1 {
		t.Errorf("got %d %s, %v, want an accepted note with one difference", r.Status, r.Body, err)
	}
	if r, err = c.Publish(ctx, note, false); err != nil || r.Status != 409 {
		t.Errorf("got %d %s, %v for a note without its base, want 409", r.Status, r.Body, err)
	}
	if r, err = c.Return(ctx, "north", "me"); err != nil || r.Status != 200 {
		t.Errorf("got %d %s, %v, want an accepted return", r.Status, r.Body, err)
	}
	r, err = c.History(ctx, 10)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := server.DecodeHistory(r.Body); err != nil || len(got) < 2 || got[len(got)-1].Note.ID != "n1" {
		t.Errorf("got %s, %v, want the history with n1 first", r.Body, err)
	}
	if err := stop(); err != nil {
		t.Errorf("got %v at the end, want none", err)
	}
	if a := p.Entry.Submit(context.Background(), encoder.Job{Key: "k"}); a.Code != encoder.CodeUnavailable {
		t.Errorf("got %v from an entry that has stopped, want unavailable", a)
	}
}
