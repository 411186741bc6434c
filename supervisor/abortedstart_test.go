package supervisor

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestAbortedStart guards against a task that crashes its backend server before its start is answered and is started without
// end because no crash counts, and against a crash that counts although the backend server only ended a connection.
func TestAbortedStart(t *testing.T) {
	refuse := func(f *fixture) { f.crash() }
	listAs := func(startTime uint64) func(f *fixture) {
		return func(f *fixture) {
			h, _ := f.k.BeginHold(f.now)
			f.k.OnHoldResponse(f.now, HoldResponse{Number: h.Number, StartTime: startTime, Clock: int64(f.now)})
		}
	}
	cases := []struct {
		name   string
		status StartStatus
		next   func(f *fixture) // what is heard of the backend server
		want   marshaler.Status
		late   marshaler.Status // wanted if the end of the call is handled after that
	}{
		{"connections refused", StartAborted, refuse, marshaler.StatusCrashed, marshaler.StatusCrashed},
		{"restarted", StartAborted, listAs(20), marshaler.StatusCrashed, marshaler.StatusRefused}, // the next incarnation may have ended the connection
		{"same incarnation", StartAborted, listAs(10), marshaler.StatusRefused, marshaler.StatusRefused},
		{"no answer, connections refused", StartUnknown, refuse, marshaler.StatusLost, marshaler.StatusLost},
		{"no answer, restarted", StartUnknown, listAs(20), marshaler.StatusRefused, marshaler.StatusRefused},
	}
	for _, c := range cases {
		for _, late := range []bool{false, true} {
			f := newFixture()
			f.start(firstRun, 3000)
			want := c.want
			if late {
				c.next(f)
				want = c.late
			}
			f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: c.status})
			c.next(f)
			f.k.OnStopped(firstRun, true)
			listAs(f.k.backend.StartTime)(f)
			if got := f.latestStatus(); got != want {
				t.Errorf("%s, late %v: got %s, want %s", c.name, late, got, want)
			}
		}
	}
}
