package appender_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"

	"github.com/crocuslb/crocuslb/emulator"
)

// memory carries requests to a log in the same process, so that tests run in virtual time.
type memory struct {
	log     *emulator.Log
	name    string       // distinguishes the connections of several clients
	refused atomic.Bool  // no connection can be made
	noPosts atomic.Bool  // the same, for appends only
	noReads atomic.Bool  // the same, for reads only
	dials   atomic.Int32 // changes the address of the connection
}

func (m *memory) client() *http.Client { return &http.Client{Transport: m} }

// CloseIdleConnections makes later requests use a new connection.
func (m *memory) CloseIdleConnections() { m.dials.Add(1) }

func (m *memory) RoundTrip(q *http.Request) (*http.Response, error) {
	refused := &m.noReads
	if q.Method == http.MethodPost {
		refused = &m.noPosts
	}
	if m.refused.Load() || refused.Load() {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	q = q.Clone(q.Context())
	q.RemoteAddr = fmt.Sprint(m.name, m.dials.Load())
	answered := make(chan *http.Response, 1)
	go func() {
		defer close(answered)
		defer func() {
			if p := recover(); p != nil && p != http.ErrAbortHandler { //nolint:errorlint // a panic value is compared
				panic(p)
			}
		}()
		w := httptest.NewRecorder()
		m.log.ServeHTTP(w, q)
		answered <- w.Result()
	}()
	select {
	case a := <-answered:
		if a == nil {
			return nil, io.ErrUnexpectedEOF
		}
		return a, nil
	case <-q.Context().Done():
		return nil, q.Context().Err()
	}
}
