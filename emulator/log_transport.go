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
	// Transport is an http.RoundTripper that sends requests to a Log in the same process without a network, so that
	// tests can run in virtual time. Set the fields before the first request.
	Transport struct {
		Log *Log
		// Name distinguishes the connections of several transports to the same Log.
		Name string

		mu         sync.Mutex
		refusals   Refusals
		connection int
	}

	// Refusals selects the requests whose connections are refused. They fail like a refused TCP connection and have no
	// effect.
	Refusals struct{ Reads, Appends bool }

	// responseBuffer is an http.ResponseWriter that buffers the response.
	responseBuffer struct {
		code   int
		header http.Header
		body   bytes.Buffer
	}
)

// SetRefusals changes which requests are refused.
func (t *Transport) SetRefusals(r Refusals) {
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

// RoundTrip serves the request. As over a network, the log goes on processing a request after its context is canceled.
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
	responses := make(chan *http.Response, 1)
	go func() {
		defer close(responses)
		defer func() {
			// net/http also closes the connection on this panic.
			if p := recover(); p != nil {
				if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
					panic(p)
				}
			}
		}()
		w := &responseBuffer{code: http.StatusOK, header: http.Header{}}
		t.Log.ServeHTTP(w, q)
		responses <- &http.Response{
			Status: http.StatusText(w.code), StatusCode: w.code, Proto: q.Proto, ProtoMajor: 1, ProtoMinor: 1,
			Header: w.header, Body: io.NopCloser(&w.body), ContentLength: int64(w.body.Len()), Request: q,
		}
	}()
	select {
	case response, ok := <-responses:
		if !ok {
			return nil, io.ErrUnexpectedEOF
		}
		return response, nil
	case <-q.Context().Done():
		return nil, q.Context().Err()
	}
}

// Header implements http.ResponseWriter.
func (b *responseBuffer) Header() http.Header { return b.header }

// Write implements http.ResponseWriter.
func (b *responseBuffer) Write(p []byte) (int, error) { return b.body.Write(p) }

// WriteHeader implements http.ResponseWriter.
func (b *responseBuffer) WriteHeader(code int) { b.code = code }
