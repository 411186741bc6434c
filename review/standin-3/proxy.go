//go:build review

package main

import (
	"context"
	"io"
	"net"
	"sync"
)

// proxy forwards connections. Once it is dark, nothing passes any more: open connections stay open without a byte, and new ones are
// taken and never answered, as those to a machine without power.
type proxy struct {
	target string

	mu    sync.Mutex
	dark  bool
	conns []net.Conn
}

// newProxy serves a proxy until ctx ends.
func newProxy(ctx context.Context, address, target string) (*proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target}
	context.AfterFunc(ctx, func() {
		_ = listener.Close() // the case has ended
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, conn := range p.conns {
			_ = conn.Close()
		}
	})
	go p.accept(ctx, listener)
	return p, nil
}

func (p *proxy) accept(ctx context.Context, listener net.Listener) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(ctx, client)
	}
}

func (p *proxy) serve(ctx context.Context, client net.Conn) {
	if p.keep(client) {
		return
	}
	server, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.target)
	if err != nil {
		if !p.isDark() {
			_ = client.Close()
		}
		return
	}
	if p.keep(server) {
		return
	}
	go p.forward(server, client)
	p.forward(client, server)
}

// keep notes a connection and reports whether the proxy is dark.
func (p *proxy) keep(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, conn)
	return p.dark
}

func (p *proxy) isDark() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dark
}

func (p *proxy) goDark() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dark = true
}

// forward copies bytes until an end closes or the proxy is dark. The end of a connection does not pass a dark proxy.
func (p *proxy) forward(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if p.isDark() {
			_, _ = io.Copy(io.Discard, from) // what arrives is lost
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}
