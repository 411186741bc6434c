package messenger

import (
	"errors"
	"net"
	"sync"
	"testing"
)

// relay forwards UDP packets between clients and a server, and can drop the packets of existing flows.
type relay struct {
	t        testing.TB
	server   *net.UDPAddr
	listener *net.UDPConn

	mu    sync.Mutex
	flows map[string]*flow
}

// flow is the traffic of one client port.
type flow struct {
	upstream                   *net.UDPConn
	dropToServer, dropToClient bool // drop the packets of this direction
}

func newRelay(t testing.TB, server string) *relay {
	t.Helper()
	serverAddress, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.ListenUDP("udp", &net.UDPAddr{IP: serverAddress.IP})
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{t: t, server: serverAddress, listener: listener, flows: map[string]*flow{}}
	t.Cleanup(r.close)
	go r.forward()
	return r
}

func (r *relay) address() string { return r.listener.LocalAddr().String() }

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		_ = f.upstream.Close()
	}
}

// drop sets the directions in which packets of the existing flows are dropped, and returns the number of these flows.
// Later flows are not affected.
func (r *relay) drop(toServer, toClient bool) (flows int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.dropToServer, f.dropToClient = toServer, toClient
	}
	return len(r.flows)
}

func (r *relay) forward() {
	buffer := make([]byte, 1<<16)
	for {
		n, client, err := r.listener.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		f := r.flows[client.String()]
		if f == nil {
			upstream, err := net.DialUDP("udp", nil, r.server)
			if err != nil {
				r.mu.Unlock()
				r.t.Error(err)
				return
			}
			f = &flow{upstream: upstream}
			r.flows[client.String()] = f
			go r.reply(f, client)
		}
		dropped := f.dropToServer
		r.mu.Unlock()
		if !dropped {
			_, _ = f.upstream.Write(buffer[:n])
		}
	}
}

func (r *relay) reply(f *flow, client *net.UDPAddr) {
	buffer := make([]byte, 1<<16)
	for {
		n, err := f.upstream.Read(buffer)
		if err != nil {
			// ICMP "port unreachable" fails a single read; the server may start later.
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		r.mu.Lock()
		dropped := f.dropToClient
		r.mu.Unlock()
		if !dropped {
			_, _ = r.listener.WriteToUDP(buffer[:n], client)
		}
	}
}
