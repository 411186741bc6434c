package messenger

import (
	"context"
	"crypto/tls"
	"testing"
	"time"

	"github.com/crocuslb/crocuslb/encoder"
)

// testTimeout ends a test that hangs. No assertion depends on it.
const testTimeout = time.Minute

type event struct {
	session *Session
	message encoder.Message
	cause   error
}

// testNode records the callbacks of a Node.
type testNode struct {
	*Node
	connected, disconnected, messages chan event
	failures                          chan error
}

func newTestNode(id string) testNode {
	tn := testNode{&Node{}, make(chan event, 100), make(chan event, 100), make(chan event, 200_000), make(chan error, 1000)}
	tn.Hello = func() encoder.Hello { return encoder.Hello{Member: encoder.Member{ID: id}, Role: encoder.RoleSidecar} }
	tn.Accept = func(*encoder.Hello) (encoder.HelloAck, error) {
		return encoder.HelloAck{Member: encoder.Member{ID: id}}, nil
	}
	tn.OnConnect = func(s *Session) { tn.connected <- event{session: s} }
	tn.OnDisconnect = func(s *Session, cause error) { tn.disconnected <- event{session: s, cause: cause} }
	tn.OnMessage = func(s *Session, m encoder.Message) { tn.messages <- event{session: s, message: m} }
	tn.OnConnectError = func(_ string, err error) {
		select {
		case tn.failures <- err:
		default:
		}
	}
	return tn
}

func (tn testNode) listen(ctx context.Context, t testing.TB) string {
	t.Helper()
	address, err := tn.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func receive[T any](t testing.TB, c <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("got no %s within %v", what, testTimeout)
		panic("unreachable")
	}
}

// TestSession guards against a broken handshake, lost or reordered messages, and a Close that drops queued messages.
func TestSession(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	a, b := newTestNode("a"), newTestNode("b")
	b.Connect(ctx, a.listen(ctx, t))
	serverSession, clientSession := receive(t, a.connected, "session").session, receive(t, b.connected, "session").session
	if got := serverSession.Peer().Member.ID; got != "b" {
		t.Errorf("got peer %q, want b", got)
	}
	if got := clientSession.Ack().Member.ID; got != "a" {
		t.Errorf("got acknowledgement of %q, want a", got)
	}
	const count = 20_000
	for i := range count {
		if !clientSession.Send(&encoder.Demand{Queued: uint32(i)}) {
			t.Fatalf("message %d was refused", i)
		}
	}
	if !serverSession.Send(&encoder.Result{Body: make([]byte, encoder.MaxFrameSize-100)}) {
		t.Error("a large message was refused")
	}
	clientSession.Close()
	for i := range count {
		if got := receive(t, a.messages, "message").message.(*encoder.Demand).Queued; got != uint32(i) {
			t.Fatalf("got message %d, want %d", got, i)
		}
	}
	if got := receive(t, b.messages, "large message").message.(*encoder.Result); len(got.Body) != encoder.MaxFrameSize-100 {
		t.Errorf("got %d bytes, want %d", len(got.Body), encoder.MaxFrameSize-100)
	}
	receive(t, a.disconnected, "end")
	receive(t, b.disconnected, "end")
	if clientSession.Send(&encoder.Leaving{}) {
		t.Error("a closed session accepted a message")
	}
	receive(t, b.connected, "second session")
	cancel()
	a.Wait()
	b.Wait()
}

func mustKeys(t testing.TB, secret string) *tls.Config {
	t.Helper()
	keys, err := NewTLSConfig(secret)
	if err != nil {
		t.Fatal(err)
	}
	return keys
}
