package server

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/configurer"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const maxResponseSize = 64 << 20

type (
	// Client is a client of the HTTP API of an entry. URL is the base URL of the entry. Token is the bearer token of
	// operators; it is sent unless empty. A nil HTTP means http.DefaultClient.
	Client struct {
		URL   string
		Token string
		HTTP  *http.Client
	}

	// Response is the HTTP status and body of a response.
	Response struct {
		Status int
		Body   []byte
	}
)

// Submit submits a job, given as a JSON body, under an idempotency key.
func (c Client) Submit(ctx context.Context, key string, body []byte) (Response, error) {
	return c.call(ctx, http.MethodPost, "/v1/jobs", key, body)
}

// Get requests the state of a submission.
func (c Client) Get(ctx context.Context, key string) (Response, error) {
	return c.call(ctx, http.MethodGet, "/v1/jobs/"+url.PathEscape(key), "", nil)
}

// Cancel cancels a submission.
func (c Client) Cancel(ctx context.Context, key string) (Response, error) {
	return c.call(ctx, http.MethodDelete, "/v1/jobs/"+url.PathEscape(key), "", nil)
}

// Publish publishes a note, given as a JSON body. With dryRun the note is only checked.
func (c Client) Publish(ctx context.Context, body []byte, dryRun bool) (Response, error) {
	return c.call(ctx, http.MethodPost, "/v1/notes?dryRun="+strconv.FormatBool(dryRun), "", body)
}

// History requests the newest notes, at most limit.
func (c Client) History(ctx context.Context, limit int) (Response, error) {
	return c.call(ctx, http.MethodGet, "/v1/notes?limit="+strconv.Itoa(limit), "", nil)
}

// Withdraw withdraws a failure domain from service.
func (c Client) Withdraw(ctx context.Context, domain, author string) (Response, error) {
	return c.changeDomain(ctx, domain, "withdraw", author)
}

// Return returns a failure domain to service.
func (c Client) Return(ctx context.Context, domain, author string) (Response, error) {
	return c.changeDomain(ctx, domain, "return", author)
}

// Status requests the state of the entry.
func (c Client) Status(ctx context.Context) (Response, error) {
	return c.call(ctx, http.MethodGet, "/v1/status", "", nil)
}

// Burn requests the error-budget burn report. The format is text, json or html.
func (c Client) Burn(ctx context.Context, format string) (Response, error) {
	return c.call(ctx, http.MethodGet, "/v1/burn?format="+url.QueryEscape(format), "", nil)
}

func (c Client) changeDomain(ctx context.Context, domain, verb, author string) (Response, error) {
	path := "/v1/domains/" + url.PathEscape(domain) + "/" + verb
	if author != "" {
		path += "?author=" + url.QueryEscape(author)
	}
	return c.call(ctx, http.MethodPost, path, "", nil)
}

func (c Client) call(ctx context.Context, method, path, key string, body []byte) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.URL, "/")+path, bytes.NewReader(body))
	if err != nil {
		return Response{}, trace.Wrap(err)
	}
	if body != nil {
		req.Header.Set("Content-Type", contentJSON)
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return Response{}, trace.ConnectionProblem(err, "%s %s%s failed", method, c.URL, path)
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize+1))
	if err != nil {
		return Response{}, trace.ConnectionProblem(err, "reading the response to %s %s%s failed", method, c.URL, path)
	}
	if len(out) > maxResponseSize {
		return Response{}, trace.LimitExceeded("the response to %s %s%s is larger than %d bytes", method, c.URL, path, maxResponseSize)
	}
	return Response{Status: resp.StatusCode, Body: out}, nil
}

// EncodeJob encodes a job as the JSON body of a submission. Payloads are encoded as base64, which preserves every byte.
func EncodeJob(j encoder.Job, wait timer.Millis) ([]byte, error) {
	type taskWire struct {
		Kind          string `json:"kind"`
		PayloadBase64 string `json:"payloadBase64,omitempty"`
		RunMs         int64  `json:"runMs,omitempty"`
		MemoryMB      uint64 `json:"memoryMb,omitempty"`
	}
	w := struct {
		Team       string     `json:"team,omitempty"`
		Tasks      []taskWire `json:"tasks"`
		DeadlineMs int64      `json:"deadlineMs,omitempty"`
		Once       bool       `json:"once,omitempty"`
		WaitMs     int64      `json:"waitMs"`
	}{Team: j.Team, DeadlineMs: int64(j.Deadline), Once: j.Once, WaitMs: int64(wait)}
	for _, t := range j.Tasks {
		w.Tasks = append(w.Tasks, taskWire{t.Kind, base64.StdEncoding.EncodeToString(t.Payload), int64(t.RunTime), t.MemoryMB})
	}
	return json.Marshal(w)
}

