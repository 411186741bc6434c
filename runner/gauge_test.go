package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/crocuslb/crocuslb/timer"
)

// TestOverloadedEntry guards against entries that do not measure the delay of their event loop, or do not hand jobs over
// while it is long.
func TestOverloadedEntry(t *testing.T) {
	tc := newTestCluster(t, 0, 2)
	var entries []*Entry
	for i := range 2 {
		o := tc.options(fmt.Sprintf("entry-%d", i), testDomain(i), 1+i)
		o.CallersAddress, o.ReadyAddress = tc.address(1+i, 8000), tc.address(1+i, 8001)
		o.Handover, o.Weight = true, 64_000 // the test's processes share one processor time
		entries = append(entries, &Entry{Options: o})
		tc.start(o.Name, entries[i].Run)
	}
	post := func() bool {
		status, body := tc.post(entries[0].CallersAddress, "/a/", fmt.Sprintf("%016x", rand.Uint64()), 1, "5")
		return status == http.StatusOK && strings.Contains(body, "succeeded")
	}
	tc.eventually("ready", post)
	ctx, cancel := context.WithCancel(tc.ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			entries[0].query(ctx, func(timer.Millis) bool { time.Sleep(300 * time.Millisecond); return true })
			time.Sleep(100 * time.Millisecond)
		}
	}()
	tc.eventually("a job is handed over and answered", func() bool {
		return post() && strings.Contains(tc.logs.String(), `"entry: handOverEnd"`) && strings.Contains(tc.logs.String(), `"entry: handOverReceived"`)
	})
	_, page := tc.call(http.MethodGet, entries[0].MetricsAddress, "/metrics", "")
	for _, want := range []string{`crocuslb_entry_load_class{class="overloaded"} 1`, "crocuslb_entry_memory_bytes ", `crocuslb_events_total{kind="handOver",detail="overloaded"}`} {
		if !strings.Contains(page, want) {
			t.Errorf("got no metric %q on the metrics page", want)
		}
	}
}

// TestHandoverSetting guards against a value that is misread as on.
func TestHandoverSetting(t *testing.T) {
	cases := []struct {
		value string
		want  bool
		valid bool
	}{
		{"on", true, true}, {"off", false, true}, {"", true, true}, {"false", false, false}, {"ON", false, false},
	}
	for _, c := range cases {
		args := []string{"-name", "e", "-domain", "d", "-ip", "127.0.0.1", "-storeAddress", "127.0.0.1:1", "-callersAddress", "127.0.0.1:2", "-handover", c.value}
		o, _, err := LoadOptions(roleEntry, args, nil)
		if o.Handover != c.want || (err == nil) != c.valid {
			t.Errorf("%q: got %v and error %v, want %v and valid %v", c.value, o.Handover, err, c.want, c.valid)
		}
	}
}
