package marshaler

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/crocuslb/crocuslb/timer"
)

func kinds() []Message {
	return []Message{
		&Hello{}, &Beat{}, &Peers{}, &Configuration{}, &Backend{}, &Load{}, &Start{}, &Stop{}, &Outcome{}, &Held{}, &Subscribe{},
		&Ask{}, &Withdraw{}, &Grant{}, &Reject{}, &JobRecord{}, &EndRecord{}, &CancelRecord{}, &Owned{}, &Claim{}, &Release{}, &Census{},
		&Noted{}, &Call{}, &Reply{}, &Waiting{}, &OwnerRecord{}, &Handover{},
	}
}

// fill sets each field of v to a drawn value, so that a field that the codec forgets shows.
func fill(t *rapid.T, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		fill(t, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			fill(t, v.Field(i))
		}
	case reflect.Slice:
		n := rapid.IntRange(0, 4).Draw(t, "length")
		if n == 0 {
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), n, n))
		for i := range n {
			fill(t, v.Index(i))
		}
	case reflect.String:
		v.SetString(rapid.StringN(0, 20, MaxName).Draw(t, "text"))
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

// TestRoundTrip guards against fields that get lost between processes.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := kinds()[rapid.IntRange(0, len(kinds())-1).Draw(t, "message")]
		fill(t, reflect.ValueOf(m))
		got, err := Decode(Append(nil, m))
		if err != nil {
			t.Fatalf("%T: got error %v", m, err)
		}
		if !reflect.DeepEqual(got, m) {
			t.Fatalf("got %+v, want %+v", got, m)
		}
	})
}

// TestMalformed guards against frames of another writer.
func TestMalformed(t *testing.T) {
	start := Append(nil, &Start{Run: RunKey{"job", 1, 2}, Spec: "x", Estimate: timer.Second})
	cases := []struct {
		name  string
		frame []byte
	}{
		{"empty", nil}, {"unknown type", []byte{200}}, {"cut", start[:len(start)-1]}, {"cut in the key", start[:4]},
		{"wrong wire type", []byte{kindBeat, 0x0d, 1, 2, 3, 4}}, {"text for a number", []byte{kindBeat, 0x0a, 1, 'x'}},
		{"name too long", Append(nil, &Withdraw{Job: string(make([]byte, MaxName+1))})},
	}
	for _, c := range cases {
		if m, err := Decode(c.frame); err == nil {
			t.Errorf("%s: got %+v, want an error", c.name, m)
		}
	}
}

// FuzzDecode guards against frames that make a process panic.
func FuzzDecode(f *testing.F) {
	for _, m := range kinds() {
		f.Add(Append(nil, m))
	}
	f.Fuzz(func(_ *testing.T, frame []byte) { _, _ = Decode(frame) })
}
