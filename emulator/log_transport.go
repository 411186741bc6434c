package emulator

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
)

type (
	// Transport carries requests to a Log in the same process, without a network, so that tests can run in virtual time.
	// It is an http.RoundTripper. Set the fields before the first request.
	Transport struct {
		Log *Log
		// Name distinguishes the connections of several transports to one Log.
		Name string

		mu         sync.Mutex
		refusals   Refusals
		connection int
	}

	// Refusals say which requests find no connection. They fail like a refused TCP connection and have no effect.
	Refusals struct{ Reads, Appends bool }

	// answerBuffer is an http.ResponseWriter that keeps the answer.
	answerBuffer struct {
		code   int
		header http.Header
		body   bytes.Buffer
	}
)

// Refuse changes which requests find no connection.
func (t *Transport) Refuse(r Refusals) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refusals = r
}

// CloseIdleConnections makes later requests use a new connection.
func (t *Transport) CloseIdleConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.connection++
}

// RoundTrip serves the request. A request whose context ends goes on at the log, as over a network.
func (t *Transport) RoundTrip(q *http.Request) (*http.Response, error) {
	t.mu.Lock()
	refused, address := t.refusals.Reads, fmt.Sprintf("%s-%d", t.Name, t.connection)
	if q.Method == http.MethodPost {
		refused = t.refusals.Appends
	}
	t.mu.Unlock()
	if refused {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	q = q.Clone(q.Context())
	q.RemoteAddr = address
	answers := make(chan *http.Response, 1)
	go func() {
		defer close(answers)
		defer func() {
			// net/http closes the connection on this panic, too.
			if p := recover(); p != nil {
				if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
					panic(p)
				}
			}
		}()
		w := &answerBuffer{code: http.StatusOK, header: http.Header{}}
		t.Log.ServeHTTP(w, q)
		answers <- &http.Response{
			Status: http.StatusText(w.code), StatusCode: w.code, Proto: q.Proto, ProtoMajor: 1, ProtoMinor: 1,
			Header: w.header, Body: io.NopCloser(&w.body), ContentLength: int64(w.body.Len()), Request: q,
		}
	}()
	select {
	case a, ok := <-answers:
		if !ok {
			return nil, io.ErrUnexpectedEOF
		}
		return a, nil
	case <-q.Context().Done():
		return nil, q.Context().Err()
	}
}

// Header implements http.ResponseWriter.
func (b *answerBuffer) Header() http.Header { return b.header }

// Write implements http.ResponseWriter.
func (b *answerBuffer) Write(p []byte) (int, error) { return b.body.Write(p) }

// WriteHeader implements http.ResponseWriter.
func (b *answerBuffer) WriteHeader(code int) { b.code = code }
