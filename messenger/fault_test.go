package messenger

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"slices"
	"strings"
	"testing"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// TestSilence guards against connections that stay unresponsive forever. They must be replaced from a new port,
// whichever direction loses packets.
func TestSilence(t *testing.T) {
	tests := []struct {
		name               string
		toServer, toClient bool
	}{
		{"both directions", true, true},
		{"to the server", true, false},
		{"to the client", false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			a, b := newTestNode("a"), newTestNode("b")
			a.HeartbeatInterval, a.IdleTimeout, b.HeartbeatInterval, b.IdleTimeout = 50, 250, 50, 250
			r := newRelay(t, a.listen(ctx, t))
			b.Connect(ctx, r.address())
			old := receive(t, b.connected, "session").session
			before := r.drop(tt.toServer, tt.toClient)
			if down := receive(t, b.disconnected, "end"); down.session != old || !strings.Contains(down.cause.Error(), "the other end is silent") {
				t.Errorf("got the end of session %p by %v, want an idle timeout of session %p", down.session, down.cause, old)
			}
			receive(t, b.connected, "replacement")
			if got := r.drop(false, false); got <= before {
				t.Errorf("got %d client ports, want more than %d", got, before)
			}
			cancel()
			a.Wait()
			b.Wait()
		})
	}
}

// TestGrace guards against the loss of a message that arrives after the idle timeout but within the grace period.
func TestGrace(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	a, b := newTestNode("a"), newTestNode("b")
	b.HeartbeatInterval, b.IdleTimeout, b.GracePeriod = 50, 250, 60*timer.Second
	a.GracePeriod = b.GracePeriod
	r := newRelay(t, a.listen(ctx, t))
	b.Connect(ctx, r.address())
	old, server := receive(t, b.connected, "session").session, receive(t, a.connected, "session").session
	r.drop(false, true)
	server.Send(&encoder.Claimed{Job: "late"})
	receive(t, b.disconnected, "end")
	if old.Send(&encoder.Leaving{}) {
		t.Error("a timed-out session accepted a message")
	}
	r.drop(false, false)
	if got := receive(t, b.messages, "late message"); got.session != old {
		t.Errorf("got %+v from session %p, want it from session %p", got.message, got.session, old)
	}
	receive(t, b.connected, "replacement")
	cancel()
	a.Wait()
	b.Wait()
}

// TestRestart guards against a client that does not reconnect to a process that was restarted on the same address.
func TestRestart(t *testing.T) {
	first, stop := context.WithCancel(t.Context())
	a, b := newTestNode("a"), newTestNode("b")
	address := a.listen(first, t)
	b.Connect(t.Context(), address)
	receive(t, b.connected, "session")
	stop()
	receive(t, b.disconnected, "end")
	a.Wait()
	restarted := newTestNode("a2")
	if _, err := restarted.Listen(t.Context(), address); err != nil {
		t.Fatal(err)
	}
	if got := receive(t, b.connected, "session").session.Ack().Member.ID; got != "a2" {
		t.Errorf("got a session with %q, want a2", got)
	}
}

// TestRefusedSessions guards against sessions that open without a valid certificate, against the decision of Accept or
// above the limit, and against refusals whose reason does not reach the peer.
func TestRefusedSessions(t *testing.T) {
	secret := strings.Repeat("s", MinSecretLen)
	tests := []struct {
		name             string
		change           func(a, b testNode)
		accepts, dialing string // what the ends report; "" for nothing
	}{
		{"refused by Accept", func(a, _ testNode) {
			a.Accept = func(*encoder.Hello) (encoder.HelloAck, error) {
				return encoder.HelloAck{}, trace.BadParameter("wrong domain")
			}
		}, "wrong domain", "wrong domain"},
		{"wrong secret", func(a, b testNode) { a.TLS, b.TLS = mustKeys(t, secret), mustKeys(t, secret+"x") }, "", "certificate"},
		{"secret on one side", func(a, _ testNode) { a.TLS = mustKeys(t, secret) }, "", "certificate"},
		{"no certificate", func(_, b testNode) {
			b.TLS = mustKeys(t, developmentSecret)
			b.TLS.GetClientCertificate = nil
		}, "", "certificate required"},
		{"too many sessions", func(a, _ testNode) { a.MaxSessions = 1 }, "", "cannot connect"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, b := newTestNode("a"), newTestNode("b")
			tt.change(a, b)
			address := a.listen(t.Context(), t)
			if tt.name == "too many sessions" {
				other := newTestNode("c")
				other.Connect(t.Context(), address)
				receive(t, other.connected, "first session")
			}
			b.Connect(t.Context(), address)
			if err := receive(t, b.failures, "failure"); !strings.Contains(err.Error(), tt.dialing) {
				// The server rejects the client certificate only after the client has completed its handshake.
				t.Errorf("dialing end: got %v, want %q", err, tt.dialing)
			}
			if tt.accepts != "" {
				if err := receive(t, a.failures, "failure"); !strings.Contains(err.Error(), tt.accepts) {
					t.Errorf("accepting end: got %v, want %q", err, tt.accepts)
				}
			}
			if len(b.connected) > 0 {
				t.Error("a session was opened")
			}
		})
	}
}

