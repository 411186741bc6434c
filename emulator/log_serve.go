package emulator

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// ServeLog serves l on a loopback address, such as "127.0.0.1:0", until ctx is canceled. It returns the base URL once
// it is listening. Other addresses are rejected, because the log has no access control.
func ServeLog(ctx context.Context, address string, l *Log) (string, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return "", trace.BadParameter("address %q of the log is malformed: %v", address, err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return "", trace.BadParameter("address %q of the log is not a loopback IP address", address)
	}
	var c net.ListenConfig
	n, err := c.Listen(ctx, "tcp", address)
	if err != nil {
		return "", trace.Wrap(err)
	}
	s := &http.Server{
		Handler:           l,
		ReadHeaderTimeout: 5 * time.Second,
		ReadTimeout:       30 * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    16 << 10,
	}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	go func() {
		if err := s.Serve(n); !errors.Is(err, http.ErrServerClosed) {
			_ = n.Close()
		}
	}()
	return "http://" + n.Addr().String(), nil
}
