//go:build review

package main

import (
	"context"
	"net"
	"sync"
)

// proxy forwards TCP connections on loopback. It can make the open connections silent for good, while new ones work.
type proxy struct {
	target string
	mu     sync.Mutex
	open   map[*pair]bool
}

// pair is a forwarded connection.
type pair struct {
	client, server net.Conn
	silent         chan struct{}
	once           sync.Once
}

func newProxy(ctx context.Context, listen, target string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, open: map[*pair]bool{}}
	context.AfterFunc(ctx, func() {
		_ = l.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		for c := range p.open {
			c.close()
		}
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, nil
}

func (p *proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &pair{client: client, server: server, silent: make(chan struct{})}
	p.mu.Lock()
	p.open[c] = true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	copyBytes := func(to, from net.Conn) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			select {
			case <-c.silent: // what arrives from now on is dropped, and no end is passed on
				if err != nil {
					return
				}
				continue
			default:
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go copyBytes(server, client)
	go copyBytes(client, server)
	<-done
	select {
	case <-c.silent: // one side has given the connection up; the other one is told nothing
		<-done
	default:
	}
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
	c.close()
}

func (c *pair) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

// silence makes the open connections silent. It returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.once.Do(func() { close(c.silent) })
	}
	return len(p.open)
}

// reset resets the open connections.
func (p *proxy) reset() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if tcp, ok := c.client.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.close()
	}
	return len(p.open)
}
