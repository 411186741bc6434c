package starter

import (
	"runtime"
	"strconv"
	"testing"

	"github.com/crocuslb/crocuslb/encoder"
)

// benchmarkStarts starts, ends and collects n tasks in a core, with 20 tasks per job.
func benchmarkStarts(c *Core, n int) {
	session := ownerSession(c, task(0))
	owner := c.sessions[session].member
	done := Outcome{Status: encoder.StatusDone, Body: make([]byte, 64)}
	for i := range n {
		k := encoder.TaskKey{Job: "team-1/submission-" + strconv.Itoa(i/20), Index: uint32(i % 20)}
		c.Receive(1000, session, &encoder.Start{Task: k, Epoch: 5, Owner: owner})
		c.RunEnded(1000, k, done)
		c.Receive(1000, session, &encoder.Collected{Tasks: []encoder.TaskKey{k}})
	}
}

// BenchmarkStart measures the start, end and collection of a task in the core.
func BenchmarkStart(b *testing.B) {
	c := newConnectedCore(testMembers[:3]...)
	b.ResetTimer()
	benchmarkStarts(c, b.N)
}

// BenchmarkKept measures the memory per collected task with a full started-task table.
func BenchmarkKept(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		c := newConnectedCore(testMembers[:3]...)
		runtime.GC()
		runtime.ReadMemStats(&before)
		benchmarkStarts(c, defaultMaxKeys)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/defaultMaxKeys, "B/key")
		runtime.KeepAlive(c)
	}
}
