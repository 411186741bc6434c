package marshaler

import (
	"fmt"
	"reflect"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"

	"github.com/crocuslb/crocuslb/timer"
)

func allMessages() []Message {
	return []Message{
		&Hello{}, &Heartbeat{}, &Peers{}, &Configuration{}, &Backend{}, &Load{}, &Start{}, &Stop{}, &Outcome{}, &ActiveRuns{}, &LoadSubscription{},
		&ResourceRequest{}, &CancelResourceRequest{}, &Grant{}, &Reject{}, &JobRecord{}, &EndRecord{}, &CancelRecord{}, &OwnedPartitions{}, &Claim{}, &Release{}, &Census{},
		&OutcomeAck{}, &Call{}, &Reply{}, &QueueBacklog{}, &OwnerRecord{}, &Handover{},
		&JobHandover{}, &JobAnswer{}, &CancelJobHandover{}, &Question{}, &Explanation{}, &CrashRecord{},
	}
}

// fillRandom sets every field of v to a random value, so that a field that the codec omits changes in a round trip.
func fillRandom(t *rapid.T, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		fillRandom(t, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			fillRandom(t, v.Field(i))
		}
	case reflect.Slice:
		n := rapid.IntRange(0, 4).Draw(t, "length")
		if n == 0 {
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), n, n))
		for i := range n {
			fillRandom(t, v.Index(i))
		}
	case reflect.String:
		v.SetString(rapid.StringN(0, 20, MaxNameLen).Draw(t, "text"))
	case reflect.Bool:
		v.SetBool(rapid.Bool().Draw(t, "flag"))
	case reflect.Int64:
		v.SetInt(rapid.Int64().Draw(t, "number"))
	case reflect.Uint8:
		v.SetUint(uint64(rapid.Byte().Draw(t, "small")))
	case reflect.Uint64:
		v.SetUint(rapid.Uint64().Draw(t, "count"))
	default:
		t.Fatalf("kind %s is not covered", v.Kind())
	}
}

// TestRoundTrip guards against message fields that are not encoded or not decoded.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := allMessages()[rapid.IntRange(0, len(allMessages())-1).Draw(t, "message")]
		fillRandom(t, reflect.ValueOf(m))
		got, err := Decode(Append(nil, m))
		if err != nil {
			t.Fatalf("%T: got error %v", m, err)
		}
		if !reflect.DeepEqual(got, m) {
			t.Fatalf("got %+v, want %+v", got, m)
		}
	})
}

// TestOptionalFields guards against a field that a process of the former version needs or cannot skip: a message without the
// optional fields is encoded as before, and fields of a later version are skipped.
func TestOptionalFields(t *testing.T) {
	cases := []struct {
		name      string
		with      Message
		without   Message
		wantExtra int // bytes
	}{
		{"request", &ResourceRequest{Job: "j", TargetEnd: 50, LastUsefulEnd: 60}, &ResourceRequest{Job: "j"}, 6},
		{"start", &Start{Queue: "queue", SentAt: 60}, &Start{}, 9},
		{"start with requirements", &Start{Service: "svc", Label: "a"}, &Start{}, 8},
		{"suspect start", &Start{Suspicion: SuspicionStrong}, &Start{}, 2},
		{"suspect request", &ResourceRequest{Job: "j", Suspicion: SuspicionPossible}, &ResourceRequest{Job: "j"}, 3},
		{"crash", &Outcome{Status: StatusCrashed, Blame: BlameCertain}, &Outcome{Status: StatusCrashed}, 2},
		{"suspect runs", &Load{SuspectRuns: 1}, &Load{}, 2},
		{"crashed task", &JobRecord{Tasks: []TaskRecord{{Index: 1, Crashes: []TaskCrash{{Attempt: 2}}, GivenUp: true}}}, &JobRecord{Tasks: []TaskRecord{{Index: 1}}}, 6},
		{"call", &Call{Number: 1, Epoch: 50}, &Call{Number: 1}, 2},
		{"heartbeat", &Heartbeat{Offset: 1, Time: 50, SentAt: 60}, &Heartbeat{Offset: 1}, 4},
		{"load", &Load{CompletedRuns: []CompletedRun{{Job: "j", Queue: "queue"}}, Time: 50}, &Load{CompletedRuns: []CompletedRun{{Job: "j"}}}, 9},
	}
	for _, c := range cases {
		with, without := Append(nil, c.with), Append(nil, c.without)
		if got := len(with) - len(without); got != c.wantExtra {
			t.Errorf("%s: got %d bytes for the optional fields, want %d", c.name, got, c.wantExtra)
		}
		later := protowire.AppendVarint(protowire.AppendTag(without, 100, protowire.VarintType), 7)
		if got, err := Decode(later); err != nil || !reflect.DeepEqual(got, c.without) {
			t.Errorf("%s: got %+v, %v from a later version, want %+v", c.name, got, err, c.without)
		}
	}
}

// TestKindName guards against a message type that loses its name in metrics, for example when its Go type is renamed.
func TestKindName(t *testing.T) {
	want := []string{
		"hello", "beat", "peers", "configuration", "backend", "load", "start", "stop", "outcome", "held", "subscribe",
		"ask", "withdraw", "grant", "reject", "jobRecord", "endRecord", "cancelRecord", "owned", "claim", "release", "census",
		"noted", "call", "reply", "waiting", "ownerRecord", "handover",
		"jobHandover", "jobAnswer", "cancelJobHandover", "question", "explanation", "crashRecord",
	}
	messages := allMessages()
	if len(messages) != len(want) {
		t.Fatalf("got %d message types, want %d", len(messages), len(want))
	}
	for i, m := range messages {
		if got := KindName(Append(nil, m)[0]); got != want[i] {
			t.Errorf("%T: got %q, want %q", m, got, want[i])
		}
	}
	for _, kind := range []byte{0, byte(len(want) + 1), 255} {
		if got, want := KindName(kind), fmt.Sprintf("type%d", kind); got != want {
			t.Errorf("type %d: got %q, want %q", kind, got, want)
		}
	}
}

// TestMalformed guards against decoding frames that are truncated or violate the format or a limit.
func TestMalformed(t *testing.T) {
	start := Append(nil, &Start{Run: RunKey{"job", 1, 2}, Spec: "x", Estimate: timer.Second})
	cases := []struct {
		name  string
		frame []byte
	}{
		{"empty", nil}, {"unknown type", []byte{200}}, {"truncated", start[:len(start)-1]}, {"truncated in the key", start[:4]},
		{"wrong wire type", []byte{kindHeartbeat, 0x0d, 1, 2, 3, 4}}, {"text for a number", []byte{kindHeartbeat, 0x0a, 1, 'x'}},
		{"name too long", Append(nil, &CancelResourceRequest{Job: string(make([]byte, MaxNameLen+1))})},
	}
	for _, c := range cases {
		if m, err := Decode(c.frame); err == nil {
			t.Errorf("%s: got %+v, want an error", c.name, m)
		}
	}
}

// FuzzDecode guards against frames that make the decoder panic.
func FuzzDecode(f *testing.F) {
	for _, m := range allMessages() {
		f.Add(Append(nil, m))
	}
	f.Fuzz(func(_ *testing.T, frame []byte) { _, _ = Decode(frame) })
}
