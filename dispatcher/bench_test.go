package dispatcher

import (
	"runtime"
	"strconv"
	"testing"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// BenchmarkTask measures the core's work for one task: its share of the submission, placement, result and answer, for
// jobs of 10 tasks.
func BenchmarkTask(b *testing.B) {
	const tasks = 10
	c := newBench(b, Settings{})
	c.message(&encoder.Grant{Credits: tasks})
	j := job("", tasks)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if n%tasks == 0 {
			j.Key = strconv.Itoa(n)
			c.core.Submit(c.now, uint64(n), j)
			for _, f := range c.core.Take() {
				if s, ok := f.Message.(*encoder.Start); ok {
					c.core.Message(c.now, sidecarSession, &encoder.Result{
						Task: s.Task, Status: encoder.StatusDone, Ran: 100, Credits: 1,
					})
				}
			}
			c.core.Take()
			if len(c.core.jobs) != 0 {
				b.Fatal("the job has not ended")
			}
		}
		if n%10_000 == 0 {
			c.now += 100
			c.confirm()
			c.core.Tick(c.now)
			c.core.Take()
		}
	}
}

// BenchmarkMemory measures the bytes that a task in flight and a kept answer take, for jobs of 10 tasks.
func BenchmarkMemory(b *testing.B) {
	const jobs, tasks = 20_000, 10
	for b.Loop() {
		c := newBench(b, Settings{})
		c.core.queue.MaxWait = 1000 * timer.Minute
		before := heapBytes()
		for n := range jobs {
			c.core.Submit(c.now, uint64(n), job(strconv.Itoa(n), tasks))
		}
		c.core.Take()
		flying := heapBytes()
		if len(c.core.jobs) != jobs {
			b.Fatalf("%d of %d jobs were admitted", len(c.core.jobs), jobs)
		}
		c.core.Message(c.now, sidecarSession, &encoder.Grant{Credits: jobs * tasks})
		c.core.Take()
		for n := range jobs {
			for i := range tasks {
				c.core.Message(c.now, sidecarSession, &encoder.Result{
					Task: encoder.TaskKey{Job: strconv.Itoa(n), Index: uint32(i)}, Status: encoder.StatusDone, Body: make([]byte, 16),
				})
			}
			c.core.Take()
		}
		c.tick(2 * collectDelay)
		c.sent = nil
		kept := heapBytes()
		b.ReportMetric(float64(flying-before)/jobs/tasks, "B/task")
		b.ReportMetric(float64(kept-before)/jobs, "B/answer")
		runtime.KeepAlive(c)
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkCollected measures a tick at 100,000 tasks a second, all of which wait until the sidecars may drop them.
func BenchmarkCollected(b *testing.B) {
	const perTick = 500
	c, sc := New(Settings{}), &sidecar{session: sidecarSession}
	for b.Loop() {
		for i := range perTick {
			c.collect.add(sc, encoder.TaskKey{Job: "job", Index: uint32(i)}, c.now+collectDelay)
		}
		c.now += 5
		c.flushCollected()
		c.Take()
	}
}
