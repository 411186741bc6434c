// Package server is the HTTP interface of an entry: the job API for callers and the operators' API. What it serves is
// given as function fields.
package server

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	_ "embed" // for the API description
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/kataras/iris/v12"

	"github.com/crocuslb/crocuslb/configurer"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	contentJSON = "application/json"
	contentHTML = "text/html; charset=utf-8"
	contentText = "text/plain; charset=utf-8"
)

type (
	// Server answers HTTP requests. Set the fields before the first request. A nil function field makes its call
	// answer 503.
	Server struct {
		// Submit submits a job and waits for its answer until ctx ends; then it answers "running".
		Submit func(ctx context.Context, j encoder.Job) encoder.Answer
		// Get returns the state of a submission, Cancel cancels it.
		Get    func(ctx context.Context, key string) encoder.Answer
		Cancel func(ctx context.Context, key string) encoder.Answer

		// Publish, History, Withdraw, Return and Status serve operators.
		Publish  func(ctx context.Context, n configurer.Note, dryRun bool) (Publication, error)
		History  func(ctx context.Context, limit int) ([]Record, error)
		Withdraw func(ctx context.Context, handleDomain, author string) (Publication, error)
		Return   func(ctx context.Context, handleDomain, author string) (Publication, error)
		Status   func(ctx context.Context) (State, error)
		// Burn writes the burn report in one of the formats "text", "json" and "html".
		Burn func(w io.Writer, format string) error
		// Metrics writes all metrics in the Prometheus text format.
		Metrics func(w io.Writer)
		// Ready reports whether the process takes jobs. A nil field means that it does.
		Ready func() bool
		// Observe is told about every answered request. It may be nil.
		Observe func(call string, handleStatus int, took timer.Millis)
		Clock   timer.Clock
		// Token is the bearer token of operators. Without one every operators' call is refused.
		Token string

		buildOnce sync.Once
		handler   http.Handler
		buildErr  error
	}
)

//go:embed openapi.json
var openAPIDocument []byte

// Handler returns the handler of all calls.
func (s *Server) Handler() (http.Handler, error) {
	s.buildOnce.Do(func() {
		app := iris.New()
		app.Logger().SetLevel("disable")
		app.Configure(iris.WithoutStartupLog, iris.WithoutInterruptHandler, iris.WithoutBanner,
			iris.WithoutPathCorrection, iris.WithFireMethodNotAllowed)
		s.registerRoutes(app)
		s.buildErr = trace.Wrap(app.Build())
		s.handler = app
	})
	return s.handler, s.buildErr
}

func (s *Server) registerRoutes(app *iris.Application) {
	app.Post("/v1/jobs", s.observeRequest("submit", s.handleSubmit))
	app.Get("/v1/jobs/{key:string}", s.observeRequest("get", s.handleGet))
	app.Delete("/v1/jobs/{key:string}", s.observeRequest("cancel", s.handleCancel))
	app.Get("/v1/openapi.json", func(c iris.Context) { writeBody(c, http.StatusOK, contentJSON, openAPIDocument) })
	app.HandleMany("GET HEAD", "/health", s.handleHealth)

	app.Post("/v1/notes", s.observeRequest("publish", s.requireToken(s.handlePublish)))
	app.Get("/v1/notes", s.observeRequest("history", s.requireToken(s.handleHistory)))
	app.Post("/v1/domains/{domain:string}/withdraw", s.observeRequest("withdraw", s.requireToken(s.handleWithdraw)))
	app.Post("/v1/domains/{domain:string}/return", s.observeRequest("return", s.requireToken(s.handleReturn)))
	app.Get("/v1/status", s.observeRequest("status", s.requireToken(s.handleStatus)))
	app.Get("/v1/burn", s.observeRequest("burn", s.requireToken(s.handleBurn)))
	app.Get("/metrics", s.requireToken(s.handleMetrics))

	app.OnErrorCode(http.StatusNotFound, func(c iris.Context) {
		rejectRequest(c, http.StatusNotFound, "there is no such call", nil)
	})
	app.OnErrorCode(http.StatusMethodNotAllowed, func(c iris.Context) {
		rejectRequest(c, http.StatusMethodNotAllowed, "the call does not have this method", nil)
	})
}

