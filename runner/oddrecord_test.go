package runner

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/crocuslb/crocuslb/consumer"
	"github.com/crocuslb/crocuslb/platform"
)

// deeplyNested is valid JSON that is nested more deeply than encoding/json decodes.
var deeplyNested = strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)

// sessionsLost returns how many sessions the processes have reported as lost.
func (tc *testCluster) sessionsLost() int {
	text := tc.logs.String()
	return strings.Count(text, "sidecar: entry disconnected") + strings.Count(text, "entry: entryLost") + strings.Count(text, "entry: sidecarLost")
}

// TestOddEntryAddresses guards against one record of another writer among the entries' addresses that ends the sessions
// of all processes again and again, or hides the records after it. Each process sends the addresses that it knows on each
// new session.
func TestOddEntryAddresses(t *testing.T) {
	cases := []struct{ name, key, value string }{
		{"deeply nested", "odd", deeplyNested},
		{"port out of range", "odd", "127.0.0.1:99999"},
		{"negative port", "odd", "127.0.0.1:-1"},
		{"no port", "odd", "127.0.0.1"},
		{"number too large", "odd", `{"Address":"127.0.0.1:7720","Slots":1e400}`},
		{"no text", "odd\xff", "\x00\xff\xfe:1"},
		{"name of another entry", "entry-0", "127.0.0.1:99999"},
	}
	tc := newTestCluster(t, 2, 2)
	tc.eventually("entry-0 connected to entry-1", func() bool { return strings.Count(tc.logs.String(), "entry: entryUp") >= 2 })
	for _, c := range cases {
		tc.store.Put(platform.TopicEntries, c.key, []byte(c.value))
	}
	tc.store.PutRaw(platform.TopicEntries, []byte{200, 'x'}) // has no readable key
	tc.startEntry(2)                                         // its sessions make the processes send the addresses that they know
	tc.eventually("a job at the entry whose record follows the odd ones", func() bool {
		status, _ := tc.post(tc.entryAddresses[2], "/a/", fmt.Sprintf("%016x", rand.Uint64()), 2, "5")
		return status == http.StatusOK
	})
	time.Sleep(500 * time.Millisecond) // time for several reconnections
	if got := tc.sessionsLost(); got != 0 {
		t.Errorf("got %d lost sessions after odd records, want 0", got)
	}
	tc.eventually("entry-0 registered again", func() bool {
		page, err := newStore(tc.address(250, 7000), 0).ReadLatest(tc.ctx, platform.TopicEntries)
		return err == nil && slices.ContainsFunc(page.Records, func(r consumer.Record) bool {
			return r.Key == "entry-0" && string(r.Value) == tc.address(1, 7720)
		})
	})
	if got := strings.Count(tc.logs.String(), "members: skipped"); got < len(cases) {
		t.Errorf("got %d reports of skipped records, want at least %d", got, len(cases))
	}
}
