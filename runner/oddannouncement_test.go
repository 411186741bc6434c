package runner

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/crocuslb/crocuslb/platform"
	"github.com/crocuslb/crocuslb/platform/platformtest"
	"github.com/crocuslb/crocuslb/supervisor"
)

// TestOddAnnouncements guards against an announcement of another writer that replaces the backend server of a sidecar: its
// runs count as lost though they continue, and its own announcements are refused as outdated from then on.
func TestOddAnnouncements(t *testing.T) {
	tc := newTestCluster(t, 1, 1)
	for _, c := range platformtest.OddAnnouncements("i-0", "svc", deeplyNested) {
		answered := make(chan string, 1)
		go func() {
			status, body := tc.post(tc.entryAddresses[0], "/a/", fmt.Sprintf("%016x", rand.Uint64()), 1, "400")
			answered <- fmt.Sprint(status, body)
		}()
		time.Sleep(100 * time.Millisecond) // the run has started
		before := tc.startsOn("i-0")
		if status, _ := tc.call(http.MethodPost, tc.address(100, 8002), c.Path, c.Body); status == http.StatusOK {
			t.Errorf("%s: got an acknowledgement, want none", c.Name)
		}
		if got, want := <-answered, `200{"State":"succeeded"}`; got != want || tc.startsOn("i-0") != before {
			t.Errorf("%s: got %s for a running job, starts %d, want %s, %d", c.Name, got, tc.startsOn("i-0"), want, before)
		}
		if status, _ := tc.post(tc.entryAddresses[0], "/a/", fmt.Sprintf("%016x", rand.Uint64()), 8, "5"); status != http.StatusOK {
			t.Errorf("%s: got %d for the next job, want 200", c.Name, status)
		}
	}
	tc.backends[0].Restart()
	tc.eventually("a job after a restart of the backend server", func() bool {
		status, _ := tc.post(tc.entryAddresses[0], "/a/", fmt.Sprintf("%016x", rand.Uint64()), 1, "5")
		return status == http.StatusOK
	})
}

// TestOddAnnouncementFirst guards against a sidecar that keeps to the announcement of another writer because it came
// before those of its backend server.
func TestOddAnnouncementFirst(t *testing.T) {
	tc := newTestCluster(t, 1, 1)
	tc.backends[0].SetFaults(platformtest.BackendFaults{NoHeartbeats: true})
	tc.stopProcess["sidecar-0"]()
	tc.store.Put(platform.TopicBackends, "sidecar-0", []byte(encodeDescriptor(supervisor.Backend{ID: "i-0", StartTime: 1 << 63, Service: "svc"})))
	tc.restartSidecar(0)
	tc.eventually("odd descriptor restored", func() bool { return strings.Contains(tc.logs.String(), "restored the backend server's descriptor") })
	tc.backends[0].SetFaults(platformtest.BackendFaults{})
	tc.eventually("a job on the backend server", func() bool {
		status, _ := tc.post(tc.entryAddresses[0], "/a/", fmt.Sprintf("%016x", rand.Uint64()), 1, "5")
		return status == http.StatusOK
	})
}

// startsOn returns the number of runs that a backend server has started.
func (tc *testCluster) startsOn(id string) int {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return tc.startedRuns[id]
}
