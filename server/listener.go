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
	// writeTimeout covers the longest wait for an answer and the time to read the request, because net/http counts it
	// from the end of the request's header.
	writeTimeout = maxWait + readTimeout + 10*timer.Second
)

type (
	// Listener serves HTTP connections with a handler. Only Handler is required.
	Listener struct {
		Handler http.Handler
		// MaxConnections limits the number of open connections; 0 means 4,096.
		MaxConnections int
		// OnError is called with the error log lines of the HTTP server, such as those about panics in handlers. It may
		// be nil.
		OnError func(text string)
		// AllowNonLoopback is set if the process has a secret and an operator token. Otherwise only loopback addresses are
		// accepted.
		AllowNonLoopback bool

		server   *http.Server
		listener net.Listener
	}

	reportWriter func(text string)
)

// Listen binds the address and returns the bound address, with the port that the system chose if it was 0. Requests
// are served once Serve is called.
func (l *Listener) Listen(ctx context.Context, address string) (string, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return "", trace.BadParameter("listener address %q is not an IP address with a port", address)
	}
	if !l.AllowNonLoopback && !a.Addr().Unmap().IsLoopback() {
		return "", trace.AccessDenied("listening on %s, which is not a loopback address, requires a secret and an operator token", address)
	}
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return "", trace.Wrap(err, "listen on %s", address)
	}
	limit := l.MaxConnections
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
	if l.OnError != nil {
		l.OnError(text)
	}
}

// Write implements io.Writer.
func (w reportWriter) Write(line []byte) (int, error) {
	w(strings.TrimSpace(string(line)))
	return len(line), nil
}

// Serve serves requests until Shutdown is called. It may be called only after Listen succeeded.
func (l *Listener) Serve() error {
	if err := l.server.Serve(l.listener); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

// Shutdown stops accepting connections and waits for requests in flight until ctx is done. The connections that are
// still open then are closed.
func (l *Listener) Shutdown(ctx context.Context) error {
	if l.server == nil {
		return nil
	}
	if err := l.server.Shutdown(ctx); err != nil {
		return trace.NewAggregate(trace.Wrap(err, "shutdown timed out, closing connections with requests in flight"), l.server.Close())
	}
	return nil
}
