package commander

import (
	"bytes"
	"context"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"
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

// startEntry runs an entry with an emulated log until stop is called, and waits until it is ready.
func startEntry(t *testing.T, drain timer.Millis) (p *entryProcess, client server.Client, stop func() error) {
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
		HTTPAddress: "127.0.0.1:0", Token: operatorToken, DrainTimeout: drain,
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

// startSidecar runs a sidecar until ctx is canceled, and waits until the entry knows it.
func startSidecar(ctx context.Context, t *testing.T, p *entryProcess, backend *emulator.Backend) {
	t.Helper()
	url, err := backend.Serve(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &starter.Sidecar{ID: "s1", Domain: "d", Worker: "w", Backend: url, Entries: []string{p.Entry.Listen}, Log: p.Entry.Logger}
	go func() { _ = s.Run(ctx) }()
	for len(p.Entry.Status(ctx).Sidecars) == 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestDrainAnswersEveryRequest guards against closing the connection of a caller whose job outlasts the drain timeout.
// The caller must be answered with "running".
func TestDrainAnswersEveryRequest(t *testing.T) {
	p, client, stop := startEntry(t, timer.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	started := make(chan string, 1)
	startSidecar(ctx, t, p, &emulator.Backend{OnStart: func(task string) { started <- task }})
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
		r, err := client.Submit(ctx, "k", body)
		answered <- result{r, err}
	}()
	select {
	case <-started:
	case r := <-answered:
		t.Fatalf("got %d %s, %v before the task started", r.Status, r.Body, r.err)
	}
	_ = stop() // returns an error about the unfinished job
	if r := <-answered; r.err != nil || r.Status != 202 {
		t.Errorf("got %d %s, %v, want 202", r.Status, r.Body, r.err)
	}
}

// TestEntryProcess guards against faults in the wiring of an entry: readiness, notes with their differences and history,
// and a graceful stop.
func TestEntryProcess(t *testing.T) {
	p, client, stop := startEntry(t, 10*timer.Second)
	ctx := context.Background()
	note := []byte(`{"id":"n1","added":[{"key":"domain/north","value":"out"}]}`)
	r, err := client.Publish(ctx, note, false)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := server.DecodePublication(r.Body); err != nil || !got.Accepted || len(got.Differences) != 1 {
		t.Errorf("got %d %s, %v, want an accepted note with one difference", r.Status, r.Body, err)
	}
	if r, err = client.Publish(ctx, note, false); err != nil || r.Status != 409 {
		t.Errorf("got %d %s, %v for a note without its base, want 409", r.Status, r.Body, err)
	}
	if r, err = client.Return(ctx, "north", "me"); err != nil || r.Status != 200 {
		t.Errorf("got %d %s, %v, want an accepted return", r.Status, r.Body, err)
	}
	r, err = client.History(ctx, 10)
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

// TestMessageCounters guards against messages that are counted under another type, or more than once for a task. The
// number of messages per task is a performance target that is measured with these counters.
func TestMessageCounters(t *testing.T) {
	p, _, stop := startEntry(t, timer.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	startSidecar(ctx, t, p, &emulator.Backend{})
	task := encoder.JobTask{Kind: "k", Payload: []byte(`{"runMs":1}`)}
	if a := p.Entry.Submit(ctx, encoder.Job{Key: "k", Tasks: []encoder.JobTask{task, task, task}}); a.State != encoder.JobComplete {
		t.Fatalf("got %v %s, want a complete job", a.State, a.Reason)
	}
	var b bytes.Buffer
	p.writeMetrics(&b)
	refused := 0 // starts are refused if the lease expires, as it may on a slow machine
	_, rest, _ := strings.Cut(b.String(), `crocuslb_received_messages_total{type="refusal"} `)
	_, err := fmt.Sscan(rest, &refused)
	const positive = `[1-9]\d*`
	for _, tc := range []struct{ series, want string }{
		{`sent_messages_total{type="start"}`, strconv.Itoa(3 + refused)}, {`received_messages_total{type="result"}`, "3"},
		{`sent_messages_total{type="census"}`, positive}, {`received_messages_total{type="censusReply"}`, positive},
		{`received_messages_total{type="ping"}`, positive}, {`sent_messages_total{type="pong"}`, positive},
		{`received_messages_total{type="grant"}`, positive}, {`sent_messages_total{type="recall"}`, "0"},
		{`sent_messages_total{type="result"}`, "0"}, {`sent_messages_total{type="handover"}`, "0"},
	} {
		if !regexp.MustCompile("crocuslb_"+regexp.QuoteMeta(tc.series)+" "+tc.want+"\n").Match(b.Bytes()) || err != nil {
			t.Errorf("%s is not %s, or refusals are not counted (%v):\n%s", tc.series, tc.want, err, b.String())
		}
	}
	if err := stop(); err != nil {
		t.Error(err)
	}
}

// TestTaskReportAttribution guards against slow or failed tasks that are not attributed to their worker and failure
// domain, and against task reports that change the objectives, which count jobs only.
func TestTaskReportAttribution(t *testing.T) {
	const done, failed, unknown = encoder.StatusDone, encoder.StatusFailed, encoder.StatusUnknown
	tests := []struct {
		name string
		r    dispatcher.TaskReport
		want string // failure domains and workers that burn the budgets of response and success
	}{
		{"good", dispatcher.TaskReport{Domain: "d", Worker: "w", Status: done, RunTime: 112, ExpectedRunTime: 100}, "[] [] [] []"},
		{"slow", dispatcher.TaskReport{Domain: "d", Worker: "w", Status: done, RunTime: 113, ExpectedRunTime: 100}, "[{d 1 1 1}] [{w 1 1 1}] [] []"},
		{"no expectation", dispatcher.TaskReport{Domain: "d", Worker: "w", Status: done, RunTime: 113}, "[] [] [] []"},
		{"failed", dispatcher.TaskReport{Domain: "d", Worker: "w", Status: failed, RunTime: 9}, "[] [] [{d 1 1 1}] [{w 1 1 1}]"},
		{"unknown", dispatcher.TaskReport{Domain: "d", Worker: "w", Status: unknown}, "[] [] [{d 1 1 1}] [{w 1 1 1}]"},
		{"canceled", dispatcher.TaskReport{Domain: "d", Worker: "w", Status: failed, Canceled: true}, "[] [] [] []"},
		{"unknown place", dispatcher.TaskReport{Status: unknown}, "[] [] [] []"},
	}
	for _, tc := range tests {
		p := entryProcess{Entry: &dispatcher.Entry{}, reports: make(chan dispatcher.TaskReport)}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { p.observeTaskReports(ctx) })
		p.reports <- tc.r // the channel is unbuffered, so the report is observed before ctx is checked again
		cancel()
		running.Wait()
		p.enqueueTaskReport(tc.r)
		rows := p.Reporter.Report(p.Entry.Clock.Now()).Objectives
		got := fmt.Sprint(rows[0].Domains, rows[0].Workers, rows[1].Domains, rows[1].Workers)
		if got != tc.want || rows[0].Total+rows[1].Total != 0 || p.droppedReports.Load() != 1 {
			t.Errorf("%s: got %s, %d jobs, %d dropped; want %s, none, 1", tc.name, got, rows[0].Total+rows[1].Total, p.droppedReports.Load(), tc.want)
		}
	}
}
