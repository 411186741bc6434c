package runner

import (
	"context"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// TestEpochOnce guards against a partition that is owned again under the same epoch after its lease has expired: tasks whose
// runs are being stopped would be started at once, and the store rejects the writes.
func TestEpochOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // the writers end at once
	o := &partitionOwner{logger: &log.Logger{Handler: discard.Default}, loop: newEventLoop()}
	steps := []struct {
		name    string
		epoch   uint64
		release bool // before the step
		want    bool
	}{
		{"first epoch", 5, false, true},
		{"same epoch, owned", 5, false, true},
		{"same epoch after the release", 5, true, false},
		{"next epoch", 6, false, true},
	}
	for _, s := range steps {
		if s.release {
			o.releaseAll(ctx, true, "test")
		}
		if got := o.acquire(ctx, 1, s.epoch); got != s.want {
			t.Errorf("%s: got %v, want %v", s.name, got, s.want)
		}
	}
}
