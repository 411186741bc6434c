// Package forecaster forecasts how long the requests of a service wait for capacity: from the work that is queued before
// them, the work that is expected to arrive and to be ordered before them, and the rate at which the service's workers
// take up work. It uses no clock and no I/O, and is not safe for concurrent use.
//
// Work is in millicores times milliseconds, capacity in millicores.
package forecaster

import (
	"iter"
	"math"
	"slices"
	"strings"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	// arrivalWindow is the time constant of the averages of arrivals. It follows a burst within half a second.
	arrivalWindow = 500 * timer.Millisecond
	// meanWorkWindow is the time constant of the mean work of a queue's requests, which changes less than their rate.
	meanWorkWindow = 3 * timer.Second
	// efficiencyWindow is the time constant of the learned efficiency.
	efficiencyWindow = timer.Second
	minEfficiency    = 0.3
	maxEfficiency    = 1.2
	// maxObservation is the longest interval from which the efficiency is learned. In a longer one the process was paused and
	// granted nothing.
	maxObservation = 100 * timer.Millisecond
	// idleTime is the time without arrivals after which they are observed anew. The process was probably not the placing entry.
	idleTime = 2 * timer.Second
	// horizon bounds how far the present arrivals are extrapolated.
	horizon = 2 * timer.Second
	// learningTime is how long arrivals must have been observed before forecasts from their averages are usable.
	learningTime = 200 * timer.Millisecond
	// maxUtilization is the utilization from which on arrivals leave no capacity for late requests.
	maxUtilization = 0.95
	// overloadGap is the time without waiting requests after which an overload is over.
	overloadGap = 200 * timer.Millisecond
	// lateShare is the share of the capacity that late requests are expected to get after an overload.
	lateShare = 0.5
	// maxWait bounds a forecast, also when there is no capacity.
	maxWait = timer.Minute
	// maxQueues bounds the number of queues of a service. The averages of the one that was idle longest are dropped.
	maxQueues = 256
)

type (
	// Service is the forecast of a service. The zero value is ready to use.
	Service struct {
		capacity       float64
		efficiencyGain float64 // learned efficiency minus 1
		observedAt     timer.Millis
		firstArrivalAt timer.Millis
		lastArrivalAt  timer.Millis
		overloadedAt   timer.Millis // start of the current overload
		saturatedAt    timer.Millis // latest time at which requests waited
		arrived        bool
		queues         []queueAverages // sorted by name
	}

	// Arrivals are the averages of the arrivals of a queue.
	Arrivals struct {
		Queue string
		// Weight is the weight of the queue's requests in the cost of a refusal.
		Weight float64
		Rate   float64 // work per millisecond
		Slack  float64 // mean, in milliseconds
	}

	// queueAverages are the sums from which the averages of a queue are taken.
	queueAverages struct {
		name        string
		weight      float64
		work        Sum // over arrivalWindow
		slack       Sum // over arrivalWindow
		count       Sum // over arrivalWindow
		longWork    Sum // over meanWorkWindow
		longCount   Sum // over meanWorkWindow
		lastArrival timer.Millis
	}
)

// Clone returns a copy that shares no memory with s.
func (s *Service) Clone() Service {
	c := *s
	c.queues = slices.Clone(s.queues)
	return c
}

// SetCapacity sets the capacity of the accepting workers, weighted by their speeds.
func (s *Service) SetCapacity(capacity float64) { s.capacity = capacity }

// Observe learns the efficiency from the work that was granted since the previous call. saturated is set if requests
// waited for capacity during this time.
func (s *Service) Observe(now timer.Millis, granted float64, saturated bool) {
	elapsed := now - s.observedAt
	s.observedAt = now
	if saturated {
		if now-s.saturatedAt > overloadGap {
			s.overloadedAt = now
		}
		s.saturatedAt = now
	}
	if !saturated || elapsed <= 0 || elapsed > maxObservation || s.capacity == 0 {
		return
	}
	keep := math.Exp(-float64(elapsed) / float64(efficiencyWindow))
	s.efficiencyGain = keep*s.efficiencyGain + (1-keep)*(granted/(s.capacity*float64(elapsed))-1)
}

// OverloadTime returns how much longer the current overload is expected to last: as long as it has lasted. A crowd that
// comes at once after an outage is over soon, so requests that can wait for its end are not refused because of it.
func (s *Service) OverloadTime(now timer.Millis) timer.Millis {
	if s.saturatedAt == 0 || now-s.saturatedAt > overloadGap {
		return 0
	}
	return min(now-s.overloadedAt, horizon)
}

