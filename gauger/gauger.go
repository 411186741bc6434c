// Package gauger computes the load of a process from periodic readings and classifies it. It is a pure state machine:
// the readings come in as arguments.
package gauger

import (
	"math"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	// Normal is the class of a process with spare capacity.
	Normal Class = iota + 1
	// Busy is the class of a process that is neither normal nor overloaded. It handles its own work, but takes none from
	// others.
	Busy
	// Overloaded is the class of a process that cannot keep up with its work.
	Overloaded
)

const (
	// Interval is the time between two readings.
	Interval = 100 * timer.Millisecond
	// smoothingTime is the time constant of the moving averages.
	smoothingTime = 500 * timer.Millisecond
	// overloadUse and overloadDelay are the processor use and the loop delay above which a process is overloaded.
	overloadUse   = 0.9
	overloadDelay = 50 * timer.Millisecond
	// normalUse and normalDelay are the processor use and the loop delay below which a process is normal. The distance to
	// the limits above keeps the class from alternating.
	normalUse   = 0.7
	normalDelay = 20 * timer.Millisecond
	// riseTime and fallTime are how long a condition must hold before the class rises or falls.
	riseTime = 300 * timer.Millisecond
	fallTime = timer.Second
	// millicoresPerCore converts Gauger.Share to cores.
	millicoresPerCore = 1000
)

type (
	// Class classifies a load. The zero value means that the load is unknown.
	Class uint8

	// Reading is one measurement of a process.
	Reading struct {
		Time          timer.Millis
		ProcessorTime timer.Millis // used since the start of the process
		LoopDelay     timer.Millis // time that an event waited for the event loop
		Bytes         uint64       // sent since the start of the process
		MemoryBytes   uint64       // in use
	}

	// Load is a smoothed load.
	Load struct {
		Class          Class
		ProcessorUse   float64 // processor time used, as a fraction of the process's share
		LoopDelay      timer.Millis
		BytesPerSecond uint64
		MemoryBytes    uint64
	}

	// Gauger smooths the readings of one process. Share must be set before the first call.
	Gauger struct {
		Share uint64 // processor share of the process in millicores; 0 if unknown

		last                Reading
		started             bool
		class               Class
		use, delay, traffic float64 // moving averages; the delay is in milliseconds
		high, raised, low   condition
	}

	// condition is the time since which a condition holds.
	condition struct {
		holds bool
		since timer.Millis
	}
)

// String returns the name of the class as used in logs.
func (c Class) String() string {
	names := [...]string{"unknown", "normal", "busy", "overloaded"}
	if int(c) < len(names) {
		return names[c]
	}
	return names[0]
}

// Add adds a reading and returns the load. The first reading only sets the counters' base. A reading that is not later
// than the previous one is ignored.
func (g *Gauger) Add(r Reading) Load {
	elapsed := r.Time - g.last.Time
	switch {
	case !g.started:
		g.started, g.last, g.class = true, r, Normal
	case elapsed > 0:
		g.smooth(r, elapsed)
		g.classify(r.Time)
		g.last = r
	}
	return Load{
		Class: g.class, ProcessorUse: g.use, LoopDelay: timer.Millis(math.Round(g.delay)), BytesPerSecond: uint64(g.traffic),
		MemoryBytes: g.last.MemoryBytes,
	}
}

// smooth updates the moving averages with a reading.
func (g *Gauger) smooth(r Reading, elapsed timer.Millis) {
	weight := 1 - math.Exp(-float64(elapsed)/float64(smoothingTime))
	average := func(value *float64, reading float64) { *value += weight * (reading - *value) }
	if g.Share > 0 {
		available := float64(elapsed) * float64(g.Share) / millicoresPerCore
		average(&g.use, float64(max(r.ProcessorTime-g.last.ProcessorTime, 0))/available)
	}
	average(&g.delay, float64(max(r.LoopDelay, 0)))
	if r.Bytes >= g.last.Bytes {
		average(&g.traffic, float64(r.Bytes-g.last.Bytes)*float64(timer.Second)/float64(elapsed))
	}
}

// classify updates the class. An overloaded process becomes normal without being busy in between.
func (g *Gauger) classify(now timer.Millis) {
	low := g.use < normalUse && g.delay < float64(normalDelay)
	high := g.use > overloadUse || g.delay > float64(overloadDelay)
	highFor, raisedFor, lowFor := g.high.lasts(now, high), g.raised.lasts(now, !low), g.low.lasts(now, low)
	switch {
	case highFor >= riseTime:
		g.class = Overloaded
	case lowFor >= fallTime:
		g.class = Normal
	case g.class == Normal && raisedFor >= riseTime:
		g.class = Busy
	}
}

// lasts sets whether a condition holds and returns for how long it has.
func (c *condition) lasts(now timer.Millis, holds bool) timer.Millis {
	if !holds || !c.holds {
		*c = condition{holds: holds, since: now}
	}
	return now - c.since
}