// observed reports the call's status and duration to Observe.
func (s *Server) observeRequest(call string, h iris.Handler) iris.Handler {
	return func(c iris.Context) {
		started := s.Clock.Now()
		h(c)
		if s.Observe != nil {
			s.Observe(call, c.GetStatusCode(), s.Clock.Now()-started)
		}
	}
}

// operator lets only requests with the bearer token pass.
func (s *Server) requireToken(h iris.Handler) iris.Handler {
	wantHash := sha256.Sum256([]byte(s.Token))
	return func(c iris.Context) {
		scheme, token, _ := strings.Cut(c.GetHeader("Authorization"), " ")
		gotHash := sha256.Sum256([]byte(token))
		// The sums have the same length, so the comparison does not reveal the token's length either.
		if subtle.ConstantTimeCompare(gotHash[:], wantHash[:]) != 1 || s.Token == "" || !strings.EqualFold(scheme, "Bearer") {
			c.Header("WWW-Authenticate", "Bearer")
			rejectRequest(c, http.StatusUnauthorized, "the call needs the operators' bearer token", nil)
			return
		}
		h(c)
	}
}

func (s *Server) handleHealth(c iris.Context) {
	if s.Ready != nil && !s.Ready() {
		writeBody(c, http.StatusServiceUnavailable, contentText, []byte("leaving\n"))
		return
	}
	writeBody(c, http.StatusOK, contentText, []byte("ready\n"))
}

func (s *Server) handleSubmit(c iris.Context) {
	keyHeaders := c.Request().Header.Values("Idempotency-Key")
	if len(keyHeaders) > 1 {
		rejectRequest(c, http.StatusBadRequest, "the request is malformed", []Finding{{"Idempotency-Key", "is given more than once"}})
		return
	}
	body, ok := readBody(c)
	if !ok {
		return
	}
	key := strings.Join(keyHeaders, "")
	if n := len(key); n >= 2 && key[0] == '"' && key[n-1] == '"' {
		key = key[1 : n-1] // the quoted form of the Idempotency-Key draft
	}
	req, findings := DecodeJob(key, body)
	if len(findings) > 0 {
		rejectRequest(c, http.StatusBadRequest, "the request is malformed", findings)
		return
	}
	if s.Submit == nil {
		rejectRequest(c, http.StatusServiceUnavailable, "the entry takes no jobs", nil)
		return
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), req.Wait.Duration())
	defer cancel()
	s.writeAnswer(c, req.Job.Key, checkAnswer(s.Submit(ctx, req.Job), req.Job))
}

func (s *Server) handleGet(c iris.Context)    { s.handleByKey(c, s.Get, Status) }
func (s *Server) handleCancel(c iris.Context) { s.handleByKey(c, s.Cancel, cancelStatus) }

func (s *Server) handleByKey(c iris.Context, call func(context.Context, string) encoder.Answer, status func(encoder.Answer) int) {
	key := c.Params().Get("key")
	r := &jsonReader{}
	checkKey(r, &fieldPath{name: "key"}, key)
	if len(r.findings) > 0 {
		rejectRequest(c, http.StatusBadRequest, "the request is malformed", r.findings)
		return
	}
	if call == nil {
		rejectRequest(c, http.StatusServiceUnavailable, "the entry has no such call", nil)
		return
	}
	a := call(c.Request().Context(), key)
	s.writeAnswerStatus(c, key, a, status(a))
}

// cancelStatus is 200 as soon as the submission has ended in any way: the call did what it was asked to do.
func cancelStatus(a encoder.Answer) int {
	if a.State == encoder.JobFailed && a.Code == encoder.CodeCanceled {
		return http.StatusOK
	}
	return Status(a)
}

func (s *Server) writeAnswer(c iris.Context, key string, a encoder.Answer) {
	s.writeAnswerStatus(c, key, a, Status(a))
}

