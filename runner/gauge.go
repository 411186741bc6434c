package runner

import (
	"context"
	"runtime/metrics"
	"time"

	"golang.org/x/sys/unix"

	"github.com/crocuslb/crocuslb/connector"
	"github.com/crocuslb/crocuslb/gauger"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// receivedPollInterval is the interval at which a stopping entry checks whether the jobs of other entries have ended.
	receivedPollInterval = 20 * time.Millisecond

	metricMemoryTotal    = "/memory/classes/total:bytes"
	metricMemoryReleased = "/memory/classes/heap/released:bytes"
)

// measureLoad passes the load of this process to the core every gauger.Interval until ctx is canceled. A reading is
// posted only after the previous one was handled.
func (e *Entry) measureLoad(ctx context.Context) {
	gauge := gauger.Gauger{Share: e.Weight}
	ticker := time.NewTicker(gauger.Interval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		posted := e.loop.clock.Now()
		e.query(ctx, func(now timer.Millis) bool {
			reading := readProcess(&e.node.Traffic)
			reading.Time = e.loop.clock.Now() // now is the time at which the batch of events began
			reading.LoopDelay = reading.Time - posted
			e.applyLoad(now, gauge.Add(reading))
			return true
		})
	}
}

// applyLoad passes a load to the core and sets the metrics.
func (e *Entry) applyLoad(now timer.Millis, l gauger.Load) {
	e.core.SetLoad(now, l)
	m := &e.monitor.metrics
	m.SetGauge("crocuslb_entry_processor_use_ratio", l.ProcessorUse)
	m.SetGauge("crocuslb_entry_loop_delay_seconds", l.LoopDelay.Duration().Seconds())
	m.SetGauge("crocuslb_entry_sent_bytes_per_second", float64(l.BytesPerSecond))
	m.SetGauge("crocuslb_entry_memory_bytes", float64(l.MemoryBytes))
	for _, class := range []gauger.Class{gauger.Normal, gauger.Busy, gauger.Overloaded} {
		m.SetGauge(`crocuslb_entry_load_class{class="`+class.String()+`"}`, oneIf(l.Class == class))
	}
	m.SetGauge("crocuslb_entry_placing", oneIf(e.core.Placing()))
	m.SetGauge(`crocuslb_open_handovers{direction="sent"}`, float64(e.core.HandedOverJobs()))
	m.SetGauge(`crocuslb_open_handovers{direction="received"}`, float64(e.core.ReceivedJobs()))
}

func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// readProcess reads the resources that this process has used.
func readProcess(traffic *connector.Traffic) (r gauger.Reading) {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err == nil { // it fails only for invalid arguments
		used := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
		r.ProcessorTime = timer.Millis(used.Milliseconds())
	}
	samples := []metrics.Sample{{Name: metricMemoryTotal}, {Name: metricMemoryReleased}}
	metrics.Read(samples)
	r.MemoryBytes = samples[0].Value.Uint64() - samples[1].Value.Uint64()
	for _, s := range traffic.Stats() {
		r.Bytes += s.Bytes
	}
	return r
}

// waitReceivedJobs waits until the jobs that other entries handed over are answered, or ctx is done.
func (e *Entry) waitReceivedJobs(ctx context.Context) error {
	for {
		open := e.query(ctx, func(timer.Millis) bool { return e.core.ReceivedJobs() > 0 })
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case !open:
			return nil
		}
		time.Sleep(receivedPollInterval)
	}
}
