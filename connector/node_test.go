package connector

import (
	"context"
	"encoding/binary"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/crocuslb/crocuslb/marshaler"
)

type testNode struct {
	Node
	up, down, messages atomic.Int64
	latest             atomic.Pointer[Session]
}

func newTestNode(name string) *testNode {
	e := &testNode{}
	e.Hello = func() marshaler.Hello { return marshaler.Hello{Role: marshaler.RoleEntry, Name: name} }
	e.OnConnect = func(s *Session) { e.latest.Store(s); e.up.Add(1) }
	e.OnMessage = func(_ *Session, batch []marshaler.Message) { e.messages.Add(int64(len(batch))) }
	e.OnDisconnect = func(*Session, error) { e.down.Add(1) }
	return e
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for started := time.Now(); !ok(); time.Sleep(time.Millisecond) {
		if time.Since(started) > 10*time.Second {
			t.Fatalf("%s: condition not met within 10 s", what)
		}
	}
}

// TestSession guards against messages that are lost on an open session, and against sessions that are not reestablished.
func TestSession(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a, b := newTestNode("a"), newTestNode("b")
	address, err := a.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.Connect(ctx, address)
	eventually(t, "session", func() bool { return a.up.Load() == 1 && b.up.Load() == 1 })
	if got := a.latest.Load().Remote; got.Name != "b" || got.Session != 1 {
		t.Errorf("got the Hello %+v, want that of b with session 1", got)
	}
	for range 5000 {
		b.latest.Load().Send(&marshaler.Heartbeat{Offset: 7})
	}
	b.latest.Load().Send(&marshaler.Configuration{Body: make([]byte, 100_000)})
	eventually(t, "messages", func() bool { return a.messages.Load() == 5001 })
	a.latest.Load().Close(net.ErrClosed)
	eventually(t, "new session", func() bool { return b.up.Load() == 2 && a.up.Load() == 2 && b.down.Load() == 1 })
	if got := a.latest.Load().Remote.Session; got != 2 {
		t.Errorf("got session %d after a reconnect, want 2", got)
	}
	cancel()
	a.Wait()
	b.Wait()
}

// TestInvalidPeers guards against connections of other software that are taken for sessions or stop the listener.
func TestInvalidPeers(t *testing.T) {
	huge := binary.BigEndian.AppendUint32(nil, maxFrameSize+1)
	cases := []struct {
		name  string
		bytes []byte
	}{
		{"HTTP", []byte("GET / HTTP/1.1\r\n\r\n")}, {"frame too large", huge}, {"empty frame", make([]byte, 4)},
		{"first message is not Hello", []byte{0, 0, 0, 1, 2}}, {"nothing", nil},
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a := newTestNode("a")
	var failed atomic.Int64
	a.OnConnectError = func(string, error) { failed.Add(1) }
	address, err := a.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	for i, c := range cases {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(c.bytes); err != nil {
			t.Fatal(err)
		}
		eventually(t, c.name, func() bool { return failed.Load() == int64(i+1) })
		_ = conn.Close()
	}
	if a.up.Load() != 0 {
		t.Errorf("got %d sessions, want 0", a.up.Load())
	}
}

// TestUnknownPeers guards against connections of strangers that make the process allocate a large frame, and against ones that
// are not counted until they have said who they are.
func TestUnknownPeers(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a, b := newTestNode("a"), newTestNode("b")
	var failed, unknown, refused atomic.Int64
	a.OnConnectError = func(string, error) { failed.Add(1) }
	a.Admit = func(net.Conn) (func(), bool) {
		if unknown.Load() == 1 {
			refused.Add(1)
			return nil, false
		}
		unknown.Add(1)
		return func() { unknown.Add(-1) }, true
	}
	address, err := a.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	eventually(t, "unknown peer", func() bool { return unknown.Load() == 1 })
	second, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = second.Close() }()
	eventually(t, "refused peer", func() bool { return refused.Load() == 1 })
	if _, err := conn.Write(binary.BigEndian.AppendUint32(nil, maxHelloSize+1)); err != nil {
		t.Fatal(err)
	}
	eventually(t, "end of the unknown peer", func() bool { return failed.Load() == 1 && unknown.Load() == 0 })
	b.Connect(ctx, address)
	eventually(t, "session", func() bool { return a.up.Load() == 1 && unknown.Load() == 0 })
	cancel()
	a.Wait()
	b.Wait()
}

