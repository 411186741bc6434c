// Package flooder tests the processes against crowds of clients that keep connections, requests or answers open, or send
// what is costly to read. It has no code of its own: the crowds are in the test files.
package flooder
