package forecaster

import (
	"math"

	"github.com/crocuslb/crocuslb/timer"
)

// Sum is a sum of amounts that decays with a time constant. The zero value is empty.
type Sum struct {
	value float64
	at    timer.Millis
}

// Add adds an amount. now must not decrease.
func (s *Sum) Add(now timer.Millis, amount float64, window timer.Millis) {
	s.value, s.at = s.Value(now, window)+amount, now
}

// Value returns the sum. The window must be the same in all calls.
func (s *Sum) Value(now, window timer.Millis) float64 {
	return s.value * math.Exp(-float64(now-s.at)/float64(window))
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
