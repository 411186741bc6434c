package dispatcher

import (
	_ "embed" // the state charts

	"github.com/crocuslb/crocuslb/interpreter"
)

const (
	submissionHeld    = "held"
	submissionOpen    = "open"
	submissionClosing = "closing"
	submissionMoved   = "moved"
	submissionEnded   = "ended"

	eventAdmit  = "admit"
	eventClose  = "close"
	eventEnd    = "end"
	eventMove   = "move"
	eventRegain = "regain"

	taskQueued  = "queued"
	taskStarted = "started"
	taskInDoubt = "doubt"
	taskDone    = "done"
	taskFailed  = "failed"
	taskUnknown = "unknown"
	taskDropped = "dropped"

	eventPlace   = "place"
	eventRecover = "recover"
	eventFinish  = "finish"
	eventFail    = "fail"
	eventForget  = "forget"
	eventLose    = "lose"
	eventRefuse  = "refuse"
	eventDrop    = "drop"
	eventRewind  = "rewind"

	takeoverSettled = "settled"
	takeoverWaiting = "waiting"
	takeoverAsking  = "asking"
	takeoverPartial = "partial"

	eventChange   = "change"
	eventMajority = "majority"
	eventAnswered = "answered"
	eventExpire   = "expire"
)

var (
	//go:embed submission.chart
	submissionChartText string
	//go:embed task.chart
	taskChartText string
	//go:embed takeover.chart
	takeoverChartText string

	submissionChart = interpreter.MustParse("submission.chart", submissionChartText)
	taskChart       = interpreter.MustParse("task.chart", taskChartText)
	takeoverChart   = interpreter.MustParse("takeover.chart", takeoverChartText)
)

// step applies the event to state. It returns false and leaves state unchanged if the chart refuses the event in this
// state, which happens for late and duplicate messages.
func step(c interpreter.Chart, state *string, event string) bool {
	next, err := c.Step(*state, event)
	if err != nil {
		return false
	}
	*state = next
	return true
}
