package commander

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/starter"
	"github.com/crocuslb/crocuslb/timer"
)

func runSidecar(ctx context.Context, c invocation) int {
	v, logger := c.values, c.logger()
	tlsConfig, err := c.tlsConfig()
	if err != nil {
		return c.fail(err)
	}
	s := &starter.Sidecar{
		ID: idOrRandom(v.Text("id"), roleSidecar), Incarnation: uint64(time.Now().UnixMicro()), Domain: v.Text(domainSetting.Name), Worker: v.Text("worker"),
		Slots: uint32(v.Count("slots")), MemoryMB: uint64(v.Count("memoryMb")), Kinds: v.List("kinds"),
		Backend: v.Text("backendUrl"), Entries: v.List("entries"), TLS: tlsConfig, Log: logger,
	}
	members, err := c.startMembership(ctx, logger, roleSidecar, s.ID, s.Incarnation)
	if err != nil {
		return c.fail(err)
	}
	defer members.stop()
	logger.WithFields(log.Fields{"id": s.ID, "backend": s.Backend}).Info("sidecar: started")
	if err := serveSidecar(ctx, s, v.Millis(drainSetting.Name)); err != nil {
		logger.WithError(err).Error("sidecar: ended with an error")
		return ExitFailure
	}
	logger.Info("sidecar: ended")
	return ExitSuccess
}

// serveSidecar runs s until ctx is canceled, and then drains it for at most drainTimeout.
func serveSidecar(ctx context.Context, s *starter.Sidecar, drainTimeout timer.Millis) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := make(chan error, 1)
	go func() { done <- s.Run(runCtx) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	s.Log.Info("sidecar: draining")
	drainCtx, cancel := context.WithTimeout(runCtx, drainTimeout.Duration())
	defer cancel()
	err := s.Drain(drainCtx)
	stop()
	return trace.NewAggregate(err, <-done)
}
