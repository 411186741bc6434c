package appender_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocuslb/crocuslb/appender"
	"github.com/crocuslb/crocuslb/emulator"
	"github.com/crocuslb/crocuslb/timer"
)

// tailTest runs a Tail in virtual time and stores what it reports.
type tailTest struct {
	log  *emulator.Log
	done chan error

	mu       sync.Mutex
	received string
	reads    []appender.Progress
	lastAge  timer.Millis // of the last read at the time of its report
}

func startTail(ctx context.Context, from uint64) *tailTest {
	f := &tailTest{log: &emulator.Log{}, done: make(chan error, 1)}
	started := time.Now()
	now := func() timer.Millis { return timer.FromDuration(time.Since(started)) }
	t := &appender.Tail{
		Client: &appender.Client{URL: "http://log", HTTP: &http.Client{Transport: &emulator.Transport{Log: f.log}}, Clock: timer.Clock{NowFunc: now}},
		Stream: "roster",
		From:   from,
		Limit:  2,
		OnRecord: func(r appender.Record) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.received += string(r.Body)
		},
		OnRead: func(p appender.Progress) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.reads, f.lastAge = append(f.reads, p), now()-p.StartedAt
		},
	}
	go func() { f.done <- t.Run(ctx) }()
	return f
}

func (f *tailTest) appendBodies(bodies ...string) {
	for _, b := range bodies {
		f.log.Append("roster", appender.NewID(), []byte(b))
	}
}

// advance advances the virtual time and waits until the Tail is blocked.
func (f *tailTest) advance(d timer.Millis) {
	time.Sleep(d.Duration())
	synctest.Wait()
}

// snapshot returns what was reported so far, and the last read with its age.
func (f *tailTest) snapshot() (bodies string, reads []appender.Progress, last appender.Progress, age timer.Millis) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received, f.reads[:len(f.reads):len(f.reads)], f.reads[len(f.reads)-1], f.lastAge
}

// TestTail guards against lost, repeated or late records, and against reporting the head wrongly, which would renew a
// freshness lease for outdated state.
func TestTail(t *testing.T) {
	for _, c := range []struct {
		name string
		from uint64
		run  func(t *testing.T, f *tailTest)
	}{
		{"empty stream is confirmed at once", 0, func(t *testing.T, f *tailTest) {
			if _, reads, _, _ := f.snapshot(); len(reads) != 1 || !reads[0].AtHead || reads[0].StartedAt != 0 {
				t.Errorf("got reads %+v", reads)
			}
		}},
		{"idle stream is confirmed for 200 ms at a time", 0, func(t *testing.T, f *tailTest) {
			f.advance(1000)
			if _, reads, p, age := f.snapshot(); !p.AtHead || age != 200 || len(reads) != 6 {
				t.Errorf("got %+v with age %s after %d reads", p, age, len(reads))
			}
		}},
		{"record arrives without delay, head only after the last one", 0, func(t *testing.T, f *tailTest) {
			f.appendBodies("a")
			synctest.Wait()
			if got, _, _, _ := f.snapshot(); got != "a" {
				t.Errorf("got records %q at once", got)
			}
			f.log.UpdateSettings(func(s *emulator.LogSettings) { s.ReadDelay = 50 })
			f.appendBodies("b", "c", "d", "e", "f")
			synctest.Wait()
			_, before, _, _ := f.snapshot()
			f.advance(1000)
			_, reads, _, _ := f.snapshot()
			for _, p := range reads[len(before):] {
				if p.AtHead != (p.Next == 6) {
					t.Errorf("got %+v", p)
				}
			}
			if got, _, _, _ := f.snapshot(); got != "abcdef" {
				t.Errorf("got records %q", got)
			}
		}},
		{"outage and silence are reported and end", 0, func(t *testing.T, f *tailTest) {
			for _, faults := range []emulator.LogSettings{{Outage: true}, {Unresponsive: true}} {
				f.log.UpdateSettings(func(s *emulator.LogSettings) { *s = faults })
				f.advance(3000)
				if _, reads, p, _ := f.snapshot(); p.Err == nil || p.AtHead || len(reads) > 30 {
					t.Errorf("got %+v after %d reads", p, len(reads))
				}
			}
			f.log.UpdateSettings(func(s *emulator.LogSettings) { s.Unresponsive = false })
			f.appendBodies("a")
			f.advance(1000)
			if _, _, p, _ := f.snapshot(); !p.AtHead || p.Next != 1 {
				t.Errorf("got %+v", p)
			}
		}},
		{"silent connection is replaced within the lease", 0, func(t *testing.T, f *tailTest) {
			f.appendBodies("a")
			f.log.SilenceConnections()
			f.appendBodies("b")
			f.advance(1200)
			if _, _, p, _ := f.snapshot(); !p.AtHead || p.Next != 2 || p.StartedAt < 500 {
				t.Errorf("got %+v", p)
			}
			_, reads, _, _ := f.snapshot()
			for _, p := range reads {
				if p.Err != nil {
					t.Errorf("got %+v", p)
				}
			}
		}},
		{"slow read is as old as its exchange", 0, func(t *testing.T, f *tailTest) {
			f.log.UpdateSettings(func(s *emulator.LogSettings) { s.ReadDelay = 800 })
			f.advance(5000)
			if _, _, p, age := f.snapshot(); !p.AtHead || age < 800 {
				t.Errorf("got %+v with age %s", p, age)
			}
		}},
		{"dropped records end the tail", 0, func(t *testing.T, f *tailTest) {
			f.log.UpdateSettings(func(s *emulator.LogSettings) { s.Outage = true })
			f.advance(1000)
			f.log.UpdateSettings(func(s *emulator.LogSettings) { *s = emulator.LogSettings{Retention: 1} })
			f.appendBodies("a", "b", "c")
			f.advance(1000)
			if bodies, _, _, _ := f.snapshot(); bodies != "" {
				t.Errorf("got records %q", bodies)
			}
			if err := <-f.done; !appender.IsTruncated(err) {
				t.Errorf("got error %v", err)
			}
			f.done <- nil
		}},
		{"log that lost records confirms nothing", 7, func(t *testing.T, f *tailTest) {
			f.advance(1000)
			_, reads, _, _ := f.snapshot()
			for _, p := range reads {
				if p.AtHead || p.Err == nil || p.Next != 7 {
					t.Errorf("got %+v", p)
				}
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := startTail(ctx, c.from)
				synctest.Wait()
				c.run(t, f)
				cancel()
				if err := <-f.done; err != nil && !errors.Is(err, context.Canceled) {
					t.Errorf("got error %v", err)
				}
			})
		})
	}
}
