package placer

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// TestQueueEqualToScan guards against a queue whose order, sums of work or expired requests differ from those of a slice that
// is sorted after each step, also if requests come and are canceled while others are granted or refused.
func TestQueueEqualToScan(t *testing.T) {
	for seed := range uint64(20) {
		f := fleet{r: rand.New(rand.NewPCG(seed, 5)), now: 1000, size: 10, speeds: []uint64{1000, 1700}}
		f.p.Admission = Admission(seed % 2)
		f.p.Grant = func(string, marshaler.Grant) { f.answer() }
		f.p.Reject = func(string, marshaler.Reject) { f.answer() }
		for range 3000 {
			f.change()
			switch k := f.r.IntN(10); {
			case k < 6:
				f.arrive()
			case k < 7:
				f.cancel()
			case k < 9:
				f.now += timer.Millis(f.r.IntN(8))
				f.p.Place(f.now)
			case f.r.IntN(20) == 0:
				f.p.RemoveEntry("e2")
			case f.r.IntN(100) == 0:
				f.p.RejectAll()
			}
			f.checkQueue(t)
		}
	}
}

func (f *fleet) arrive() {
	f.p.Request(f.now, pick(f.r, "e1", "e2", "e3"), "d1", &marshaler.ResourceRequest{
		Job: fmt.Sprint(f.r.IntN(200)), Service: pick(f.r, "a", "b"), Tasks: uint64(f.r.IntN(4)), Resources: f.resources(),
		Estimate: timer.Millis(f.r.IntN(30)), Slack: timer.Millis(f.r.IntN(40)), MaxWait: timer.Millis(f.r.IntN(200)), Started: f.r.IntN(4) == 0,
		Queue: pick(f.r, "q1", "q2"), Priority: f.r.Uint64N(3),
	})
}

func (f *fleet) cancel() { f.p.Cancel(pick(f.r, "e1", "e2", "e3"), fmt.Sprint(f.r.IntN(200)), 0) }

// answer cancels a request or makes one, as an entry may when it gets a grant or a refusal.
func (f *fleet) answer() {
	switch f.r.IntN(4) {
	case 0:
		for range 20 {
			f.cancel()
		}
	case 1:
		f.arrive()
	}
}

// checkQueue compares the queue with a sorted slice.
func (f *fleet) checkQueue(t *testing.T) {
	t.Helper()
	got := slices.Collect(f.p.queue.all())
	want := slices.Clone(got)
	slices.SortStableFunc(want, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.deadline(), b.deadline()))
	})
	if !slices.Equal(got, want) || len(got) != len(f.p.requests) || len(got) != f.p.QueueLen() {
		t.Fatalf("got %d requests in an order that is not by rank and deadline, of %d known ones", len(got), len(f.p.requests))
	}
	probe := &request{service: pick(f.r, "a", "b", "c"), started: f.r.IntN(4) == 0, late: f.r.IntN(3) == 0, softDeadline: f.now + timer.Millis(f.r.IntN(40))}
	probe.hardDeadline = probe.softDeadline + 50
	var work float64
	var expired, abandoned []*request
	for _, r := range got {
		if f.p.requests[r.key] != r {
			t.Fatalf("got request %v, want the known one", r.key)
		}
		before := cmp.Or(cmp.Compare(r.rank(), probe.rank()), cmp.Compare(r.deadline(), probe.deadline())) <= 0
		if _, fits := f.p.serves(r); r.unservable == fits && !f.p.unservable.sizesChanged {
			t.Fatalf("got request %v unservable %t with a worker that is large enough %t, want one of them", r.key, r.unservable, fits)
		}
		if r.service == probe.service && before && !r.unservable {
			work += float64(r.remaining) * float64(r.resources.CPU) * float64(r.estimate)
		}
		if !r.started && r.deadline() <= f.now {
			expired = append(expired, r)
		}
		if !r.started && r.hardDeadline <= f.now {
			abandoned = append(abandoned, r)
		}
	}
	if gotWork := f.p.queue.workBefore(probe); gotWork != work {
		t.Fatalf("got work %v before a request, want %v", gotWork, work)
	}
	if gotExpired := f.p.queue.appendExpired(nil, f.now, (*request).deadline); !slices.Equal(gotExpired, expired) {
		t.Fatalf("got %d expired requests, want %d", len(gotExpired), len(expired))
	}
	if gotAbandoned := f.p.queue.appendExpired(nil, f.now, (*request).lastStart); !slices.Equal(gotAbandoned, abandoned) {
		t.Fatalf("got %d requests whose last start has passed, want %d", len(gotAbandoned), len(abandoned))
	}
	unused := map[*request]bool{}
	for _, r := range f.p.unused {
		if unused[r] || f.p.requests[r.key] == r {
			t.Fatalf("got request %v queued or twice among the unused ones", r.key)
		}
		unused[r] = true
	}
	for _, r := range slices.Concat(f.p.served[:cap(f.p.served)], f.p.expired[:cap(f.p.expired)]) {
		if r != nil {
			t.Fatalf("got request %v in a buffer for reuse, want none", r.key)
		}
	}
}
