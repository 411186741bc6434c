package commander

import (
	"bytes"
	"context"
	"regexp"
	"strconv"
	"testing"

	"github.com/crocuslb/crocuslb/emulator"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// Messages per task are a target, so each message must be counted under its own type, tasks' messages exactly once.
func TestMessageCounters(t *testing.T) {
	p, _, stop := startEntry(t, timer.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	url, err := (&emulator.Backend{}).Serve(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	startSidecar(ctx, p, url)
	j := encoder.Job{Key: "k", Tasks: make([]encoder.JobTask, 3)}
	for i := range j.Tasks {
		j.Tasks[i] = encoder.JobTask{Kind: "k", Payload: []byte(`{"runMs":1}`)}
	}
	if a := p.Entry.Submit(ctx, j); a.State != encoder.JobComplete {
		t.Fatalf("got %v %s, want a complete job", a.State, a.Reason)
	}
	var b bytes.Buffer
	p.writeMetrics(&b)
	read := func(series string) int {
		m := regexp.MustCompile(regexp.QuoteMeta("crocuslb_"+series) + ` (\d+)\n`).FindSubmatch(b.Bytes())
		if m == nil {
			t.Fatalf("got no %s", series)
		}
		n, _ := strconv.Atoi(string(m[1]))
		return n
	}
	refused := read(`received_messages_total{type="refusal"}`) // a slow machine may let the lease expire
	const many = 1 << 20
	for _, tc := range []struct {
		series   string
		min, max int
	}{
		{`sent_messages_total{type="start"}`, 3 + refused, 3 + refused},
		{`received_messages_total{type="result"}`, 3, 3},
		{`received_messages_total{type="grant"}`, 1, many},
		{`sent_messages_total{type="census"}`, 1, many},
		{`received_messages_total{type="censusReply"}`, 1, many},
		{`received_messages_total{type="ping"}`, 1, many},
		{`sent_messages_total{type="pong"}`, 1, many},
		{`sent_messages_total{type="recall"}`, 0, 0},
		{`sent_messages_total{type="result"}`, 0, 0},
		{`sent_messages_total{type="handover"}`, 0, 0},
	} {
		if got := read(tc.series); got < tc.min || got > tc.max {
			t.Errorf("%s: got %d, want %d to %d", tc.series, got, tc.min, tc.max)
		}
	}
	if err := stop(); err != nil {
		t.Error(err)
	}
}
