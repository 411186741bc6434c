package server

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strings"
	"unicode/utf8"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	maxBodySize    = 4 << 20
	maxHeaderSize  = 16 << 10
	maxTasks       = 1000
	maxKeyLength   = 200
	maxNameLength  = 100
	maxPayloadSize = 1 << 20
	maxDeadline    = 24 * 60 * timer.Minute
	maxRunTime     = 60 * timer.Minute
	maxMemoryMB    = 16 << 20
	maxWait        = timer.Minute
	defaultWait    = 30 * timer.Second
	maxFindings    = 50
	maxJobSize     = encoder.MaxFrameSize - 64<<10 // largest job that fits into one message with its envelope
)

const (
	notRun  = "notRun"
	unknown = "unknown"
	ran     = "ran"
)

type (
	// SubmitRequest is a decoded submission. Wait is the time for which the caller waits for the answer.
	SubmitRequest struct {
		Job  encoder.Job
		Wait timer.Millis
	}

	resultWire struct {
		Body       *string `json:"body,omitempty"`
		BodyBase64 *string `json:"bodyBase64,omitempty"`
	}

	answerWire struct {
		Key          string        `json:"key,omitempty"`
		State        string        `json:"state"`
		Results      []resultWire  `json:"results,omitempty"`
		Code         string        `json:"code,omitempty"`
		Reason       string        `json:"reason,omitempty"`
		Outcome      string        `json:"outcome,omitempty"`
		RetryAfterMs int64         `json:"retryAfterMs,omitempty"`
		Findings     []findingWire `json:"findings,omitempty"`
	}

	findingWire struct {
		Place  string `json:"place"`
		Reason string `json:"reason"`
	}
)

var (
	codeNames = [...]string{
		"", "task", "unknown", "deadline", "canceled", "overload", "quota", "unplaceable", "conflict", "unavailable",
		"notFound", "invalid",
	}
	outcomeNames = [...]string{"", notRun, ran, unknown}
	stateNames   = [...]string{"", "running", "complete", "failed"}
)

// DecodeJob decodes the body of a submission. It returns at most maxFindings findings; the request is valid only if
// there are none. A payload is either the UTF-8 text of the JSON string payload or the decoded base64 of payloadBase64.
func DecodeJob(key string, body []byte) (SubmitRequest, []Finding) {
	r := newJSONReader(body)
	req := SubmitRequest{Job: encoder.Job{Key: key}, Wait: defaultWait}
	checkKey(r, &fieldPath{name: "Idempotency-Key"}, key)
	hasTasks := false
	r.readObject(nil, func(name string, at *fieldPath) bool {
		switch name {
		case "team":
			req.Job.Team = r.readString(at, maxNameLength)
			checkName(r, at, req.Job.Team)
		case "tasks":
			hasTasks = true
			ok := r.readArray(at, maxTasks, func(at *fieldPath) {
				req.Job.Tasks = append(req.Job.Tasks, decodeTask(r, at))
			})
			if ok && len(req.Job.Tasks) == 0 {
				r.addFinding(at, "is empty")
			}
		case "deadlineMs":
			req.Job.Deadline = timer.Millis(r.readInt(at, 1, int64(maxDeadline)))
		case "once":
			req.Job.Once = r.readBool(at)
		case "waitMs":
			req.Wait = timer.Millis(r.readInt(at, 0, int64(maxWait)))
		default:
			return false
		}
		return true
	})
	if !hasTasks && !r.stopped {
		r.addFinding(&fieldPath{name: "tasks"}, "is missing")
	}
	if size := encodedJobSizeBound(req.Job); size > maxJobSize {
		r.addFinding(nil, "the decoded job has %d bytes, at most %d are allowed", size, maxJobSize)
	}
	return req, r.findings
}

func decodeTask(r *jsonReader, place *fieldPath) encoder.JobTask {
	var t encoder.JobTask
	payloadCount := 0
	ok := r.readObject(place, func(name string, at *fieldPath) bool {
		switch name {
		case "kind":
			t.Kind = r.readString(at, maxNameLength)
			checkName(r, at, t.Kind)
		case "payload":
			payloadCount++
			t.Payload = []byte(r.readString(at, maxPayloadSize))
		case "payloadBase64":
			payloadCount++
			t.Payload = r.readBase64(at, maxPayloadSize)
		case "runMs":
			t.RunTime = timer.Millis(r.readInt(at, 0, int64(maxRunTime)))
		case "memoryMb":
			t.MemoryMB = uint64(r.readInt(at, 0, maxMemoryMB))
		default:
			return false
		}
		return true
	})
	if ok && t.Kind == "" {
		r.addFinding(&fieldPath{parent: place, name: "kind"}, "is missing")
	}
	if payloadCount > 1 {
		r.addFinding(place, "has more than one payload")
	}
	return t
}

