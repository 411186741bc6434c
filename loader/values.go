package loader

import (
	"net/netip"
	"strconv"

	"github.com/crocuslb/crocuslb/timer"
)

// Values holds validated settings. Its methods, except Source, panic if the name is not declared, which is a bug in the
// caller.
type Values struct {
	values  map[string]string
	sources map[string]string
}

// Text returns the value of a setting as text.
func (v Values) Text(name string) string {
	t, ok := v.values[name]
	if !ok {
		panic("loader: setting " + name + " is not declared")
	}
	return t
}

// Source returns the source of a setting's value: its flag, its variable or "default".
func (v Values) Source(name string) string { return v.sources[name] }

// Millis returns the value of a duration setting.
func (v Values) Millis(name string) timer.Millis {
	m, err := ParseMillis(v.Text(name))
	if err != nil {
		return 0
	}
	return m
}

// Count returns the value of an integer setting.
func (v Values) Count(name string) int64 {
	n, err := strconv.ParseInt(v.Text(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// Number returns the value of a share or ratio setting.
func (v Values) Number(name string) float64 {
	f, err := strconv.ParseFloat(v.Text(name), 64)
	if err != nil {
		return 0
	}
	return f
}

// Bool returns the value of a Boolean setting.
func (v Values) Bool(name string) bool {
	b, err := strconv.ParseBool(v.Text(name))
	return err == nil && b
}

// List returns the items of a list setting; an empty setting has no items.
func (v Values) List(name string) []string { return splitList(v.Text(name)) }

// IsLoopback reports whether the address in a setting is empty or a loopback address.
func (v Values) IsLoopback(name string) bool {
	if v.Text(name) == "" {
		return true
	}
	a, err := netip.ParseAddrPort(v.Text(name))
	return err == nil && a.Addr().Unmap().IsLoopback()
}
