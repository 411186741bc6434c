package commander

import (
	"context"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/crocuslb/crocuslb/appender"
	"github.com/crocuslb/crocuslb/dispatcher"
	"github.com/crocuslb/crocuslb/emulator"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/server"
	"github.com/crocuslb/crocuslb/timer"
)

// The wiring of the entry: health, notes with their differences and history, and a stop that ends by itself.
func TestEntryProcess(t *testing.T) {
	logs, stopLog := context.WithCancel(context.Background())
	defer stopLog()
	url, err := emulator.ServeLog(logs, "127.0.0.1:0", &emulator.Log{})
	if err != nil {
		t.Fatal(err)
	}
	p := &entryProcess{
		Entry: &dispatcher.Entry{
			ID: "e1", Listen: "127.0.0.1:0", Log: &appender.Client{URL: url}, Logger: &log.Logger{Handler: discard.New()},
		},
		Address: "127.0.0.1:0", Token: operatorToken, Drain: 10 * timer.Second,
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	address, err := p.start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- p.serve(ctx) }()
	c := server.Client{URL: "http://" + address, Token: operatorToken}
	for !p.ready() {
		if ctx.Err() != nil {
			t.Fatal("the entry did not join")
		}
	}
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
	stop()
	if err := <-ended; err != nil {
		t.Errorf("got %v at the end, want none", err)
	}
	if a := p.Entry.Submit(context.Background(), encoder.Job{Key: "k"}); a.Code != encoder.CodeUnavailable {
		t.Errorf("got %v from an entry that has stopped, want unavailable", a)
	}
}
