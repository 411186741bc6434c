// Package server implements the HTTP API of an entry: the job API for callers and the operator API. The operations
// behind the API are function fields of Server.
package server

import (
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

	"github.com/gravitational/trace"
	"github.com/kataras/iris/v12"

	"github.com/crocuslb/crocuslb/configurer"
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/limiter"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	contentJSON = "application/json"
	contentHTML = "text/html; charset=utf-8"
	contentText = "text/plain; charset=utf-8"
)

type (
	// Server handles the HTTP requests. The exported fields must be set before Handler is called. If a function field of
	// an operation is nil, the operation responds with status 503.
	Server struct {
		// Submit submits a job and waits for its answer until ctx is done, and then returns an answer in the state
		// "running".
		Submit func(ctx context.Context, j encoder.Job) encoder.Answer
		// Get returns the state of a submission, Cancel cancels it.
		Get    func(ctx context.Context, key string) encoder.Answer
		Cancel func(ctx context.Context, key string) encoder.Answer

		// Publish, History, Withdraw, Return and Status implement the operator API.
		Publish  func(ctx context.Context, n configurer.Note, dryRun bool) (Publication, error)
		History  func(ctx context.Context, limit int) ([]HistoryRecord, error)
		Withdraw func(ctx context.Context, handleDomain, author string) (Publication, error)
		Return   func(ctx context.Context, handleDomain, author string) (Publication, error)
		Status   func(ctx context.Context) (State, error)
		// Burn writes the error-budget burn report in one of the formats "text", "json" and "html".
		Burn func(w io.Writer, format string) error
		// Metrics writes all metrics in the Prometheus text format.
		Metrics func(w io.Writer)
		// Ready reports whether the process accepts jobs. If it is nil, the process is always ready.
		Ready func() bool
		// OnResponse is called after each request. It may be nil.
		OnResponse func(call string, handleStatus int, took timer.Millis)
		Clock      timer.Clock
		// Bodies reads the bodies of requests.
		Bodies limiter.BodyReader
		// Token is the bearer token of operators. If it is empty, all requests to the operator API are rejected.
		Token string

		buildOnce sync.Once
		handler   http.Handler
		buildErr  error
	}
)

//go:embed openapi.json
var openAPIDocument []byte

// Handler returns the handler for all routes.
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

// observeRequest returns a handler that also reports the status and the duration of the request to OnResponse.
func (s *Server) observeRequest(call string, h iris.Handler) iris.Handler {
	return func(c iris.Context) {
		started := s.Clock.Now()
		h(c)
		if s.OnResponse != nil {
			s.OnResponse(call, c.GetStatusCode(), s.Clock.Now()-started)
		}
	}
}

// requireToken returns a handler that rejects requests without the bearer token of operators.
func (s *Server) requireToken(h iris.Handler) iris.Handler {
	wantHash := sha256.Sum256([]byte(s.Token))
	return func(c iris.Context) {
		scheme, token, _ := strings.Cut(c.GetHeader("Authorization"), " ")
		gotHash := sha256.Sum256([]byte(token))
		// Hashes of equal length are compared, so that the time taken does not reveal the length of the token either.
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
	body, ok := s.readBody(c)
	if !ok {
		return
	}
	key := strings.Join(keyHeaders, "")
	if n := len(key); n >= 2 && key[0] == '"' && key[n-1] == '"' {
		key = key[1 : n-1] // the IETF draft of Idempotency-Key defines the value as a quoted string
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

func (s *Server) handleGet(c iris.Context)    { s.handleByKey(c, s.Get, HTTPStatus) }
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

// cancelStatus returns the HTTP status of the answer to a cancellation. It is 200 for a canceled submission, because the
// request succeeded.
func cancelStatus(a encoder.Answer) int {
	if a.State == encoder.JobFailed && a.Code == encoder.CodeCanceled {
		return http.StatusOK
	}
	return HTTPStatus(a)
}

func (s *Server) writeAnswer(c iris.Context, key string, a encoder.Answer) {
	s.writeAnswerStatus(c, key, a, HTTPStatus(a))
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

// checkAnswer replaces an answer to a submission that lacks results or has an invalid state, so that the caller never
// receives a partial answer.
func checkAnswer(a encoder.Answer, j encoder.Job) encoder.Answer {
	if a.State == encoder.JobComplete && len(a.Results) != len(j.Tasks) || a.State < encoder.JobRunning || a.State > encoder.JobFailed {
		return encoder.Answer{
			Key: a.Key, State: encoder.JobFailed, Outcome: encoder.OutcomeUnknown, Code: encoder.CodeUnknown,
			Reason: fmt.Sprintf("the entry gave %d results for %d tasks", len(a.Results), len(j.Tasks)),
		}
	}
	return a
}

// readBody reads a JSON body of at most maxBodySize bytes. If ok is false, it has responded to the request.
func (s *Server) readBody(c iris.Context) (body []byte, ok bool) {
	if contentType := c.GetHeader("Content-Type"); contentType != "" {
		if media, _, err := mime.ParseMediaType(contentType); err != nil || media != contentJSON {
			rejectRequest(c, http.StatusUnsupportedMediaType, "the body must have the type application/json", nil)
			return nil, false
		}
	}
	body, err := s.Bodies.Read(c.ResponseWriter().Naive(), c.Request(), maxBodySize)
	switch {
	case errors.Is(err, limiter.ErrBodyTooLarge):
		rejectRequest(c, http.StatusRequestEntityTooLarge, fmt.Sprintf("the body is larger than %d bytes", maxBodySize), nil)
	case errors.Is(err, limiter.ErrNoRoom):
		rejectRequest(c, http.StatusServiceUnavailable, "the memory for requests is used up", nil)
	case err != nil:
		rejectRequest(c, http.StatusBadRequest, "the body could not be read", nil)
	}
	return body, err == nil
}

// rejectRequest responds to a request that had no effect.
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

// writeInternalError responds to a request that failed inside the process and may have had an effect.
func writeInternalError(c iris.Context, err error) {
	body, _ := json.Marshal(answerWire{State: "failed", Code: unknown, Reason: trace.UserMessage(err), Outcome: unknown})
	writeBody(c, http.StatusInternalServerError, contentJSON, body)
}

func writeBody(c iris.Context, status int, contentType string, body []byte) {
	c.StatusCode(status)
	c.ContentType(contentType)
	c.Header("Content-Length", strconv.Itoa(len(body)))
	c.Header("X-Content-Type-Options", "nosniff")
	// A failed write means that the caller has disconnected; it can submit again with the same key.
	_, _ = c.Write(body)
}
