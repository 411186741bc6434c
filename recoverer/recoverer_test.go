package recoverer

import (
	"errors"
	"strings"
	"testing"
)

// TestCall guards against panics that are not recovered, and against errors that omit the panic value.
func TestCall(t *testing.T) {
	var none map[string]int
	cases := []struct {
		name string
		f    func()
		want string // substring of the error; empty for no error
	}{
		{"returns", func() {}, ""},
		{"text", func() { panic("bad message") }, "bad message"},
		{"error", func() { panic(errors.New("bad record")) }, "bad record"},
		{"runtime error", func() { none["a"] = 1 }, "assignment to entry in nil map"},
		{"nil", func() { panic(nil) }, "panic called with nil argument"}, //nolint:govet // nil is the case
	}
	for _, c := range cases {
		err := Call(c.f)
		got := ""
		if err != nil {
			got = err.Error()
		}
		if (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: got %q, want %q in it", c.name, got, c.want)
		}
	}
}
