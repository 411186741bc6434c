package marshaler

import (
	"reflect"
	"strings"
	"testing"
)

// TestLongReasons guards against a reason that quotes other software, such as a backend server's answer, and is too long to be
// decoded, which ends the session on which it is sent.
func TestLongReasons(t *testing.T) {
	long := strings.Repeat("é", MaxNameLen)
	cases := []Message{&Outcome{Reason: long}, &Reject{Reason: long}, &Reply{Reason: long}, &JobAnswer{Reason: long}}
	for _, c := range cases {
		got, err := Decode(Append(nil, c))
		if err != nil {
			t.Errorf("%T: got %v, want no error", c, err)
			continue
		}
		text := reflect.ValueOf(got).Elem().FieldByName("Reason").String()
		if text == "" || len(text) > MaxNameLen || !strings.HasPrefix(long, text) {
			t.Errorf("%T: got a reason of %d bytes, want the first %d", c, len(text), MaxNameLen)
		}
	}
}
