// Package explainer shows what the system would decide about a job that is not submitted: the endpoint of entries, the
// explain subcommand of platformnode, and the texts and documents of both.
package explainer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/crocuslb/crocuslb/platform"
	"github.com/crocuslb/crocuslb/router"
	"github.com/crocuslb/crocuslb/submitter"
)

const (
	// questionsPerSecond limits the requests that the endpoint answers.
	questionsPerSecond = 10
	// maxQuestionBytes is the maximum size of a request's body.
	maxQuestionBytes = 64 << 10
	// bodyTimeout bounds the time in which a caller sends the body.
	bodyTimeout = 5 * time.Second
	// maxListedQueues is the number of queues that an error about an unknown queue names.
	maxListedQueues = 20
)

// Server serves the endpoint. Create it with NewServer.
type Server struct {
	snapshot func() *router.Snapshot
	explain  func(r *http.Request, j submitter.Job) (e submitter.Explanation, ok bool)
	limiter  *rate.Limiter
}

// NewServer returns a server. snapshot returns the active configuration. explain explains a job; it returns false if the
// entry did not answer in time.
func NewServer(snapshot func() *router.Snapshot, explain func(r *http.Request, j submitter.Job) (submitter.Explanation, bool)) *Server {
	return &Server{snapshot: snapshot, explain: explain, limiter: rate.NewLimiter(questionsPerSecond, questionsPerSecond)}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		writeError(w, http.StatusMethodNotAllowed, "send the job with POST, and its queue as the parameter queue")
		return
	}
	if !s.limiter.Allow() {
		tooMany(w)
		return
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout)) // not supported in tests
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxQuestionBytes))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		writeError(w, http.StatusRequestEntityTooLarge, fmt.Sprintf("the job exceeds %d bytes", maxQuestionBytes))
		return
	}
	if err != nil {
		writeError(w, http.StatusBadRequest, "the job cannot be read: "+err.Error())
		return
	}
	snapshot := s.snapshot()
	if snapshot.Version == 0 {
		writeError(w, http.StatusServiceUnavailable, "the entry has no configuration yet")
		return
	}
	q, ok := findQueue(snapshot, r.URL.Query().Get("queue"))
	if !ok {
		writeError(w, http.StatusNotFound, unknownQueue(snapshot, r.URL.Query().Get("queue")))
		return
	}
	j, err := platform.DecodeExplained(r, body, q)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	s.answer(w, r, j)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, j submitter.Job) {
	e, ok := s.explain(r, j)
	switch {
	case !ok:
		writeError(w, http.StatusGatewayTimeout, "the entry is too busy to answer in time, or it ends")
	case e.Answer.Kind == submitter.AnswerMalformed:
		writeError(w, http.StatusBadRequest, "the job is invalid: "+e.Answer.Reason)
	case e.Failure == submitter.FailureRate:
		tooMany(w)
	case e.Failure == submitter.FailureSize:
		writeError(w, http.StatusUnprocessableEntity, e.Failure)
	case e.Failure != "":
		writeError(w, http.StatusGatewayTimeout, fmt.Sprintf("%s was asked, and %s places tasks: %s", e.Asked.Entry, e.Placing.Entry, e.Failure))
	default:
		writeBody(w, http.StatusOK, Encode(&e))
	}
}

func tooMany(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	writeError(w, http.StatusTooManyRequests, fmt.Sprintf("an entry answers at most %d questions per second", questionsPerSecond))
}

// findQueue returns the queue with a name, or the one that serves a host and path.
func findQueue(s *router.Snapshot, name string) (router.Queue, bool) {
	for _, q := range s.Queues() {
		if q.Name == name {
			return q, true
		}
	}
	host, path, _ := strings.Cut(name, "/")
	q, _, ok := s.Match(host, "/"+path)
	return q, ok
}

func unknownQueue(s *router.Snapshot, name string) string {
	var names []string
	for _, q := range s.Queues() {
		if len(names) == maxListedQueues {
			names = append(names, "...")
			break
		}
		names = append(names, q.Name)
	}
	return fmt.Sprintf("no queue has the name, or the host and path, %q; the queues are %s", truncate(name), strings.Join(names, ", "))
}

// truncate shortens a text of a caller for an error message.
func truncate(text string) string { return text[:min(len(text), 80)] }