func (s *Server) writeAnswerStatus(c iris.Context, key string, a encoder.Answer, status int) {
	if a.Key == "" {
		a.Key = key
	}
	if a.Key != key {
		a = encoder.Answer{
			Key: key, State: encoder.JobFailed, Outcome: encoder.OutcomeUnknown, Code: encoder.CodeUnknown,
			Reason: "the entry answered for another submission",
		}
		status = http.StatusInternalServerError
	}
	body, err := EncodeAnswer(a)
	if err != nil {
		writeInternalError(c, err)
		return
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		c.Header("Retry-After", strconv.FormatInt(max(1, (int64(a.RetryAfter)+999)/1000), 10))
	}
	writeBody(c, status, contentJSON, body)
}

// verify replaces a complete answer that lacks results; a partial answer never leaves the process.
func checkAnswer(a encoder.Answer, j encoder.Job) encoder.Answer {
	if a.State == encoder.JobComplete && len(a.Results) != len(j.Tasks) || a.State < encoder.JobRunning || a.State > encoder.JobFailed {
		return encoder.Answer{
			Key: a.Key, State: encoder.JobFailed, Outcome: encoder.OutcomeUnknown, Code: encoder.CodeUnknown,
			Reason: fmt.Sprintf("the entry gave %d results for %d tasks", len(a.Results), len(j.Tasks)),
		}
	}
	return a
}

// readBody reads a bounded JSON body. It has answered the request when ok is false.
func readBody(c iris.Context) (body []byte, ok bool) {
	if contentType := c.GetHeader("Content-Type"); contentType != "" {
		if media, _, err := mime.ParseMediaType(contentType); err != nil || media != contentJSON {
			rejectRequest(c, http.StatusUnsupportedMediaType, "the body must have the type application/json", nil)
			return nil, false
		}
	}
	var buf bytes.Buffer
	if n := c.Request().ContentLength; n > 0 {
		buf.Grow(int(min(n, maxPreallocatedSize)) + bytes.MinRead)
	}
	_, err := buf.ReadFrom(http.MaxBytesReader(c.ResponseWriter(), c.Request().Body, maxBodySize))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		rejectRequest(c, http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is larger than %d bytes", maxBodySize), nil)
	case err != nil:
		rejectRequest(c, http.StatusBadRequest, "the body could not be read", nil)
	default:
		// The read timeout would otherwise end the request's context while the caller waits for the answer. Writers
		// that have no deadline, as in tests, answer with an error.
		_ = http.NewResponseController(c.ResponseWriter().Naive()).SetReadDeadline(time.Time{})
		return buf.Bytes(), true
	}
	return nil, false
}

// refuse answers a request of which nothing was executed.
func rejectRequest(c iris.Context, status int, reason string, findings []Finding) {
	w := answerWire{State: "failed", Code: "invalid", Reason: reason, Outcome: notRun}
	if status == http.StatusServiceUnavailable {
		w.Code = "unavailable"
		c.Header("Retry-After", "1")
	}
	for _, f := range findings {
		w.Findings = append(w.Findings, findingWire(f))
	}
	body, err := json.Marshal(w)
	if err != nil {
		body = []byte(`{"state":"failed","outcome":"notRun"}`)
	}
	writeBody(c, status, contentJSON, body)
}

// fault answers a request that failed inside the process after it may have had an effect.
func writeInternalError(c iris.Context, err error) {
	body, _ := json.Marshal(answerWire{State: "failed", Code: unknown, Reason: trace.UserMessage(err), Outcome: unknown})
	writeBody(c, http.StatusInternalServerError, contentJSON, body)
}

func writeBody(c iris.Context, status int, contentType string, body []byte) {
	c.StatusCode(status)
	c.ContentType(contentType)
	c.Header("Content-Length", strconv.Itoa(len(body)))
	c.Header("X-Content-Type-Options", "nosniff")
	// A failed write means that the caller is gone; it submits again with the same key.
	_, _ = c.Write(body)
}
