package runner

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/limiter"
)

const (
	// headerTimeout and idleTimeout bound how long a connection may stay open without a complete request.
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute

	// Names of the ports in logs and metrics.
	portCallers  = "callers"
	portReady    = "ready"
	portMetrics  = "metrics"
	portSessions = "sessions"
	portAnnounce = "announce"
)

// endpoint is an HTTP server of a process.
type endpoint struct {
	port    string // name in logs and metrics
	address string // not served if empty
	handler http.Handler
	// headBytes returns the maximum size of a request's head; it may be nil or return 0 for Options.HeadBytes.
	headBytes func() uint64
}

// startServers starts a server for each endpoint that has an address.
func startServers(ctx context.Context, m *monitor, o *Options, endpoints []endpoint) ([]*http.Server, error) {
	var servers []*http.Server
	for _, e := range endpoints {
		if e.address == "" {
			continue
		}
		server, listener, err := newServer(ctx, m, o, e)
		if err != nil {
			return servers, err
		}
		servers = append(servers, server)
		go func() {
			if err := server.Serve(&closeListener{Listener: listener}); !errors.Is(err, http.ErrServerClosed) {
				m.logger.WithError(err).WithField("address", e.address).Error("http: server failed")
			}
		}()
	}
	return servers, nil
}

// newServer returns an endpoint's server and its listener, whose connections are charged to the process's budget.
func newServer(ctx context.Context, m *monitor, o *Options, e endpoint) (*http.Server, *limiter.Listener, error) {
	listener, err := limiter.Listen(ctx, e.address)
	if err != nil {
		return nil, nil, trace.ConnectionProblem(err, "cannot listen on %q: %v", e.address, err)
	}
	limited := &limiter.Listener{
		Listener: listener, Budget: &m.budget, Port: e.port, Privileged: e.port != portCallers, HeadBytes: e.maxHead(o), AnswerTimeout: o.AnswerTimeout,
		Report: m.reportLimit,
	}
	server := &http.Server{Handler: m.recoverPanics(e), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnContext: connContext}
	limited.Configure(server, limitedConn)
	return server, limited, nil
}

// maxHead returns the function that returns the maximum size of a request's head.
func (e *endpoint) maxHead(o *Options) func() uint64 {
	return func() uint64 {
		if e.headBytes != nil {
			if n := e.headBytes(); n > 0 {
				return n
			}
		}
		return o.HeadBytes
	}
}
