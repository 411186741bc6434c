package soaker

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// proxyBuffer is the size of the forwarding buffer in bytes.
	proxyBuffer = 16 << 10
	// cutPollInterval is the interval at which a cut direction checks whether it may continue.
	cutPollInterval = 5 * time.Millisecond
)

type (
	// proxy forwards TCP connections and injects network faults on request.
	proxy struct {
		listener net.Listener
		target   string

		mu    sync.Mutex
		delay time.Duration
		pairs map[*connPair]bool
		// cutToUntil and cutFromUntil are the times until which bytes to and from the target are held back.
		cutToUntil, cutFromUntil time.Time
	}

	// connPair is a client connection and its connection to the target. A stalled pair no longer forwards data.
	connPair struct {
		client, server net.Conn
		stalled        bool
	}
)

func newProxy(ctx context.Context, address, target string) (*proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, pairs: map[*connPair]bool{}}
	context.AfterFunc(ctx, func() {
		_ = listener.Close() // Accept returns an error even if closing fails
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
		_ = client.Close() // the client detects the closed connection
		return
	}
	c := &connPair{client: client, server: server}
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

// forward copies one direction until either connection is closed.
func (p *proxy) forward(c *connPair, to, from net.Conn, toServer bool) {
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		for p.delayAndCheckCut(c, toServer) {
			time.Sleep(cutPollInterval)
		}
		if n > 0 && !p.isStalled(c) {
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

// delayAndCheckCut waits for the configured delay and reports whether the direction is cut.
func (p *proxy) delayAndCheckCut(c *connPair, toServer bool) bool {
	p.mu.Lock()
	delay, until := p.delay, p.cutFromUntil
	if toServer {
		until = p.cutToUntil
	}
	open := p.pairs[c]
	p.mu.Unlock()
	time.Sleep(delay)
	return open && time.Now().Before(until)
}

func (p *proxy) isStalled(c *connPair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.stalled
}

func (c *connPair) close() {
	for _, conn := range []net.Conn{c.client, c.server} {
		if t, ok := conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // close with a reset rather than a FIN
		}
		_ = conn.Close() // the peer detects the closed connection
	}
}

// setDelay sets the delay of all forwarded data.
func (p *proxy) setDelay(d time.Duration) {
	p.mu.Lock()
	p.delay = d
	p.mu.Unlock()
}

// cut holds back data in one or both directions for a time. It is forwarded afterwards, as after a network partition.
func (p *proxy) cut(d time.Duration, toTarget, fromTarget bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if toTarget {
		p.cutToUntil = time.Now().Add(d)
	}
	if fromTarget {
		p.cutFromUntil = time.Now().Add(d)
	}
}

// reset resets a fraction of the connections, selected at random.
func (p *proxy) reset(fraction float64) {
	p.mu.Lock()
	var chosen []*connPair
	for c := range p.pairs {
		if rand.Float64() < fraction {
			chosen = append(chosen, c)
			delete(p.pairs, c)
		}
	}
	p.mu.Unlock()
	for _, c := range chosen {
		c.close()
	}
}

// stall stops forwarding on the open connections without closing them. New connections work.
func (p *proxy) stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.stalled = true
	}
}
