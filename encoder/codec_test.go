package encoder

import (
	"bytes"
	"flag"
	"reflect"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"

	"github.com/crocuslb/crocuslb/timer"
)

// A fixed seed makes runs repeatable; -rapid.seed tries others.
var _ = flag.Set("rapid.seed", "1")

var examples = []Message{
	&Hello{Role: RoleSidecar, Member: Member{"s1", 7}, Address: "10.0.0.1:7", Domain: "a", Worker: "w", Slots: 8, Kinds: []string{"", "x"}},
	&HelloAck{Member: Member{"e1", 1}, Roster: Roster{3, []RosterEntry{{Member{"e1", 1}, "10.0.0.2:7"}, {}}}},
	&Ping{Sequence: 1 << 40, Running: 3, Leaving: true, Epoch: 7},
	&Pong{Sequence: 4, Confirmed: true, ConfirmationAge: -5, Roster: Roster{Epoch: 1}, ConfigOffset: 9, DomainInForce: true, LogReachable: true},
	&Start{Task: TaskKey{"j", 879}, Epoch: 2, Owner: Member{"e", 1}, Kind: "k", Payload: make([]byte, 300), Deadline: 100, RunLimit: 5, Once: true, Claimed: true},
	&Claimed{"j"},
	&Result{TaskKey{"j", 1}, StatusDone, []byte{0}, "r", 17, 2},
	&Refusal{TaskKey{strings.Repeat("k", MaxKeyLen), 1}, RefusalClaimTimeout, 5, 1},
	&Grant{1}, &Recall{2}, &Release{3}, &Demand{1<<32 - 1},
	&Cancel{[]TaskKey{{"a", 1}, {"a", 2}, {"b", 0}}},
	&Collected{[]TaskKey{{}}},
	&Census{Roster{2, []RosterEntry{{Member{"e", 2}, ""}}}},
	&CensusReply{1, []StartedTask{{TaskKey{"j", 3}, StatusRunning, nil, ""}, {Body: make([]byte, 1<<15)}}, true},
	&Leaving{},
	&PeerPing{1, 2, 3, true, []string{"a"}, []Member{{"s", 1}}, true},
	&PeerPong{1, PeerPing{Sequence: 9, Sidecars: make([]Member, 1700)}},
	&Forward{1, RequestCancel, 2, Job{"k", "t", []JobTask{{"x", []byte("p"), 50, 64}, {}}, 1000, true}},
	&ForwardAnswer{1, Answer{"k", JobFailed, OutcomeUnknown, CodeInvalid, "why", []TaskResult{{}, {[]byte("b")}}, 250}, 3, 5},
	&Witness{[]string{"a", "", "b"}},
	&PeerCensus{Roster{Epoch: 7}},
	&PeerCensusReply{1, []KnownJob{{"a", 5}}, []KnownSidecar{{Member{"s", 2}, 7}}, true},
	&PeerConfiguration{[]byte("c")},
	&Handover{Job{Key: "k", Tasks: make([]JobTask, 880)}, []StartedTask{{Status: StatusFailed, Reason: "r"}}, Answer{Key: "k"}, true},
}

// TestRoundTrip guards against fields that are lost or mixed up by Append or Decode, and against wrong message types.
func TestRoundTrip(t *testing.T) {
	seen := map[Type]bool{0: true}
	for _, want := range examples {
		frame := Append([]byte("prefix"), want)[len("prefix"):]
		got, err := Decode(frame)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, %v, want %+v", got, err, want)
		}
		n := TypeOf(want)
		if seen[n] = true; n != Type(frame[0]) || !strings.EqualFold(n.String(), reflect.TypeOf(want).Elem().Name()) {
			t.Errorf("got type %d %s of %T, want %d", n, n, want, frame[0])
		}
	}
	if len(seen) != TypeCount || TypeOf(nil) != 0 {
		t.Errorf("got %d types, want %d", len(seen), TypeCount)
	}
}

// TestRoundTripProperty guards against the loss of particular values. It sets the fields by reflection, so that new
// fields are covered.
func TestRoundTripProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		example := rapid.SampledFrom(examples).Draw(t, "example")
		want := reflect.New(reflect.TypeOf(example).Elem())
		fillRandom(t, want.Elem())
		frame := Append(nil, want.Interface())
		got, err := Decode(appendUint(frame, 127, 1)) // a field of a newer version, which Decode must skip
		if err != nil || !reflect.DeepEqual(got, want.Interface()) {
			t.Fatalf("got %+v, %v, want %+v", got, err, want)
		}
	})
}