// TestLoopbackOnly guards against traffic without a secret on addresses that other machines can reach.
func TestLoopbackOnly(t *testing.T) {
	n := newTestNode("a")
	for _, address := range []string{":0", "0.0.0.0:0", "[::]:0", "192.0.2.1:0"} {
		if _, err := n.Listen(t.Context(), address); err == nil || !strings.Contains(err.Error(), "secret") {
			t.Errorf("listen on %s: got %v, want an error that asks for a secret", address, err)
		}
	}
	n.Connect(t.Context(), "192.0.2.1:1")
	if err := receive(t, n.failures, "failure"); !strings.Contains(err.Error(), "secret") {
		t.Errorf("connect: got %v, want an error that asks for a secret", err)
	}
	if _, err := NewTLSConfig("short"); err == nil {
		t.Error("a short secret was accepted")
	}
}

// TestMalformedStreams guards against malformed input that does not end the connection, or ends it with an unclear cause.
func TestMalformedStreams(t *testing.T) {
	hello := withHeader(encoder.Append(nil, &encoder.Hello{Role: encoder.RoleSidecar}))
	tests := []struct {
		name  string
		bytes []byte
		want  string
	}{
		{"oversized first frame", header(encoder.MaxFrameSize + 1), "out of range"},
		{"oversized fragments", slices.Concat(hello, header(fragmentFlag|encoder.MaxFrameSize), make([]byte, encoder.MaxFrameSize), header(fragmentFlag|1)), "out of range"},
		{"empty first frame", header(0), "out of range"},
		{"first message is not Hello", withHeader(encoder.Append(nil, &encoder.Leaving{})), "want Hello"},
		{"Hello is garbage", withHeader([]byte{1, 8, 99}), "Hello.role"},
		{"oversized frame", slices.Concat(hello, header(encoder.MaxFrameSize+1)), "out of range"},
		{"truncated frame", slices.Concat(hello, header(1000)), "within a frame"},
		{"truncated message", slices.Concat(hello, header(fragmentFlag|1), []byte{0}), "within a frame"},
		{"truncated header", slices.Concat(hello, []byte{0, 0}), "within a frame"},
		{"undecodable message", slices.Concat(hello, withHeader([]byte{3, 16})), "Ping"},
		{"message of a newer version, then end", slices.Concat(hello, withHeader([]byte{100})), "closed by the peer"},
	}
	a := newTestNode("a")
	address, err := net.ResolveUDPAddr("udp", a.listen(t.Context(), t))
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			conn, err := quic.DialAddr(t.Context(), address.String(), mustKeys(t, developmentSecret), nil)
			if err != nil {
				t.Fatal(err)
			}
			stream, err := conn.OpenStream()
			if err != nil {
				t.Fatal(err)
			}
			if _, err := stream.Write(tt.bytes); err != nil {
				t.Fatal(err)
			}
			_ = stream.Close()
			var got error
			if len(tt.bytes) > len(hello) && string(tt.bytes[:len(hello)]) == string(hello) {
				got = receive(t, a.disconnected, "end").cause
			} else {
				got = receive(t, a.failures, "failure")
			}
			if !strings.Contains(got.Error(), tt.want) {
				t.Errorf("got %v, want %q", got, tt.want)
			}
			<-conn.Context().Done()
		})
	}
}

