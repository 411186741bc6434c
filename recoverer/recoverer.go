// Package recoverer converts panics to errors, so that a panic in the handling of one message does not terminate the process.
package recoverer

import (
	"runtime/debug"

	"github.com/gravitational/trace"
)

// maxStack is the maximum size in bytes of the stack trace in an error. It holds about the ten innermost calls.
const maxStack = 2 << 10

// Call calls f. It returns nil if f returns normally, and an error with the panic value and the stack trace if f panics.
func Call(f func()) (err error) {
	defer func() {
		if v := recover(); v != nil {
			stack := debug.Stack()
			err = trace.Errorf("panic: %v\n%s", v, stack[:min(len(stack), maxStack)])
		}
	}()
	f()
	return nil
}