// DecodeAnswer decodes the response to a call on a submission. It returns an error if the body is truncated or
// inconsistent.
func DecodeAnswer(body []byte) (encoder.Answer, error) {
	var w answerWire
	if err := json.Unmarshal(body, &w); err != nil {
		return encoder.Answer{}, trace.BadParameter("the answer is not valid JSON: %v", err)
	}
	a := encoder.Answer{
		Key: w.Key, State: encoder.JobState(slices.Index(stateNames[1:], w.State) + 1), Reason: w.Reason,
		Code:    encoder.FailureCode(max(0, slices.Index(codeNames[:], w.Code))),
		Outcome: encoder.Outcome(max(0, slices.Index(outcomeNames[:], w.Outcome))), RetryAfter: timer.Millis(w.RetryAfterMs),
	}
	if a.State == 0 {
		return a, trace.BadParameter("the answer has the unknown state %q", w.State)
	}
	for i, r := range w.Results {
		switch {
		case r.Body != nil:
			a.Results = append(a.Results, encoder.TaskResult{Body: []byte(*r.Body)})
		case r.BodyBase64 != nil:
			b, err := base64.StdEncoding.DecodeString(*r.BodyBase64)
			if err != nil {
				return a, trace.BadParameter("result %d is not valid base64", i)
			}
			a.Results = append(a.Results, encoder.TaskResult{Body: b})
		default:
			return a, trace.BadParameter("result %d has no body", i)
		}
	}
	return a, nil
}

// DecodePublication decodes the response to the publication of a note, or to the withdrawal or return of a failure
// domain.
func DecodePublication(body []byte) (Publication, error) {
	var w publicationWire
	if err := json.Unmarshal(body, &w); err != nil {
		return Publication{}, trace.BadParameter("the publication is not valid JSON: %v", err)
	}
	p := Publication{
		ID: w.ID, DryRun: w.State == "dryRun", Accepted: w.State == "accepted", Recorded: w.State == "recorded",
		Provisional: w.State == "provisional", Refused: w.State == "refused", Unknown: w.State == unknown,
		Lagging: w.Lagging, Domain: w.Domain, Elapsed: timer.Millis(w.TookMs), PropagationTime: timer.Millis(w.InForceMs),
	}
	if w.Sidecars != nil {
		p.Sidecars = *w.Sidecars
	}
	if w.Offset != nil {
		p.Offset = *w.Offset
	}
	for _, f := range w.Findings {
		p.Findings = append(p.Findings, Finding(f))
	}
	for _, d := range w.Differences {
		p.Differences = append(p.Differences, Difference(d))
	}
	return p, nil
}

// DecodeHistory decodes the response to History.
func DecodeHistory(body []byte) ([]HistoryRecord, error) {
	var records []recordWire
	if err := json.Unmarshal(body, &records); err != nil {
		return nil, trace.BadParameter("the history is not valid JSON: %v", err)
	}
	decoded := make([]HistoryRecord, 0, len(records))
	for _, r := range records {
		n, findings := configurer.ParseNote(r.Note)
		if len(findings) > 0 {
			return nil, trace.BadParameter("the note at offset %d is not valid: %s", r.Offset, findings[0])
		}
		decoded = append(decoded, HistoryRecord{Offset: r.Offset, Refused: r.Refused, Note: n})
	}
	return decoded, nil
}

// DecodeState decodes the response to Status.
func DecodeState(body []byte) (State, error) {
	var w stateWire
	if err := json.Unmarshal(body, &w); err != nil {
		return State{}, trace.BadParameter("the state is not valid JSON: %v", err)
	}
	s := State{
		ID: w.ID, Incarnation: w.Incarnation, Version: w.Version, Epoch: w.Epoch, ConfigOffset: w.ConfigOffset,
		Joined: w.Joined, LogReachable: w.LogReachable, Attested: w.Attested, Leaving: w.Leaving, Takeover: w.Takeover,
		Queued: w.Queued, Submissions: w.Submissions, Lagging: w.Lagging, Counters: Counters(w.Counters),
	}
	for _, e := range w.Entries {
		s.Entries = append(s.Entries, EntryState(e))
	}
	for _, c := range w.Sidecars {
		s.Sidecars = append(s.Sidecars, SidecarState{
			ID: c.ID, Domain: c.Domain, Worker: c.Worker, Slots: c.Slots, Credits: c.Credits, Running: c.Running,
			Connected: c.Connected, Leaving: c.Leaving, DisconnectedFor: timer.Millis(c.SilentMs),
		})
	}
	for _, d := range w.Domains {
		s.Domains = append(s.Domains, DomainState(d))
	}
	for _, m := range w.Members {
		s.Members = append(s.Members, MemberState(m))
	}
	return s, nil
}
