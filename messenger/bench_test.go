package messenger

import (
	"fmt"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/crocuslb/crocuslb/encoder"
)

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkSend measures the throughput of small messages in one direction.
func BenchmarkSend(b *testing.B) {
	sender := newBenchSession(b)
	m := &encoder.Start{Task: encoder.TaskKey{Job: "0123456789abcdef"}, Kind: "k", Payload: make([]byte, 100)}
	began := cpuTime()
	for n := int64(0); b.Loop(); {
		if n++; !sender.Send(m) {
			time.Sleep(100 * time.Microsecond)
			n--
		}
	}
	b.ReportMetric(float64(cpuTime()-began)/float64(b.N), "cpu-ns/op")
}

// BenchmarkRoundTrip measures the round-trip time of small messages, alone and behind large results on the same session.
func BenchmarkRoundTrip(b *testing.B) {
	for _, size := range []int{0, 64 << 10, 1 << 20, 4<<20 - 100} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			sender := newBenchSession(b)
			large := &encoder.Result{Body: make([]byte, size)}
			echo := make(chan bool, 1)
			sender.node.OnMessage = func(*Session, encoder.Message) { echo <- true }
			for b.Loop() {
				if size > 0 {
					sender.Send(large)
				}
				sender.Send(&encoder.Ping{})
				<-echo
			}
		})
	}
}

// BenchmarkBulk measures the throughput of large messages.
func BenchmarkBulk(b *testing.B) {
	sender := newBenchSession(b)
	m := &encoder.Result{Body: make([]byte, 1<<20)}
	b.SetBytes(1 << 20)
	for b.Loop() {
		for !sender.Send(m) {
			time.Sleep(100 * time.Microsecond)
		}
	}
}

// BenchmarkSparse measures requests and answers that are spread over many sessions, so that batches contain few messages.
func BenchmarkSparse(b *testing.B) {
	const sessions, outstanding = 200, 50
	a := newTestNode("a")
	var lost atomic.Int64
	a.OnConnect = nil // its channel holds fewer sessions
	a.OnMessage = func(s *Session, _ encoder.Message) { s.Send(&encoder.Pong{}) }
	address := a.listen(b.Context(), b)
	up, answered := make(chan *Session), make(chan bool, outstanding)
	var list []*Session
	for range sessions {
		c := &Node{
			OnConnect:    func(s *Session) { up <- s },
			OnMessage:    func(*Session, encoder.Message) { answered <- true },
			OnDisconnect: func(*Session, error) { lost.Add(1) },
		}
		c.Connect(b.Context(), address)
		list = append(list, receive(b, up, "session"))
	}
	m := &encoder.Start{Task: encoder.TaskKey{Job: "0123456789abcdef"}, Kind: "k", Payload: make([]byte, 100)}
	for range outstanding {
		answered <- true
	}
	began := cpuTime()
	for n := 0; b.Loop(); n++ {
		<-answered
		list[n%sessions].Send(m)
	}
	b.ReportMetric(float64(lost.Load()), "lost-sessions")
	b.ReportMetric(float64(cpuTime()-began)/float64(b.N), "cpu-ns/op")
}

func newBenchSession(b *testing.B) *Session {
	a, c := newTestNode("a"), newTestNode("c")
	a.OnMessage = func(s *Session, m encoder.Message) {
		if _, ok := m.(*encoder.Ping); ok {
			s.Send(&encoder.Pong{})
		}
	}
	c.Connect(b.Context(), a.listen(b.Context(), b))
	return receive(b, c.connected, "session").session
}

// BenchmarkIdle measures the memory and CPU time of idle sessions, for both ends together.
func BenchmarkIdle(b *testing.B) {
	const sessions = 300
	a := newTestNode("a")
	var lost atomic.Int64
	a.OnConnect = nil // its channel holds fewer sessions
	address := a.listen(b.Context(), b)
	up := make(chan bool)
	measure := func() (m runtime.MemStats) {
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m
	}
	before := measure()
	for range sessions {
		c := &Node{OnConnect: func(*Session) { up <- true }, OnDisconnect: func(*Session, error) { lost.Add(1) }}
		c.Connect(b.Context(), address)
		receive(b, up, "session")
	}
	time.Sleep(3 * time.Second)
	after := measure()
	cpuBefore := cpuTime()
	began := time.Now()
	for b.Loop() {
		time.Sleep(5 * time.Second)
	}
	elapsed := time.Since(began)
	b.ReportMetric(float64(lost.Load()), "lost-sessions")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/sessions, "heap-B/session")
	b.ReportMetric(float64(after.StackInuse-before.StackInuse)/sessions, "stack-B/session")
	b.ReportMetric(float64(after.Sys-before.Sys)/sessions, "sys-B/session")
	b.ReportMetric(float64(cpuTime()-cpuBefore)/elapsed.Seconds()/sessions/1000, "cpu-us/s/session")
}