// Efficiency returns the rate at which work is granted under saturation, as a ratio to the capacity.
func (s *Service) Efficiency() float64 {
	return min(max(1+s.efficiencyGain, minEfficiency), maxEfficiency)
}

// DrainRate returns the work granted per millisecond under saturation.
func (s *Service) DrainRate() float64 { return s.capacity * s.Efficiency() }

// Arrive records the arrival of a request.
func (s *Service) Arrive(now timer.Millis, queue string, weight, work float64, slack timer.Millis) {
	if !s.arrived || now-s.lastArrivalAt > idleTime {
		s.firstArrivalAt, s.arrived = now, true
	}
	s.lastArrivalAt = now
	q := s.addQueue(now, queue)
	q.weight, q.lastArrival = weight, now
	q.work.Add(now, work, arrivalWindow)
	q.slack.Add(now, float64(slack), arrivalWindow)
	q.count.Add(now, 1, arrivalWindow)
	q.longWork.Add(now, work, meanWorkWindow)
	q.longCount.Add(now, 1, meanWorkWindow)
}

// Ready reports whether arrivals have been observed long enough for forecasts.
func (s *Service) Ready(now timer.Millis) bool {
	return s.arrived && now-s.firstArrivalAt >= learningTime
}

// Arrivals returns the averages of each queue.
func (s *Service) Arrivals(now timer.Millis) iter.Seq[Arrivals] {
	averaged := s.averaged(now)
	return func(yield func(Arrivals) bool) {
		for i := range s.queues {
			q := &s.queues[i]
			a := Arrivals{Queue: q.name, Weight: q.weight, Rate: q.work.Value(now, arrivalWindow) / averaged, Slack: ratio(q.slack.value, q.count.value)}
			if !yield(a) {
				return
			}
		}
	}
}

// Overtaking returns the work that is expected to arrive during the rest of an overload and to be ordered before a request
// that still has the given slack.
func (a *Arrivals) Overtaking(slack, overload timer.Millis) float64 {
	return a.Rate * min(max(float64(slack)-a.Slack, 0), float64(overload))
}

// averaged returns the time over which the sums of arrivals are effectively taken. It is shorter than arrivalWindow at
// first.
func (s *Service) averaged(now timer.Millis) float64 {
	observed := float64(now-s.firstArrivalAt) + 1
	return float64(arrivalWindow) * (1 - math.Exp(-observed/float64(arrivalWindow)))
}

// Utilization returns the arrival rate as a ratio to the drain rate.
func (s *Service) Utilization(now timer.Millis) float64 {
	var rate float64
	for i := range s.queues {
		rate += s.queues[i].work.Value(now, arrivalWindow)
	}
	if rate == 0 {
		return 0
	}
	return rate / s.averaged(now) / max(s.DrainRate(), 1)
}

// Wait returns the time until the given work is granted.
func (s *Service) Wait(work float64) timer.Millis { return wait(work, s.DrainRate()) }

// LateWait returns the time until the given work is granted from the capacity that arriving requests leave. During an
// overload they leave none.
func (s *Service) LateWait(now timer.Millis, work float64) timer.Millis {
	utilization := s.Utilization(now)
	if utilization >= maxUtilization {
		return s.OverloadTime(now) + wait(work, s.DrainRate()*lateShare)
	}
	return wait(work, s.DrainRate()*(1-utilization))
}

func wait(work, rate float64) timer.Millis {
	switch {
	case work <= 0:
		return 0
	case rate <= 0 || work/rate >= float64(maxWait):
		return maxWait
	}
	return timer.Millis(work / rate)
}

// MeanWork returns the mean work of a queue's requests, or 0 for an unknown queue.
func (s *Service) MeanWork(queue string) float64 {
	i, ok := s.find(queue)
	if !ok {
		return 0
	}
	return ratio(s.queues[i].longWork.value, s.queues[i].longCount.value)
}

func (s *Service) find(queue string) (int, bool) {
	return slices.BinarySearchFunc(s.queues, queue, func(q queueAverages, name string) int { return strings.Compare(q.name, name) })
}

func (s *Service) addQueue(now timer.Millis, name string) *queueAverages {
	i, ok := s.find(name)
	if ok {
		return &s.queues[i]
	}
	if len(s.queues) >= maxQueues {
		oldest := 0
		for n := range s.queues {
			if s.queues[n].lastArrival < s.queues[oldest].lastArrival {
				oldest = n
			}
		}
		s.queues = slices.Delete(s.queues, oldest, oldest+1)
		i, _ = s.find(name)
	}
	s.queues = slices.Insert(s.queues, i, queueAverages{name: name, lastArrival: now})
	return &s.queues[i]
}
