package reporter

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/crocuslb/crocuslb/timer"
)

func observeN(r *Reporter, at timer.Millis, n int, v Observation) {
	for range n {
		r.Observe(at, v)
	}
}

func approxEqual(got, want float64) bool { return math.Abs(got-want) < 1e-9 }

// TestBurn checks the burn rates, on which alerts are based, against values calculated by hand.
func TestBurn(t *testing.T) {
	const m = timer.Minute
	ok, bad := Observation{Response: 100, Ideal: 100}, Observation{Failed: true}
	slow := Observation{Response: 113, Ideal: 100}
	limit := Observation{Response: 112, Ideal: 100} // 100 * 1.10 + 2
	tests := []struct {
		name        string
		setUp       func(r *Reporter)
		now         timer.Millis
		row         int
		total, bad  uint64
		short, long float64
	}{
		{"nothing", func(*Reporter) {}, 0, successObjective, 0, 0, 0, 0},
		{"all good", func(r *Reporter) { observeN(r, m, 1000, ok) }, m, successObjective, 1000, 0, 0, 0},
		{"budget used exactly", func(r *Reporter) { observeN(r, m, 999, ok); observeN(r, m, 1, bad) }, m, successObjective, 1000, 1, 1, 1},
		{"all failed", func(r *Reporter) { observeN(r, m, 5, bad) }, m, successObjective, 5, 5, 1000, 1000},
		{"at the limit", func(r *Reporter) { observeN(r, m, 100, limit) }, m, responseObjective, 100, 0, 0, 0},
		{"slow", func(r *Reporter) { observeN(r, m, 98, limit); observeN(r, m, 2, slow) }, m, responseObjective, 100, 2, 2, 2},
		{"failed jobs have no response time", func(r *Reporter) { observeN(r, m, 9, bad) }, m, responseObjective, 0, 0, 0, 0},
		{"unknown ideal", func(r *Reporter) { observeN(r, m, 9, Observation{Response: 9999}) }, m, responseObjective, 0, 0, 0, 0},
		{"outside the short window", func(r *Reporter) { observeN(r, m, 1, bad); observeN(r, 20*m, 999, ok) }, 20 * m, successObjective, 1000, 1, 0, 1},
		{"outside the long window", func(r *Reporter) { observeN(r, m, 1, bad) }, 61 * m, successObjective, 0, 0, 0, 0},
		{"last minute of the long window", func(r *Reporter) { observeN(r, m, 1, bad) }, 60 * m, successObjective, 1, 1, 0, 1000},
		{"bucket is reused", func(r *Reporter) { observeN(r, m, 7, bad); observeN(r, 61*m, 1, ok) }, 61 * m, successObjective, 1, 0, 0, 0},
		{"time goes backwards", func(r *Reporter) { observeN(r, 50*m, 1, ok); observeN(r, 10*m, 1, bad) }, 10 * m, successObjective, 2, 1, 500, 500},
		{"late withdrawal", func(r *Reporter) { r.ObserveWithdrawal(m, "a", 3000); r.ObserveWithdrawal(m, "a", 3001) }, m, withdrawalObjective, 2, 1, 500, 500},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var r Reporter
			tc.setUp(&r)
			got := r.Report(tc.now).Objectives[tc.row]
			if got.Total != tc.total || got.Bad != tc.bad || !approxEqual(got.BurnShort, tc.short) || !approxEqual(got.BurnLong, tc.long) || !approxEqual(got.BudgetLeft, 1-tc.long) {
				t.Errorf("got %d of %d bad, burn %v and %v, left %v; want %d of %d, %v and %v, left %v",
					got.Bad, got.Total, got.BurnShort, got.BurnLong, got.BudgetLeft, tc.bad, tc.total, tc.short, tc.long, 1-tc.long)
			}
		})
	}
}

// TestContributors guards the order and shares of the failure domains and workers that used most of the error budget.
func TestContributors(t *testing.T) {
	var r Reporter
	observeN(&r, 0, 3, Observation{Domain: "a", Worker: "w1", Failed: true})
	observeN(&r, 0, 1, Observation{Domain: "b", Worker: "w2", Failed: true})
	observeN(&r, 0, 9, Observation{Domain: "c", Worker: "w3"})
	row := r.Report(0).Objectives[successObjective]
	if got, want := fmt.Sprint(row.Domains, row.Workers), "[{a 3 3 0.75} {b 1 1 0.25}] [{w1 3 3 0.75} {w2 1 1 0.25}]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// TestMemoryIsBounded guards against a table of names that grows as workers come and go, and against the eviction of a
// name that has bad events.
func TestMemoryIsBounded(t *testing.T) {
	var r Reporter
	for hour := range 4 {
		at := timer.Millis(hour) * 61 * timer.Minute
		for i := range maxWorkers {
			r.Observe(at, Observation{Worker: fmt.Sprintf("w%d-%d", hour, i), Failed: i == 7})
		}
		row := r.Report(at).Objectives[successObjective]
		if want := fmt.Sprintf("w%d-7", hour); len(r.workers.names) > maxWorkers || len(row.Workers) != 1 || row.Workers[0].Name != want {
			t.Fatalf("hour %d: got %d names and %v, want at most %d names and %s", hour, len(r.workers.names), row.Workers, maxWorkers, want)
		}
	}
}

func TestWrite(t *testing.T) {
	r := Reporter{Objectives: Objectives{SuccessTarget: 0.75}}
	observeN(&r, 0, 1, Observation{Domain: "<b>", Failed: true})
	for _, tc := range []struct{ format, want, without string }{
		{"text", "failure domain <b>: 100%", "NaN"}, {"json", `"budgetLeft":-3,`, "NaN"}, {"html", "<svg", "<b>"},
	} {
		var b bytes.Buffer
		if err := r.Report(0).Write(&b, tc.format); err != nil || !strings.Contains(b.String(), tc.want) || strings.Contains(b.String(), tc.without) {
			t.Errorf("%s: got %v, %s, want %q and no %q", tc.format, err, b.String(), tc.want, tc.without)
		}
		if tc.format == "json" && !json.Valid(b.Bytes()) {
			t.Errorf("got invalid JSON %s", b.String())
		}
	}
	if err := r.Report(0).Write(&bytes.Buffer{}, "pdf"); err == nil {
		t.Error("got no error for an unknown format")
	}
	var m Metrics
	m.AddBurnRates(&r, timer.Clock{NowFunc: func() timer.Millis { return 0 }})
	m.CountRequest("submit", 200, 5)
	var b bytes.Buffer
	m.Write(&b)
	for _, want := range []string{`crocuslb_burn_ratio{objective="success",window="long"}`, `crocuslb_http_requests_total{call="submit",status="200"} 1`} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("got metrics without %s", want)
		}
	}
}
