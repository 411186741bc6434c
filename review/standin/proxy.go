//go:build review

package main

import (
	"bytes"
	"net"
	"strings"
	"sync"
	"time"
)

// proxy forwards connections to one address. It cuts those of chosen machines off, which it recognises by their name in the
// first bytes of the connection, and holds their bytes back until the cut ends.
type proxy struct {
	target string
	zone   string   // of the target
	names  []string // of the machines that may connect; empty if all connections are alike

	mu  sync.Mutex
	cut map[string]bool
}

const (
	anyone = ""
	// crossZone and inZone are the delays one way of the site file.
	crossZone = 1400 * time.Microsecond
	inZone    = 100 * time.Microsecond
)

func newProxy(address, target, zone string, names []string) (*proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, zone: zone, names: names, cut: map[string]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

func (p *proxy) setCut(name string, cut bool) {
	p.mu.Lock()
	p.cut[name] = cut
	p.mu.Unlock()
}

func (p *proxy) isCut(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut[name]
}

func (p *proxy) nameIn(data []byte) string {
	for _, name := range p.names {
		if bytes.Contains(data, []byte(name)) {
			return name
		}
	}
	return anyone
}

func (p *proxy) serve(client net.Conn) {
	defer func() { _ = client.Close() }()
	buffer := make([]byte, 32<<10)
	n, err := client.Read(buffer)
	if err != nil {
		return
	}
	name := p.nameIn(buffer[:n])
	p.wait(name)
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	if _, err := server.Write(buffer[:n]); err != nil {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copy(name, server, client) })
	both.Go(func() { p.copy(name, client, server) })
	both.Wait()
}

// wait returns once the machine is not cut off.
func (p *proxy) wait(name string) {
	for p.isCut(name) {
		time.Sleep(2 * time.Millisecond)
	}
}

func (p *proxy) copy(name string, to, from net.Conn) {
	type chunk struct {
		data []byte
		due  time.Time
	}
	delay := inZone
	if name != anyone && !strings.Contains(name, p.zone) {
		delay = crossZone
	}
	chunks := make(chan chunk, 1024)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				chunks <- chunk{buffer[:n], time.Now().Add(delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	broken := false
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		p.wait(name)
		if !broken {
			_, err := to.Write(c.data)
			broken = err != nil
		}
		if broken {
			_ = from.Close()
		}
	}
	p.wait(name) // the end of a connection does not pass a cut either
	_ = to.Close()
	_ = from.Close()
}
