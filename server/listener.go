package server

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"net/netip"
	"strings"

	"github.com/gravitational/trace"
	"golang.org/x/net/netutil"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	defaultMaxConnections = 4096
	readHeaderTimeout     = 5 * timer.Second
	readTimeout           = 30 * timer.Second
	idleTimeout           = 2 * timer.Minute
	// writeTimeout covers the longest wait for an answer and the time to read the request.
	writeTimeout = maxWait + readTimeout + 10*timer.Second
)

type (
	// Listener accepts HTTP connections for a handler. The zero value with a Handler is usable.
	Listener struct {
		Handler http.Handler
		// Connections bounds the open connections; 0 means 4,096.
		Connections int
		// Report is told about faults of the HTTP server itself, such as panics in handlers. It may be nil.
		Report func(text string)
		// Guarded says that the process has keys. Without keys only loopback addresses are accepted.
		Guarded bool

		server   *http.Server
		listener net.Listener
	}

	reportWriter func(text string)
)

// Listen binds the address and returns the bound one. Nothing is served before Serve.
func (l *Listener) Listen(ctx context.Context, address string) (string, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return "", trace.BadParameter("listener address %q is not an IP address with a port", address)
	}
	if !l.Guarded && !a.Addr().Unmap().IsLoopback() {
		return "", trace.AccessDenied("a process without keys listens on loopback only, not on %s", address)
	}
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return "", trace.Wrap(err, "listen on %s", address)
	}
	limit := l.Connections
	if limit <= 0 {
		limit = defaultMaxConnections
	}
	l.listener = netutil.LimitListener(listener, limit)
	l.server = &http.Server{
		Handler: l.Handler, MaxHeaderBytes: maxHeaderSize,
		ReadHeaderTimeout: readHeaderTimeout.Duration(), ReadTimeout: readTimeout.Duration(),
		WriteTimeout: writeTimeout.Duration(), IdleTimeout: idleTimeout.Duration(),
		ErrorLog: log.New(reportWriter(l.logError), "", 0),
	}
	return listener.Addr().String(), nil
}

func (l *Listener) logError(text string) {
	if l.Report != nil {
		l.Report(text)
	}
}

// Write implements io.Writer.
func (w reportWriter) Write(line []byte) (int, error) {
	w(strings.TrimSpace(string(line)))
	return len(line), nil
}

// Serve serves until Shutdown is called. It must follow a successful Listen.
func (l *Listener) Serve() error {
	if err := l.server.Serve(l.listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

// Shutdown stops accepting and waits for the requests in flight until ctx ends; what is left then is cut off.
func (l *Listener) Shutdown(ctx context.Context) error {
	if l.server == nil {
		return nil
	}
	if err := l.server.Shutdown(ctx); err != nil {
		return trace.NewAggregate(trace.Wrap(err, "requests in flight were cut off"), l.server.Close())
	}
	return nil
}
