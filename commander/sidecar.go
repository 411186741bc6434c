package commander

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/starter"
	"github.com/crocuslb/crocuslb/timer"
)

func runSidecar(ctx context.Context, c call) int {
	v, logger := c.values, c.logger()
	keys, err := c.keys()
	if err != nil {
		return c.fail(err)
	}
	s := &starter.Sidecar{
		ID: identifier(v.Text("id"), roleSidecar), Incarnation: uint64(time.Now().UnixMicro()), Domain: v.Text(domain.Name), Worker: v.Text("worker"),
		Slots: uint32(v.Count("slots")), MemoryMB: uint64(v.Count("memoryMb")), Kinds: v.List("kinds"),
		Backend: v.Text("backendUrl"), Entries: v.List("entries"), TLS: keys, Log: logger,
	}
	members, err := c.startMember(ctx, logger, roleSidecar, s.ID, s.Incarnation)
	if err != nil {
		return c.fail(err)
	}
	defer members.stop()
	logger.WithFields(log.Fields{"id": s.ID, "backend": s.Backend}).Info("sidecar: started")
	if err := serveSidecar(ctx, s, v.Millis(drain.Name)); err != nil {
		logger.WithError(err).Error("sidecar: ended with an error")
		return ExitFailure
	}
	logger.Info("sidecar: ended")
	return ExitSuccess
}

// serveSidecar runs s until ctx ends, and then until it is drained or the time for that is over.
func serveSidecar(ctx context.Context, s *starter.Sidecar, drain timer.Millis) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- s.Run(running) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	s.Log.Info("sidecar: draining")
	draining, cancel := context.WithTimeout(running, drain.Duration())
	defer cancel()
	err := s.Drain(draining)
	stop()
	return trace.NewAggregate(err, <-ended)
}
