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

	"github.com/crocuslb/crocuslb/limiter"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// PortHTTP names the HTTP listener in events about limits.
	PortHTTP = "http"

	defaultMaxConnections = 4096
	defaultClientMemory   = 256_000_000 // bytes
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
		// MaxConnections limits the number of open connections; 0 means 4,096. ClientMemory limits the memory, in bytes, of the
		// connections and requests together; 0 means 256 MB. Beyond a limit, unfinished and idle connections are closed.
		MaxConnections int
		ClientMemory   int64
		// OnLimit is called without blocking when a client meets a limit. It may be nil.
		OnLimit func(e limiter.Event)
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
	listener, err := limiter.Listen(ctx, address)
	if err != nil {
		return "", trace.Wrap(err, "listen on %s", address)
	}
	limited := l.limit(listener)
	l.listener = limited
	l.server = &http.Server{
		Handler: l.Handler, MaxHeaderBytes: maxHeaderSize,
		ReadHeaderTimeout: readHeaderTimeout.Duration(), ReadTimeout: readTimeout.Duration(),
		WriteTimeout: writeTimeout.Duration(), IdleTimeout: idleTimeout.Duration(),
		ErrorLog: log.New(reportWriter(l.logError), "", 0),
	}
	limited.Configure(l.server, func(c net.Conn) *limiter.Conn {
		conn, _ := c.(*limiter.Conn)
		return conn
	})
	return listener.Addr().String(), nil
}

// limit returns the listener with its limits.
func (l *Listener) limit(listener net.Listener) *limiter.Listener {
	limits := limiter.Limits{Connections: l.MaxConnections, MemoryBytes: l.ClientMemory}
	if limits.Connections <= 0 {
		limits.Connections = defaultMaxConnections
	}
	if limits.MemoryBytes <= 0 {
		limits.MemoryBytes = defaultClientMemory
	}
	return &limiter.Listener{
		Listener: listener, Budget: &limiter.Budget{Limits: limits}, Port: PortHTTP, Privileged: true,
		HeadBytes: func() uint64 { return maxHeaderSize }, Report: l.OnLimit,
	}
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
