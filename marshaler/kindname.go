package marshaler

import (
	"reflect"
	"strconv"
	"strings"
)

// KindName returns the name of a message type by its number on the wire, as in "load". Unknown ones are called by number.
func KindName(kind byte) string {
	m, _ := decoder(kind)
	if m == nil {
		return "type" + strconv.Itoa(int(kind))
	}
	name := reflect.TypeOf(m).Elem().Name()
	return strings.ToLower(name[:1]) + name[1:]
}