// TestStalledReader guards against a sender that blocks, or queues without limit, when the peer does not read.
func TestStalledReader(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	b := newTestNode("b")
	b.Connect(ctx, listener.Addr().String())
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	hello := marshaler.Append(make([]byte, headerSize), &marshaler.Hello{Name: "stalled"})
	binary.BigEndian.PutUint32(hello, uint32(len(hello)-headerSize))
	if _, err := conn.Write(hello); err != nil {
		t.Fatal(err)
	}
	eventually(t, "session", func() bool { return b.up.Load() == 1 })
	s := b.latest.Load()
	body := make([]byte, 1<<20)
	for range 2 * maxQueuedBytes / len(body) {
		s.Send(&marshaler.Configuration{Body: body})
	}
	eventually(t, "end of the session", func() bool { return b.down.Load() == 1 })
}

// TestPanic guards against a panic in the handling of one message, or invalid bytes, that end the process or other
// sessions.
func TestPanic(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a := newTestNode("a")
	var panics atomic.Int64
	a.OnPanic = func(*Session, error) { panics.Add(1) }
	a.OnMessage = func(s *Session, batch []marshaler.Message) {
		if s.Remote.Name == "bad" {
			panic("injected")
		}
		a.messages.Add(int64(len(batch)))
	}
	address, err := a.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	good, bad := newTestNode("good"), newTestNode("bad")
	good.Connect(ctx, address)
	eventually(t, "session", func() bool { return good.up.Load() == 1 })
	bad.OnConnect = func(s *Session) { s.Send(&marshaler.Heartbeat{}) }
	bad.Connect(ctx, address)
	eventually(t, "panic", func() bool { return panics.Load() > 0 })
	for _, garbage := range []string{"\x00\x00\x00\x00", "\xff\xff\xff\xff", "\x00\x00\x00\x05\x01\xff\xff\xff\xff", "GET / HTTP/1.1\r\n\r\n"} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write([]byte(garbage)); err != nil {
			t.Fatal(err)
		}
		_ = conn.Close() // the bytes are written
	}
	good.latest.Load().Send(&marshaler.Heartbeat{})
	eventually(t, "message of another session", func() bool { return a.messages.Load() == 1 })
	if got := good.down.Load(); got != 0 {
		t.Errorf("got %d disconnects of another session, want 0", got)
	}
	cancel()
	a.Wait()
	good.Wait()
	bad.Wait()
}

// TestTraffic guards against messages that are counted under the wrong type or not at all.
func TestTraffic(t *testing.T) {
	var traffic Traffic
	s := newSession(nil, false, &traffic)
	for _, m := range []marshaler.Message{&marshaler.Heartbeat{Offset: 1}, &marshaler.Heartbeat{}, &marshaler.Load{Accepting: true}} {
		s.Send(m)
	}
	want := []TypeStats{{"beat", 2, uint64(len(marshaler.Append(nil, &marshaler.Heartbeat{Offset: 1}))+len(marshaler.Append(nil, &marshaler.Heartbeat{}))) + 2*headerSize},
		{"load", 1, uint64(len(marshaler.Append(nil, &marshaler.Load{Accepting: true}))) + headerSize}}
	if got := traffic.Stats(); !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got, want := marshaler.KindName(200), "type200"; got != want {
		t.Errorf("got the name %q of an unknown type, want %q", got, want)
	}
}

// TestHelloPanic guards against a panic in Hello that ends the process.
func TestHelloPanic(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	a, b := newTestNode("a"), newTestNode("b")
	var panics atomic.Int64
	a.OnPanic = func(*Session, error) { panics.Add(1) }
	hello := a.Hello
	a.Hello = func() marshaler.Hello {
		if panics.Load() == 0 {
			panic("injected")
		}
		return hello()
	}
	address, err := a.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b.Connect(ctx, address)
	eventually(t, "session after the panic", func() bool { return b.up.Load() == 1 })
	cancel()
	a.Wait()
	b.Wait()
}

// TestSendAfterClose guards against messages that pile up in a closed session which its user still holds.
func TestSendAfterClose(t *testing.T) {
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }() // nothing is read from it
	s := newSession(local, true, nil)
	s.Close(net.ErrClosed)
	for range 1000 {
		s.Send(&marshaler.Heartbeat{})
	}
	if got := len(s.queued); got != 0 {
		t.Errorf("got %d bytes queued in a closed session, want 0", got)
	}
}
