package soaker

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/crocuslb/crocuslb/platform/platformtest"
)

const (
	// lossInterval is the mean time between two losses.
	lossInterval = 3 * time.Second
	// minAway and maxAway bound how long the store turns an entry away. Its membership may or may not outlive that.
	minAway = 400 * time.Millisecond
	maxAway = 1300 * time.Millisecond
)

// losses are faults of backend servers that are gone without a word, and of a store that serves only some entries. Plan.Losses adds
// them.
var losses = []fault{
	{"server lost and silent", func(s *soak, _ context.Context, pick int, length time.Duration) { s.loseBackend(pick, length) }},
	{"server lost and silent with its sidecar's process", func(s *soak, ctx context.Context, pick int, length time.Duration) {
		s.faultGroup.Go(func() { s.kill(ctx, s.sidecar(pick), length/4) })
		s.loseBackend(pick, length)
	}},
	{"store turns an entry away", func(s *soak, _ context.Context, pick int, length time.Duration) {
		n, away := s.entry(pick), minAway+length%(maxAway-minAway)
		n.storeProxy.cut(away, true, true)
		s.store.ReassignFrom(n.name)
		time.Sleep(away)
		s.store.ReassignFrom("")
	}},
	{"partitions dealt away and back", func(s *soak, _ context.Context, pick int, _ time.Duration) {
		s.store.ReassignFrom(s.entry(pick).name)
		time.Sleep(time.Duration(pick%400) * time.Millisecond)
		s.store.ReassignFrom("")
	}},
}

// injectLosses injects losses beside the other faults until faultCtx is canceled. It draws from a random source of its own, so that the
// other faults of a seed remain as they are.
func (s *soak) injectLosses(faultCtx, ctx context.Context) { //nolint:revive // the two contexts are equals
	r := rand.New(rand.NewPCG(s.plan.Seed, 11))
	for {
		f, pick, length := losses[r.IntN(len(losses))], r.IntN(1<<20), time.Duration(200+r.IntN(3500))*time.Millisecond
		select {
		case <-faultCtx.Done():
			return
		case <-time.After(time.Duration(2 * r.Float64() * float64(lossInterval))):
		}
		s.start(ctx, f, pick, length)
	}
}

// loseBackend ends a backend server without a word. Another life of it starts later.
func (s *soak) loseBackend(pick int, length time.Duration) {
	b := s.backend(pick)
	b.SetFaults(platformtest.BackendFaults{Lost: true})
	b.Restart() // its runs are gone
	s.checker.onRestarted(b.ID)
	time.Sleep(length)
	s.restartBackend(pick)
	b.SetFaults(platformtest.BackendFaults{})
}
