package loader

import (
	"net/netip"
	"strconv"

	"github.com/crocuslb/crocuslb/timer"
)

// Values holds checked settings. Its methods panic when the name was not declared, which is a bug in the caller.
type Values struct {
	texts   map[string]string
	sources map[string]string
}

// Text returns the text of a setting.
func (v Values) Text(name string) string {
	t, ok := v.texts[name]
	if !ok {
		panic("loader: setting " + name + " is not declared")
	}
	return t
}

// Source returns where the value of a setting comes from: its flag, its variable or "default".
func (v Values) Source(name string) string { return v.sources[name] }

// Millis returns a duration.
func (v Values) Millis(name string) timer.Millis {
	m, err := ParseMillis(v.Text(name))
	if err != nil {
		return 0
	}
	return m
}

// Count returns a whole number.
func (v Values) Count(name string) int64 {
	n, err := strconv.ParseInt(v.Text(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// Number returns a share or a ratio.
func (v Values) Number(name string) float64 {
	f, err := strconv.ParseFloat(v.Text(name), 64)
	if err != nil {
		return 0
	}
	return f
}

// Switch returns a switch.
func (v Values) Switch(name string) bool {
	b, err := strconv.ParseBool(v.Text(name))
	return err == nil && b
}

// List returns the items of a list; it is empty when the setting is.
func (v Values) List(name string) []string { return split(v.Text(name)) }

// Loopback reports whether the address in a setting is empty or on the loopback interface.
func (v Values) Loopback(name string) bool {
	if v.Text(name) == "" {
		return true
	}
	a, err := netip.ParseAddrPort(v.Text(name))
	return err == nil && a.Addr().Unmap().IsLoopback()
}