// TestQueueFull guards against an unbounded send queue, and against the delivery of other messages than those that Send
// accepted.
func TestQueueFull(t *testing.T) {
	// windowCount is an upper bound on the number of the smallest messages, 7 bytes with their header, that fit into
	// QUIC's initial send window of 32 packets before a write blocks.
	const windowCount = 1 << 13
	tests := []struct {
		name    string
		message encoder.Message
		limit   int
	}{
		{"count", &encoder.Grant{Credits: 1}, maxQueuedMessages + windowCount},
		{"bytes", &encoder.Result{Body: make([]byte, 1<<20)}, 64},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			a, b := newTestNode("a"), newTestNode("b")
			a.IdleTimeout, b.IdleTimeout = 60*timer.Second, 60*timer.Second
			r := newRelay(t, a.listen(t.Context(), t))
			b.Connect(t.Context(), r.address())
			s := receive(t, b.connected, "session").session
			r.drop(true, true)
			sent := 0
			for s.Send(tt.message) {
				if sent++; sent > tt.limit {
					t.Fatalf("%d messages were queued, want at most %d", sent, tt.limit)
				}
			}
			if s.Send(&encoder.Result{Body: make([]byte, encoder.MaxFrameSize)}) {
				t.Error("a message above MaxFrame was queued")
			}
			r.drop(false, false)
			for range sent {
				receive(t, a.messages, "queued message")
			}
			if !s.Send(&encoder.Claimed{Job: "last"}) {
				t.Fatal("the queue accepts no messages after it was flushed")
			}
			if got, ok := receive(t, a.messages, "last message").message.(*encoder.Claimed); !ok {
				t.Errorf("got %T, want the last message", got)
			}
		})
	}
}

// TestLongResult guards against a long result that delays the messages queued after it.
func TestLongResult(t *testing.T) {
	a, b := newTestNode("a"), newTestNode("b")
	a.IdleTimeout, b.IdleTimeout = 60*timer.Second, 60*timer.Second
	r := newRelay(t, a.listen(t.Context(), t))
	b.Connect(t.Context(), r.address())
	s := receive(t, b.connected, "session").session
	r.drop(true, true)
	s.Send(&encoder.Result{Body: make([]byte, encoder.MaxFrameSize/2)})
	s.Send(&encoder.Claimed{Job: "short"})
	r.drop(false, false)
	if got, ok := receive(t, a.messages, "short message").message.(*encoder.Claimed); !ok {
		t.Errorf("got %T first, want the short message", got)
	}
	if got, ok := receive(t, a.messages, "result").message.(*encoder.Result); !ok || len(got.Body) != encoder.MaxFrameSize/2 {
		t.Errorf("got %T, want the whole result", got)
	}
}

// TestTicks guards against a session that times out while OnMessage blocks, and against a pause of the process that is
// taken for an idle peer.
func TestTicks(t *testing.T) {
	a, b := newTestNode("a"), newTestNode("b")
	a.HeartbeatInterval, a.IdleTimeout, b.HeartbeatInterval = timer.Minute, 3*timer.Minute, timer.Minute
	handlerEntered, handlerRelease := make(chan bool), make(chan bool)
	a.OnMessage = func(*Session, encoder.Message) { handlerEntered <- true; <-handlerRelease }
	b.Connect(t.Context(), a.listen(t.Context(), t))
	s := receive(t, a.connected, "session").session
	receive(t, b.connected, "session").session.Send(&encoder.Leaving{})
	receive(t, handlerEntered, "message")
	for range 10 {
		s.tick()
	}
	if !s.Send(&encoder.Leaving{}) {
		t.Error("the session with a slow consumer was closed")
	}
	handlerRelease <- true
	receive(t, b.messages, "message")
	for s.Send(&encoder.Leaving{}) {
		s.received.Store(false)
		s.handling.Store(false)
		s.tick()
	}
	if got := receive(t, a.disconnected, "end").cause; !errors.Is(got, errIdleTimeout) {
		t.Errorf("got %v, want %v", got, errIdleTimeout)
	}
}

func header(size uint32) []byte { return binary.BigEndian.AppendUint32(nil, size) }

func withHeader(frame []byte) []byte { return append(header(uint32(len(frame))), frame...) }
