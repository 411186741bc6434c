package supervisor

import (
	"slices"
	"testing"
)

// TestRefutedExit guards against two runs of one task that leave no record: the event says that a backend server answers
// after its runs were taken for ended, unless it has restarted.
func TestRefutedExit(t *testing.T) {
	cases := []struct {
		name      string
		startTime uint64 // in the hold response that follows
		want      []int64
	}{
		{"same incarnation", 10, []int64{1}},
		{"next incarnation", 20, nil},
	}
	for _, c := range cases {
		f := newFixture()
		var got []int64
		f.k.Report = func(e Event) {
			if e.Kind == "backendAlive" {
				got = append(got, e.Value)
			}
		}
		f.start(firstRun, 3000)
		f.k.OnStarted(f.now, StartResult{Run: firstRun, Status: StartConfirmed})
		f.list([]RunProgress{{Run: firstRun}})
		f.failHold(true, "refused")
		f.failHold(true, "refused")
		for range 2 {
			h, _ := f.k.BeginHold(f.now)
			f.k.OnHoldResponse(f.now, HoldResponse{Number: h.Number, StartTime: c.startTime, Clock: int64(f.now)})
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: got backendAlive with values %v, want %v", c.name, got, c.want)
		}
	}
}
