package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/platform/platformtest"
	"github.com/crocuslb/crocuslb/submitter"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// departureTime is the time from the end of a caller's connection to the stop of its runs. The caller sends its job
	// again after 1300 ms, of which the sidecar may be late by 450 ms and the stop may take 150 ms.
	departureTime = 700 * time.Millisecond
	// receivedDepartureTime is the part of departureTime left to the entry that a job was handed over to. The entry that
	// handed it over may take 300 ms to notice that its caller left.
	receivedDepartureTime = 400 * time.Millisecond
	// slowEvent is the time that a slow event takes. Ticks among such events are on time.
	slowEvent = 500 * time.Microsecond
	// lateEvents is a number of slow events that delay the others by more than 1.2 s, and overloadEvents one that makes an
	// entry overloaded.
	lateEvents     = 2400
	overloadEvents = 200
)

// startTestEntry starts an entry whose event loop the test can reach.
func (tc *testCluster) startTestEntry(i int) *Entry {
	tc.t.Helper()
	o := tc.options(fmt.Sprintf("entry-%d", i), testDomain(i), 1+i)
	o.Handover, o.Weight = true, 64_000 // the test's processes share one processor time
	o.CallersAddress, o.ReadyAddress = tc.address(1+i, 8000), tc.address(1+i, 8001)
	e := &Entry{Options: o}
	tc.start(o.Name, e.Run)
	tc.eventually("test entry ready", func() bool {
		status, _ := tc.post(o.CallersAddress, "/a/", "00000000000000fe", 1, "1")
		return status == http.StatusOK
	})
	return e
}

// delayLoop keeps a number of slow events queued until ctx is canceled.
func delayLoop(ctx context.Context, l *eventLoop, events int) {
	slots := make(chan struct{}, events)
	go func() {
		for ctx.Err() == nil {
			slots <- struct{}{}
			l.post(ctx, func(timer.Millis) {
				time.Sleep(slowEvent)
				<-slots
			})
		}
	}()
	for len(slots) < cap(slots) && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
}

func testSteps() []marshaler.Step {
	return []marshaler.Step{{Tasks: 1, Resources: marshaler.Resources{CPU: 1}, Estimate: longEstimateMs}}
}

// runningTasks returns the number of tasks that run.
func (tc *testCluster) runningTasks() (n int) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	for _, active := range tc.activeRuns {
		n += active
	}
	return n
}

func (e *Entry) receivedJobs(ctx context.Context) (n int) {
	e.query(ctx, func(timer.Millis) bool { n = e.core.ReceivedJobs(); return true })
	return n
}

// runLongJob sends a job of 8 s and waits until its task runs. The returned function ends the caller's connection.
func (tc *testCluster) runLongJob(e *Entry) context.CancelFunc {
	tc.t.Helper()
	ctx, leave := context.WithCancel(tc.ctx)
	r, err := platformtest.NewJobRequest(e.CallersAddress, "/a/", fmt.Sprintf("%016x", rand.Uint64()), 1, "8000", 9000, 20_000)
	if err != nil {
		tc.t.Fatal(err)
	}
	go func() {
		if response, err := http.DefaultClient.Do(r.WithContext(ctx)); err == nil {
			tc.t.Errorf("got status %d, want none", response.StatusCode)
			_ = response.Body.Close()
		}
	}()
	tc.eventually("task runs", func() bool { return tc.runningTasks() == 1 })
	return leave
}

// TestDepartureWhileLoopIsLate guards against an entry that handles the departure of a caller behind a long queue of
// events while its heartbeats keep the runs alive, so that the tasks run twice once the caller sends its job again.
func TestDepartureWhileLoopIsLate(t *testing.T) {
	tc := newTestCluster(t, 0, 1)
	e := tc.startTestEntry(0)
	leave := tc.runLongJob(e)
	delayLoop(tc.ctx, e.loop, lateEvents)
	leave()
	left := time.Now()
	tc.eventually("run ended", func() bool { return tc.runningTasks() == 0 })
	if got := time.Since(left); got >= departureTime {
		t.Errorf("got the end of the run %v after its caller left, want less than %v", got, departureTime)
	}
}

// TestDepartureWhileReceiverIsLate guards against the same while the loop of the entry is late to which the job was handed
// over. The handing entry reports the departure by a message, which must keep its order.
func TestDepartureWhileReceiverIsLate(t *testing.T) {
	tc := newTestCluster(t, 0, 1)
	e, receiver := tc.startTestEntry(0), tc.startTestEntry(1)
	ctx, cancel := context.WithCancel(tc.ctx)
	delayLoop(ctx, e.loop, overloadEvents) // the entry becomes overloaded
	tc.eventually("a job is handed over", func() bool {
		tc.post(e.CallersAddress, "/a/", fmt.Sprintf("%016x", rand.Uint64()), 1, "5")
		return strings.Contains(tc.logs.String(), `"entry: handOverEnd"`)
	})
	cancel()
	leave := tc.runLongJob(e)
	if got := receiver.receivedJobs(tc.ctx); got != 1 {
		t.Fatalf("got %d jobs at the receiver, want 1", got)
	}
	delayLoop(tc.ctx, receiver.loop, lateEvents)
	leave()
	left := time.Now()
	tc.eventually("run ended", func() bool { return tc.runningTasks() == 0 })
	if got := time.Since(left); got >= receivedDepartureTime {
		t.Errorf("got the end of the run %v after its caller left, want less than %v", got, receivedDepartureTime)
	}
}

