package soaker

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// proxyBuffer is the number of bytes that a proxy forwards at a time.
	proxyBuffer = 16 << 10
	// cutCheck is the period in which a held-up direction looks whether it may go on.
	cutCheck = 5 * time.Millisecond
)

type (
	// proxy forwards TCP connections and disturbs them on request.
	proxy struct {
		listener net.Listener
		target   string

		mu    sync.Mutex
		delay time.Duration
		pairs map[*pair]bool
		// cut holds up all bytes to or from the target until a time.
		cutTo, cutFrom time.Time
	}

	// pair is a connection with its continuation. A silent one forwards nothing any more.
	pair struct {
		client, server net.Conn
		silent         bool
	}
)

func newProxy(ctx context.Context, address, target string) (*proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, pairs: map[*pair]bool{}}
	context.AfterFunc(ctx, func() {
		_ = listener.Close() // Accept returns in any case
		p.reset(1)
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(ctx, conn)
		}
	}()
	return p, nil
}

func (p *proxy) serve(ctx context.Context, client net.Conn) {
	server, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", p.target)
	if err != nil {
		_ = client.Close() // the client sees the loss
		return
	}
	c := &pair{client: client, server: server}
	p.mu.Lock()
	p.pairs[c] = true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.forward(c, server, client, true) })
	both.Go(func() { p.forward(c, client, server, false) })
	both.Wait()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
}

// forward copies one direction until either end is gone.
func (p *proxy) forward(c *pair, to, from net.Conn, toServer bool) {
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		for p.held(c, toServer) {
			time.Sleep(cutCheck)
		}
		if n > 0 && !p.isSilent(c) {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	c.close()
}

// held waits out the delay and reports whether the direction is cut.
func (p *proxy) held(c *pair, toServer bool) bool {
	p.mu.Lock()
	delay, until := p.delay, p.cutFrom
	if toServer {
		until = p.cutTo
	}
	open := p.pairs[c]
	p.mu.Unlock()
	time.Sleep(delay)
	return open && time.Now().Before(until)
}

func (p *proxy) isSilent(c *pair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.silent
}

func (c *pair) close() {
	for _, conn := range []net.Conn{c.client, c.server} {
		if t, ok := conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // without it the end is a plain close
		}
		_ = conn.Close() // the other end sees the loss
	}
}

// setDelay delays all bytes.
func (p *proxy) setDelay(d time.Duration) {
	p.mu.Lock()
	p.delay = d
	p.mu.Unlock()
}

// cut holds up one or both directions for a time. Bytes are forwarded afterwards, as after a partition.
func (p *proxy) cut(d time.Duration, to, from bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if to {
		p.cutTo = time.Now().Add(d)
	}
	if from {
		p.cutFrom = time.Now().Add(d)
	}
}

// reset ends a share of the connections.
func (p *proxy) reset(share float64) {
	p.mu.Lock()
	var chosen []*pair
	for c := range p.pairs {
		if rand.Float64() < share {
			chosen = append(chosen, c)
			delete(p.pairs, c)
		}
	}
	p.mu.Unlock()
	for _, c := range chosen {
		c.close()
	}
}

// silence lets the open connections forward nothing any more, while new ones work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.silent = true
	}
}