func fillRandom(t *rapid.T, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fillRandom(t, v.Field(i))
		}
	case reflect.Slice:
		if n := rapid.IntRange(0, 3).Draw(t, "length"); n > 0 {
			v.Set(reflect.MakeSlice(v.Type(), n, n))
			for i := range n {
				fillRandom(t, v.Index(i))
			}
		}
	case reflect.String:
		v.SetString(rapid.StringN(0, -1, MaxKeyLen).Draw(t, "string"))
	case reflect.Bool:
		v.SetBool(rapid.Bool().Draw(t, "bool"))
	case reflect.Int64:
		v.SetInt(rapid.Int64Range(-maxMillis, maxMillis).Draw(t, "millis"))
	case reflect.Uint8:
		v.SetUint(rapid.Uint64Range(0, 2).Draw(t, "enum"))
	case reflect.Uint32:
		v.SetUint(uint64(rapid.Uint32().Draw(t, "uint32")))
	default:
		v.SetUint(rapid.Uint64().Draw(t, "uint64"))
	}
}

// TestDecodeRefuses guards against unbounded input and against errors that do not name the message and the field.
func TestDecodeRefuses(t *testing.T) {
	long := strings.Repeat("x", MaxKeyLen+1)
	tests := []struct {
		name  string
		frame []byte
		want  string
	}{
		{"empty", nil, "no message type"},
		{"unknown type", []byte{99}, "unknown message type 99"},
		{"frame too long", make([]byte, MaxFrameSize+1), "exceeds"},
		{"key too long", Append(nil, &Claimed{long}), "Claimed.job: length 201"},
		{"nested key too long", Append(nil, &Result{Task: TaskKey{Job: long}}), "TaskKey.job"},
		{"too many tasks", Append(nil, &Cancel{make([]TaskKey, MaxTasks+1)}), "Cancel.tasks: more than 1024"},
		{"too many jobs", Append(nil, &Witness{make([]string, MaxRowsPerPart+1)}), "Witness.jobs"},
		{"unknown status", Append(nil, &Result{Status: 7}), "Result.status: value 7"},
		{"number too large", protowire.AppendVarint([]byte{typeGrant, 8}, 1<<32), "Grant.credits"},
		{"duration too long", Append(nil, &Start{RunLimit: maxMillis + 1}), "Start.runLimit"},
		{"wrong wire type", []byte{typeGrant, 10, 1, 1}, "Grant.credits: wire type 2"},
		{"bytes as varint", []byte{typeHello, 24, 1}, "Hello.address: wire type 0"},
		{"truncated", []byte{typeClaimed, 10, 5, 'a'}, "Claimed: field 1 is truncated"},
		{"bad tag", []byte{typePing, 0}, "Ping: malformed field tag"},
	}
	for _, tt := range tests {
		if _, err := Decode(tt.frame); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: got %v, want %q", tt.name, err, tt.want)
		}
	}
	m, err := Decode(Append(nil, &Result{Reason: strings.Repeat("r", MaxReasonLen+1)}))
	if err != nil || len(m.(*Result).Reason) != MaxReasonLen {
		t.Errorf("long reason: got %v, want a truncated reason", err)
	}
}

// FuzzDecode guards against panics, hangs and messages that change when they are encoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range examples {
		// The fuzzer would spend its time on minimizing large seeds.
		if frame := Append(nil, m); len(frame) < 1000 {
			f.Add(frame)
		}
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		m, err := Decode(frame)
		if err != nil {
			return
		}
		first := Append(nil, m)
		again, err := Decode(first)
		if err != nil || !bytes.Equal(Append(nil, again), first) {
			t.Errorf("got %+v, %v, want %+v", again, err, m)
		}
	})
}

// TestNames guards against names that do not match their constants.
func TestNames(t *testing.T) {
	tests := []struct{ got, want string }{
		{StatusRunning.String(), "running"}, {RefusalClaimTimeout.String(), "claimTimeout"},
		{RoleSidecar.String(), "sidecar"}, {JobFailed.String(), "failed"}, {OutcomeUnknown.String(), "unknown"},
		{RequestCancel.String(), "cancel"}, {CodeInvalid.String(), "invalid"}, {Status(77).String(), "77"},
	}
	for _, tt := range tests {
		if tt.got != tt.want {
			t.Errorf("got %q, want %q", tt.got, tt.want)
		}
	}
}

func BenchmarkStart(b *testing.B) {
	m := &Start{Task: TaskKey{"0123456789abcdef", 7}, Epoch: 2, Owner: Member{"e", 1}, Kind: "k", Payload: make([]byte, 100), RunLimit: timer.Second}
	frame := Append(nil, m)
	b.Run("append", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			frame = Append(frame[:0], m)
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := Decode(frame); err != nil {
				b.Fatal(err)
			}
		}
	})
}
