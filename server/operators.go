package server

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"
	"github.com/kataras/iris/v12"
)

const defaultHistoryLimit = 50

func (s *Server) handlePublish(c iris.Context) {
	dryRun := false
	if text := c.URLParam("dryRun"); text != "" {
		b, err := strconv.ParseBool(text)
		if err != nil {
			rejectRequest(c, http.StatusBadRequest, "the request is malformed", []Finding{{"dryRun", "want true or false"}})
			return
		}
		dryRun = b
	}
	body, ok := s.readBody(c)
	if !ok {
		return
	}
	n, findings := DecodeNote(body)
	if len(findings) > 0 {
		rejectRequest(c, http.StatusBadRequest, "the request is malformed", findings)
		return
	}
	if s.Publish == nil {
		rejectRequest(c, http.StatusServiceUnavailable, "the entry takes no configuration changes", nil)
		return
	}
	p, err := s.Publish(c.Request().Context(), n, dryRun)
	writePublication(c, p, err)
}

func (s *Server) handleHistory(c iris.Context) {
	limit := defaultHistoryLimit
	if text := c.URLParam("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistoryLimit {
			rejectRequest(c, http.StatusBadRequest, "the request is malformed",
				[]Finding{{"limit", "want a whole number from 1 to " + strconv.Itoa(maxHistoryLimit)}})
			return
		}
		limit = n
	}
	if s.History == nil {
		rejectRequest(c, http.StatusServiceUnavailable, "the entry has no history", nil)
		return
	}
	records, err := s.History(c.Request().Context(), limit)
	if err != nil {
		writeError(c, err)
		return
	}
	body, err := EncodeHistory(records)
	writeJSON(c, body, err)
}

func (s *Server) handleWithdraw(c iris.Context) { s.handleDomain(c, s.Withdraw) }
func (s *Server) handleReturn(c iris.Context)   { s.handleDomain(c, s.Return) }

// handleDomain handles the withdrawal and the return of a failure domain. The optional query parameter author is stored
// in the log record.
func (s *Server) handleDomain(c iris.Context, call domainFunc) {
	domain, author := c.Params().Get("domain"), c.URLParam("author")
	r := &jsonReader{}
	for _, f := range [][2]string{{"domain", domain}, {"author", author}} {
		at := &fieldPath{name: f[0]}
		checkName(r, at, f[1])
		if len(f[1]) > maxNameLength {
			r.addFinding(at, "is longer than %d bytes", maxNameLength)
		}
	}
	if len(r.findings) > 0 {
		rejectRequest(c, http.StatusBadRequest, "the request is malformed", r.findings)
		return
	}
	if call == nil {
		rejectRequest(c, http.StatusServiceUnavailable, "the entry takes no decisions on failure domains", nil)
		return
	}
	p, err := call(c.Request().Context(), domain, author)
	writePublication(c, p, err)
}

func (s *Server) handleStatus(c iris.Context) {
	if s.Status == nil {
		rejectRequest(c, http.StatusServiceUnavailable, "the entry has no status", nil)
		return
	}
	st, err := s.Status(c.Request().Context())
	if err != nil {
		writeError(c, err)
		return
	}
	body, err := EncodeState(st)
	writeJSON(c, body, err)
}

// handleBurn responds in the format given by the query parameter format: text, json (the default) or html.
func (s *Server) handleBurn(c iris.Context) {
	types := map[string]string{"text": contentText, "json": contentJSON, "html": contentHTML}
	format := c.URLParamDefault("format", "json")
	contentType, ok := types[format]
	if !ok {
		rejectRequest(c, http.StatusBadRequest, "the request is malformed", []Finding{{"format", "want text, json or html"}})
		return
	}
	if s.Burn == nil {
		rejectRequest(c, http.StatusServiceUnavailable, "the entry has no burn report", nil)
		return
	}
	var b bytes.Buffer
	if err := s.Burn(&b, format); err != nil {
		writeInternalError(c, err)
		return
	}
	writeBody(c, http.StatusOK, contentType, b.Bytes())
}

func (s *Server) handleMetrics(c iris.Context) {
	var b bytes.Buffer
	if s.Metrics != nil {
		s.Metrics(&b)
	}
	writeBody(c, http.StatusOK, contentText, b.Bytes())
}

// writePublication responds to a change with status 200 if it was accepted or only checked, 202 if it was applied or
// recorded but not accepted yet, 409 if it was refused, and 500 if its outcome is unknown.
func writePublication(c iris.Context, p Publication, err error) {
	if err != nil {
		writeError(c, err)
		return
	}
	body, err := EncodePublication(p)
	if err != nil {
		writeInternalError(c, err)
		return
	}
	status := http.StatusInternalServerError
	switch {
	case p.Refused:
		status = http.StatusConflict
	case p.Accepted, p.DryRun:
		status = http.StatusOK
	case p.Recorded, p.Provisional:
		status = http.StatusAccepted
	}
	writeBody(c, status, contentJSON, body)
}

// writeError maps error types to HTTP statuses. The outcome is "not run" only for errors that are certain to have had no
// effect.
func writeError(c iris.Context, err error) {
	reason := trace.UserMessage(err)
	switch {
	case trace.IsBadParameter(err):
		rejectRequest(c, http.StatusBadRequest, reason, nil)
	case trace.IsCompareFailed(err), trace.IsAlreadyExists(err):
		rejectRequest(c, http.StatusConflict, reason, nil)
	case trace.IsNotFound(err):
		rejectRequest(c, http.StatusNotFound, reason, nil)
	case trace.IsLimitExceeded(err):
		rejectRequest(c, http.StatusServiceUnavailable, reason, nil)
	default:
		writeInternalError(c, err)
	}
}

func writeJSON(c iris.Context, body []byte, err error) {
	if err != nil {
		writeInternalError(c, err)
		return
	}
	writeBody(c, http.StatusOK, contentJSON, body)
}