// checkKey accepts only characters that need no escaping in a URL path.
func checkKey(r *jsonReader, place *fieldPath, key string) {
	switch {
	case key == "":
		r.addFinding(place, "is missing")
	case len(key) > maxKeyLength:
		r.addFinding(place, "is longer than %d bytes", maxKeyLength)
	case strings.ContainsFunc(key, func(c rune) bool { return !isWordChar(c) && c != ':' && c != '~' }):
		r.addFinding(place, "holds a character other than letters, digits and -._~:")
	case strings.Trim(key, ".") == "":
		r.addFinding(place, "consists of dots only")
	}
}

// checkName accepts only names that are safe in URL paths, header fields and metric labels. It accepts an empty name.
func checkName(r *jsonReader, place *fieldPath, name string) {
	if name != "" && (strings.ContainsFunc(name, func(c rune) bool { return !isWordChar(c) }) || strings.Trim(name, ".") == "") {
		r.addFinding(place, "holds a character other than letters, digits and -._")
	}
}

func isWordChar(c rune) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.'
}

// encodedJobSizeBound returns an upper bound of the encoded size of a job.
func encodedJobSizeBound(j encoder.Job) int {
	const perTask = 32 // upper bound of the tags, lengths and numbers of one encoded task
	size := len(j.Key) + len(j.Team)
	for _, t := range j.Tasks {
		size += len(t.Kind) + len(t.Payload) + perTask
	}
	return size
}

// HTTPStatus returns the HTTP status of an answer. Of the statuses that imply that no task ran (4xx, 503), those but 404 and
// 409 are used only for answers with the outcome "not run". An entry gives 409 only with that outcome; 404 means that the
// key is not known, and the outcome may be unknown.
func HTTPStatus(a encoder.Answer) int {
	switch a.State {
	case encoder.JobComplete:
		return http.StatusOK
	case encoder.JobRunning:
		return http.StatusAccepted
	}
	switch a.Code {
	case encoder.CodeConflict:
		return http.StatusConflict
	case encoder.CodeNotFound:
		return http.StatusNotFound
	case encoder.CodeDeadline:
		return http.StatusGatewayTimeout
	}
	if a.Outcome != encoder.OutcomeNotRun {
		return http.StatusInternalServerError
	}
	switch a.Code {
	case encoder.CodeOverload, encoder.CodeUnavailable:
		return http.StatusServiceUnavailable
	case encoder.CodeQuota:
		return http.StatusTooManyRequests
	case encoder.CodeUnplaceable:
		return http.StatusUnprocessableEntity
	case encoder.CodeInvalid:
		return http.StatusBadRequest
	}
	return http.StatusInternalServerError
}

// EncodeAnswer encodes an answer as JSON. Results are included only in complete answers. Results that are text are
// encoded as strings, all others as base64.
func EncodeAnswer(a encoder.Answer) ([]byte, error) {
	w := answerWire{
		Key: a.Key, State: nameAt(stateNames[:], int(a.State)), Code: nameAt(codeNames[:], int(a.Code)), Reason: a.Reason,
		RetryAfterMs: int64(a.RetryAfter),
	}
	if a.State == encoder.JobFailed {
		w.Outcome = nameAt(outcomeNames[:], int(a.Outcome))
		if w.Outcome == "" {
			w.Outcome = unknown // nothing is known about the tasks, so neither "ran" nor "not run" may be claimed
		}
	}
	if a.State == encoder.JobComplete {
		w.Results = make([]resultWire, 0, len(a.Results))
		texts := make([]string, len(a.Results)) // backing array for the Body pointers, which saves one allocation per result
		for i, t := range a.Results {
			w.Results = append(w.Results, encodeResult(t.Body, &texts[i]))
		}
	}
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false) // answers are never embedded in HTML
	err := e.Encode(w)
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), err
}

// encodeResult encodes a body as a string if it is text, and as base64 otherwise. Text with control characters is
// encoded as base64 too, because JSON needs six bytes for each of them.
func encodeResult(body []byte, text *string) resultWire {
	control := func(c rune) bool { return c < ' ' && c != '\t' && c != '\n' && c != '\r' }
	if utf8.Valid(body) && bytes.IndexFunc(body, control) < 0 {
		*text = string(body)
		return resultWire{Body: text}
	}
	*text = base64.StdEncoding.EncodeToString(body)
	return resultWire{BodyBase64: text}
}

// nameAt returns the name at an index, or an empty string if the index is out of range.
func nameAt(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return ""
}
