package dispatcher

import (
	"runtime"
	"strconv"
	"testing"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// BenchmarkTask measures the cost of one task in the core: placement, result, and its share of submission and answer, for
// jobs of 10 tasks.
func BenchmarkTask(b *testing.B) {
	const tasks = 10
	c := newTestBench(b, Settings{})
	c.message(&encoder.Grant{Credits: tasks})
	j := job("", tasks)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if n%tasks == 0 {
			j.Key = strconv.Itoa(n)
			c.core.Submit(c.now, uint64(n), j)
			for _, f := range c.core.TakeEffects() {
				if s, ok := f.Message.(*encoder.Start); ok {
					c.core.HandleMessage(c.now, sidecarSession, &encoder.Result{
						Task: s.Task, Status: encoder.StatusDone, RunTime: 100, Credits: 1,
					})
				}
			}
			c.core.TakeEffects()
			if len(c.core.submissions) != 0 {
				b.Fatal("the job did not end")
			}
		}
		if n%10_000 == 0 {
			c.now += 100
			c.confirmStreams()
			c.core.Tick(c.now)
			c.core.TakeEffects()
		}
	}
}

// BenchmarkMemory measures the memory of a task in flight and of a cached answer, for jobs of 10 tasks.
func BenchmarkMemory(b *testing.B) {
	const jobs, tasks = 20_000, 10
	for b.Loop() {
		c := newTestBench(b, Settings{})
		c.core.queue.MaxWait = 1000 * timer.Minute
		before := heapBytes()
		for n := range jobs {
			c.core.Submit(c.now, uint64(n), job(strconv.Itoa(n), tasks))
		}
		c.core.TakeEffects()
		inFlight := heapBytes()
		if len(c.core.submissions) != jobs {
			b.Fatalf("%d of %d jobs were admitted", len(c.core.submissions), jobs)
		}
		c.core.HandleMessage(c.now, sidecarSession, &encoder.Grant{Credits: jobs * tasks})
		c.core.TakeEffects()
		for n := range jobs {
			for i := range tasks {
				c.core.HandleMessage(c.now, sidecarSession, &encoder.Result{
					Task: encoder.TaskKey{Job: strconv.Itoa(n), Index: uint32(i)}, Status: encoder.StatusDone, Body: make([]byte, 16),
				})
			}
			c.core.TakeEffects()
		}
		c.tick(2 * collectDelay)
		c.sent = nil
		kept := heapBytes()
		b.ReportMetric(float64(inFlight-before)/jobs/tasks, "B/task")
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

// BenchmarkCollected measures the cost per tick of the collected queue at 100,000 tasks a second.
func BenchmarkCollected(b *testing.B) {
	const perTick = 500
	c, sc := New(Settings{}), &sidecar{session: sidecarSession}
	for b.Loop() {
		for i := range perTick {
			c.collected.add(sc, encoder.TaskKey{Job: "job", Index: uint32(i)}, c.now+collectDelay)
		}
		c.now += 5
		c.flushCollected()
		c.TakeEffects()
	}
}

// BenchmarkSidecarDown measures the loss and return of one of 200 sidecars while 200,000 tasks are queued or running.
func BenchmarkSidecarDown(b *testing.B) {
	const sidecars, jobs, tasks, credits = 200, 20_000, 10, 10
	c := newTestBench(b, Settings{})
	c.core.queue.MaxWait = 1000 * timer.Minute
	for i := range sidecars {
		id := sidecarSession + 1 + SessionID(i)
		c.core.SessionOpened(c.now, id, hello(strconv.Itoa(i), 1))
		c.core.HandleMessage(c.now, id, &encoder.Grant{Credits: credits})
	}
	for n := range jobs {
		c.core.Submit(c.now, uint64(n), job(strconv.Itoa(n), tasks))
	}
	c.core.TakeEffects()
	id := sidecarSession + 1
	for n := 0; b.Loop(); n++ {
		c.core.SessionClosed(c.now, id)
		id = sidecarSession + sidecars + 1 + SessionID(n)
		c.core.SessionOpened(c.now, id, hello("0", 1))
		starts := 0
		for _, f := range c.core.TakeEffects() {
			if _, ok := f.Message.(*encoder.Start); ok {
				starts++
			}
		}
		if starts != credits {
			b.Fatalf("%d starts were repeated, want %d", starts, credits)
		}
	}
}

// TestSidecarSubmissions guards against submissions that are missing in the index of a sidecar while a task is placed there,
// or that remain in it after their end, also when the task ended on another sidecar.
func TestSidecarSubmissions(t *testing.T) {
	c := newTestBench(t, Settings{})
	c.core.Submit(c.now, 1, job("j", 1))
	firstSidecar := c.core.sidecars["s"]
	if len(firstSidecar.submissions) != 1 {
		t.Errorf("got %d submissions at the sidecar after the start, want 1", len(firstSidecar.submissions))
	}
	task := encoder.TaskKey{Job: "j"}
	c.core.HandleMessage(c.now, sidecarSession, &encoder.Recall{Credits: 2})
	c.core.SessionOpened(c.now, sidecarSession+1, hello("other", 1))
	c.core.HandleMessage(c.now, sidecarSession+1, &encoder.Grant{Credits: 1})
	c.core.HandleMessage(c.now, sidecarSession, &encoder.Refusal{Task: task, Reason: encoder.RefusalNoSlot})
	secondSidecar := c.core.sidecars["other"]
	if len(secondSidecar.submissions) != 1 {
		t.Errorf("got %d submissions at the second sidecar after the second start, want 1", len(secondSidecar.submissions))
	}
	c.core.HandleMessage(c.now, sidecarSession+1, &encoder.Result{Task: task, Status: encoder.StatusDone})
	if len(c.core.submissions)+len(firstSidecar.submissions)+len(secondSidecar.submissions) != 0 {
		t.Errorf("got %d and %d submissions at the sidecars after the end, want none", len(firstSidecar.submissions),
			len(secondSidecar.submissions))
	}
}