// TestDepartureOvertakesSubmit guards against a job that starts after its caller has left, because the departure is
// handled before the submission, and against a departure that ends the same job of another caller.
func TestDepartureOvertakesSubmit(t *testing.T) {
	cases := []struct {
		name   string
		others int // callers of the same job that stay
	}{{"only caller", 0}, {"another caller stays", 1}}
	for _, c := range cases {
		e := Entry{loop: newEventLoop()}
		e.loop.flush, e.loop.tick = func(timer.Millis) {}, func(timer.Millis) {}
		var answers []submitter.AnswerKind
		job := submitter.Job{ID: "0123456789abcdef", Steps: testSteps(), Answer: func(a submitter.Answer) { answers = append(answers, a.Kind) }}
		started, release, left := make(chan struct{}), make(chan struct{}), make(chan struct{})
		ctx, cancel := context.WithCancel(t.Context())
		e.loop.post(ctx, func(now timer.Millis) {
			for range c.others {
				e.core.Submit(now, job)
			}
			close(started)
			<-release
		})
		go func() { _ = e.loop.run(ctx) }() // its ticks do not panic
		<-started
		answered := make(chan submitter.Answer, 1)
		go func() { answered <- e.submit(ctx, job, left) }()
		for len(e.loop.events) == 0 {
			time.Sleep(time.Millisecond)
		}
		close(left)
		time.Sleep(20 * time.Millisecond) // the departure is posted
		close(release)
		if a := <-answered; a.Kind != submitter.AnswerAborted {
			t.Errorf("%s: got answer %v, want %v", c.name, a.Kind, submitter.AnswerAborted)
		}
		e.query(ctx, func(timer.Millis) bool {
			if got := e.core.ActiveJobs(); got != c.others || len(answers) != 0 {
				t.Errorf("%s: got %d active jobs and answers %v of others, want %d and none", c.name, got, answers, c.others)
			}
			return true
		})
		cancel()
	}
}

// TestSubmissionWait guards against deadlines that count from the handling of a submission, so that a late entry runs a job
// after its caller's deadline.
func TestSubmissionWait(t *testing.T) {
	const queued, deadline, now = 300, 1000, timer.Millis(10_000)
	e := Entry{loop: newEventLoop()}
	var answers []submitter.Answer
	s := &submission{entry: &e, postedAt: now - queued, job: submitter.Job{
		ID: "0123456789abcdef", Steps: testSteps(), Deadline: deadline, Waited: 100, Answer: func(a submitter.Answer) { answers = append(answers, a) },
	}}
	var took timer.Millis
	e.core.Report = func(v submitter.Event) { took = v.Took }
	s.run(now)
	s.abandon(now)
	if want := timer.Millis(queued + 100); took != want || len(answers) != 1 {
		t.Errorf("got the time %v and %d answers, want %v and 1", took, len(answers), want)
	}
}

// TestLoopOrder guards against ticks and urgent functions that wait for queued events, against a core whose time goes
// back, and against a delay that is measured wrongly.
func TestLoopOrder(t *testing.T) {
	const events = 400
	l := newEventLoop()
	var last timer.Millis
	var order []string
	var delays []timer.Millis
	note := func(name string) func(now timer.Millis) {
		return func(now timer.Millis) {
			if now < last {
				t.Errorf("%s: got the time %v after %v, want no earlier one", name, now, last)
			}
			last, order = now, append(order, name)
		}
	}
	l.flush = func(timer.Millis) {}
	l.tick = func(now timer.Millis) {
		note("tick")(now)
		delays = append(delays, l.delay(now))
	}
	ctx, cancel := context.WithCancel(t.Context())
	for n := range events {
		l.post(ctx, func(now timer.Millis) {
			time.Sleep(time.Millisecond)
			note("event")(now)
			if n == 10 {
				l.postUrgent(ctx, note("urgent"))
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	l.post(ctx, func(timer.Millis) { time.AfterFunc(100*time.Millisecond, cancel) })
	if err := l.run(ctx); err != nil {
		t.Fatal(err)
	}
	urgent := slices.Index(order, "urgent")
	if got := countOf(order[:max(urgent, 0)], "event"); got != 11 {
		t.Errorf("got %d events before the urgent function, want 11", got)
	}
	if got := countOf(order[:lastIndex(order, "event")], "tick"); got < events/50 { // half of the ticks that are due
		t.Errorf("got %d ticks among %d events of 1 ms, want at least %d", got, events, events/50)
	}
	if delays[0] < 100 || delays[len(delays)-1] != 0 {
		t.Errorf("got delays %v, want at least 100ms first and 0ms last", delays)
	}
}

func countOf(names []string, name string) (n int) {
	for _, s := range names {
		if s == name {
			n++
		}
	}
	return n
}

func lastIndex(names []string, name string) int {
	for i, s := range slices.Backward(names) {
		if s == name {
			return i
		}
	}
	return 0
}
