package starter

import (
	_ "embed"
	"fmt"

	"github.com/crocuslb/crocuslb/interpreter"
)

// States and events of the charts.
const (
	stateReceived  = "received"
	stateWaiting   = "waiting"
	stateRunning   = "running"
	stateEnded     = "ended"
	stateCollected = "collected"

	eventOpen       = "open"
	eventWait       = "wait"
	eventRefuse     = "refuse"
	eventEnd        = "end"
	eventNotStarted = "notStarted"
	eventCollect    = "collect"
	eventExpire     = "expire"

	leaseHeld  = "held"
	eventRenew = "renew"
	eventLapse = "lapse"

	domainInForce   = "inForce"
	domainWithdrawn = "withdrawn"
	domainReturning = "returning"
	eventEnforce    = "enforce"
	eventWithdraw   = "withdraw"
	eventSucceed    = "succeed"
)

var (
	//go:embed attempt.chart
	attemptText string
	//go:embed lease.chart
	leaseText string
	//go:embed domain.chart
	domainText string

	attemptChart = interpreter.MustParse("attempt.chart", attemptText)
	leaseChart   = interpreter.MustParse("lease.chart", leaseText)
	domainChart  = interpreter.MustParse("domain.chart", domainText)
)

// nextState returns the state that follows state on event. It panics if the chart refuses the event: the core checks
// each message against the state first, so a refused event is a bug.
func nextState(c interpreter.Chart, state, event string) string {
	next, err := c.Step(state, event)
	if err != nil {
		panic(fmt.Sprintf("starter: %v", err))
	}
	return next
}
