package explainer

import (
	"encoding/json"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/submitter"
	"github.com/crocuslb/crocuslb/timer"
)

type (
	errorDocument struct {
		Error string `json:"error"`
	}

	document struct {
		Verdict          string         `json:"verdict"`
		Queue            string         `json:"queue"`
		Service          string         `json:"service"`
		Durable          bool           `json:"durable,omitempty"`
		Refusal          string         `json:"refusal,omitempty"`
		RetryAfter       timer.Millis   `json:"retryAfterMs,omitempty"`
		Steps            []stepDocument `json:"steps"`
		LaterSteps       int            `json:"laterSteps,omitempty"`
		Forwarded        bool           `json:"forwarded"`
		Asked            viewDocument   `json:"asked"`
		Placing          viewDocument   `json:"placing"`
		WithdrawnDomains []string       `json:"withdrawnDomains,omitempty"`
	}

	viewDocument struct {
		Entry            string       `json:"entry"`
		Version          uint64       `json:"version"`
		Offset           uint64       `json:"offset"`
		NewestOffset     uint64       `json:"newestOffset"`
		ConfigurationAge timer.Millis `json:"configurationAgeMs"`
		LoopDelay        timer.Millis `json:"loopDelayMs"`
		SinceTick        timer.Millis `json:"sinceTickMs"`
		Pause            timer.Millis `json:"pauseMs"`
		SincePause       timer.Millis `json:"sincePauseMs"`
	}

	stepDocument struct {
		Step       uint64             `json:"step"`
		Tasks      uint64             `json:"tasks"`
		Verdict    string             `json:"verdict"`
		Reason     string             `json:"reason,omitempty"`
		RetryAfter timer.Millis       `json:"retryAfterMs,omitempty"`
		Late       bool               `json:"late"`
		Wait       timer.Millis       `json:"forecastWaitMs"`
		Slack      timer.Millis       `json:"slackMs"`
		MaxWait    timer.Millis       `json:"maxWaitMs"`
		Queued     uint64             `json:"queuedRequests"`
		Ahead      uint64             `json:"requestsBefore"`
		Granted    uint64             `json:"grantedTasks"`
		Workers    []workerDocument   `json:"workers"`
		Excluded   []excludedDocument `json:"excluded"`
		Known      uint64             `json:"knownWorkers"`
		NewestLoad timer.Millis       `json:"newestLoadMs"`
		OldestLoad timer.Millis       `json:"oldestLoadMs"`
	}

	workerDocument struct {
		Name         string       `json:"name"`
		Domain       string       `json:"domain"`
		Tasks        uint64       `json:"tasks"`
		Reason       string       `json:"reason"`
		CPU          int64        `json:"freeMillicores"`
		MemoryMB     int64        `json:"freeMemoryMb"`
		Accelerators int64        `json:"freeAccelerators"`
		Speed        uint64       `json:"speedThousandths"`
		ExpectedRun  timer.Millis `json:"expectedRunMs"`
		LoadAge      timer.Millis `json:"loadAgeMs"`
	}

	excludedDocument struct {
		Reason  string `json:"reason"`
		Workers uint64 `json:"workers"`
		Example string `json:"example"`
	}
)

// Encode returns the JSON document of an explanation.
func Encode(e *submitter.Explanation) []byte {
	d := document{
		Verdict: e.Verdict().String(), Queue: e.Queue, Service: e.Service, Durable: e.Durable, Refusal: e.Answer.Reason, RetryAfter: e.Answer.RetryAfter,
		LaterSteps: e.LaterSteps, Asked: viewDocument(e.Asked), Placing: viewDocument(e.Placing), WithdrawnDomains: e.WithdrawnDomains,
		Forwarded: e.Placing.Entry != "" && e.Placing.Entry != e.Asked.Entry, Steps: []stepDocument{},
	}
	for i := range e.Steps {
		d.Steps = append(d.Steps, encodeStep(&e.Steps[i]))
	}
	body, _ := json.Marshal(&d) // contains only encodable types
	return append(body, '\n')
}

func encodeStep(s *marshaler.StepExplanation) stepDocument {
	d := stepDocument{
		Step: s.Step, Tasks: s.Tasks, Verdict: s.Verdict.String(), Reason: s.Reason, RetryAfter: s.RetryAfter, Late: s.Late, Wait: s.Wait, Slack: s.Slack,
		MaxWait: s.MaxWait, Queued: s.Queued, Ahead: s.Ahead, Granted: s.Granted, Known: s.Known, NewestLoad: s.NewestLoad, OldestLoad: s.OldestLoad,
		Workers: []workerDocument{}, Excluded: []excludedDocument{},
	}
	for _, w := range s.Workers {
		d.Workers = append(d.Workers, workerDocument{
			w.Name, w.Domain, w.Tasks, w.Reason, w.Free.CPU, w.Free.MemoryMB, w.Free.Accelerators, w.Speed, w.ExpectedRun, w.LoadAge,
		})
	}
	for _, e := range s.Excluded {
		d.Excluded = append(d.Excluded, excludedDocument(e))
	}
	return d
}

// decode parses the document of an explanation.
func decode(body []byte) (d document, err error) {
	if err := json.Unmarshal(body, &d); err != nil {
		return d, trace.BadParameter("the answer is not an explanation; -entry wants the metrics address of an entry: %v", err)
	}
	if d.Verdict == "" {
		return d, trace.BadParameter("the answer is not an explanation; -entry wants the metrics address of an entry")
	}
	return d, nil
}

// decodeError returns the error in the body of an answer, or "".
func decodeError(body []byte) string {
	var d errorDocument
	_ = json.Unmarshal(body, &d) // the caller reports the status if there is no text
	return d.Error
}

func writeError(w http.ResponseWriter, status int, text string) {
	body, _ := json.Marshal(&errorDocument{text}) // contains only encodable types
	writeBody(w, status, append(body, '\n'))
}

func writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails only when the caller has disconnected
}
