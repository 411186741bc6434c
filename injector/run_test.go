package injector

import (
	"context"
	"testing"
	"time"

	"github.com/crocuslb/crocuslb/launcher"
	"github.com/crocuslb/crocuslb/timer"
)

// TestRun is a short run of the fault runner with a fixed seed: separate processes under kills, pauses, planned stops,
// log outages and withdrawals. It requires zero violations of every kind; the number of complete jobs is only required
// to be positive.
func TestRun(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	directory := t.TempDir()
	if err := launcher.Build(ctx, directory); err != nil {
		t.Fatal(err)
	}
	report, err := Run(ctx, Plan{ProgramDir: directory, Seed: 1, Duration: 8 * timer.Second, FaultInterval: 700})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("\n%s", report)
	if got := report.Violations(); got != 0 {
		t.Errorf("got %d violations, want 0:\n%s", got, report)
	}
	if report.Complete == 0 {
		t.Error("no job completed, so the run tested nothing")
	}
}
