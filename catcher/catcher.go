// Package catcher turns panics into errors, so that a fault in the handling of one message ends that message and not the
// process.
package catcher

import (
	"runtime/debug"

	"github.com/gravitational/trace"
)

// maxStack is the largest part of a stack, in bytes, that an error carries: enough for the innermost ten calls or so.
const maxStack = 2 << 10

// Catch calls f. It returns the value of a panic in f as an error with the stack, or nil when f returns normally.
func Catch(f func()) (err error) {
	defer func() {
		if v := recover(); v != nil {
			stack := debug.Stack()
			err = trace.Errorf("panic: %v\n%s", v, stack[:min(len(stack), maxStack)])
		}
	}()
	f()
	return nil
}
