package messenger

import (
	"errors"
	"net"
	"sync"
	"testing"
)

// relay forwards UDP packets to a server and can drop those of the flows that exist.
type relay struct {
	t      testing.TB
	server *net.UDPAddr
	front  *net.UDPConn

	mu    sync.Mutex
	flows map[string]*flow
}

// flow is the traffic from one client port.
type flow struct {
	back               *net.UDPConn
	toServer, toClient bool // packets in this direction are dropped
}

func newRelay(t testing.TB, server string) *relay {
	t.Helper()
	at, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		t.Fatal(err)
	}
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: at.IP})
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{t: t, server: at, front: front, flows: map[string]*flow{}}
	t.Cleanup(r.close)
	go r.forward()
	return r
}

func (r *relay) address() string { return r.front.LocalAddr().String() }

func (r *relay) close() {
	_ = r.front.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		_ = f.back.Close()
	}
}

// drop sets the directions that are dropped for the flows that exist. Later flows are not affected.
func (r *relay) drop(toServer, toClient bool) (flows int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.toServer, f.toClient = toServer, toClient
	}
	return len(r.flows)
}

func (r *relay) forward() {
	buffer := make([]byte, 1<<16)
	for {
		n, client, err := r.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		f := r.flows[client.String()]
		if f == nil {
			back, err := net.DialUDP("udp", nil, r.server)
			if err != nil {
				r.mu.Unlock()
				r.t.Error(err)
				return
			}
			f = &flow{back: back}
			r.flows[client.String()] = f
			go r.reply(f, client)
		}
		dropped := f.toServer
		r.mu.Unlock()
		if !dropped {
			_, _ = f.back.Write(buffer[:n])
		}
	}
}

func (r *relay) reply(f *flow, client *net.UDPAddr) {
	buffer := make([]byte, 1<<16)
	for {
		n, err := f.back.Read(buffer)
		if err != nil {
			// A refused packet is an error of one read; the server may start later.
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		r.mu.Lock()
		dropped := f.toClient
		r.mu.Unlock()
		if !dropped {
			_, _ = r.front.WriteToUDP(buffer[:n], client)
		}
	}
}
