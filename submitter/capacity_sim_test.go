package submitter

import (
	"fmt"
	"strings"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// announcementDelay is the time after which a changed capacity is announced, and starts that were on their way have
// arrived.
const announcementDelay = 105 * timer.Millisecond

// changingCapacity records the changes of the capacity of a backend server that does not guard it.
type changingCapacity struct {
	full marshaler.Resources
	// former is the largest capacity before the latest change, and counts until formerUntil.
	former      marshaler.Resources
	formerUntil timer.Millis
}

// changeCapacity sets the capacity of a backend server to a number of eighths of the full one.
func (b *fakeBackend) changeCapacity(eighths int64) {
	c := b.capacity
	if c.formerUntil <= b.w.now {
		c.former = marshaler.Resources{}
	}
	c.former = marshaler.Resources{CPU: max(c.former.CPU, b.room.CPU), MemoryMB: max(c.former.MemoryMB, b.room.MemoryMB)}
	c.formerUntil = b.w.now + announcementDelay + b.w.lateAfter // starts may be carried out late
	b.room = marshaler.Resources{CPU: c.full.CPU * eighths / 8, MemoryMB: c.full.MemoryMB * eighths / 8}
}

// checkCapacity reports a start that brought the backend server over the capacity that it has announced.
func (b *fakeBackend) checkCapacity() {
	c := b.capacity
	if c == nil {
		return
	}
	var used marshaler.Resources
	for _, r := range b.runs {
		used = used.Add(r.room)
	}
	limit := b.room
	if b.w.now < c.formerUntil {
		limit = marshaler.Resources{CPU: max(limit.CPU, c.former.CPU), MemoryMB: max(limit.MemoryMB, c.former.MemoryMB)}
	}
	if !limit.Contains(used) {
		b.w.t.Errorf("at %d ms, a start brought %s to %+v of %+v; faults: %s", b.w.now, b.id, used, limit, strings.Join(b.w.faults, ", "))
	}
}

// countDone returns how many of the jobs are done.
func (w *simulation) countDone(ids []string) (done int) {
	for _, id := range ids {
		if a := w.answers[id]; len(a) == 1 && a[0].Kind == AnswerDone {
			done++
		}
	}
	return done
}

// TestChangingCapacity guards against starts that bring a backend server that does not guard its capacity over the one that it
// announced last, against jobs that get no answer while servers shrink and grow, and against capacity that is not used
// again.
func TestChangingCapacity(t *testing.T) {
	common := commonFaults(900, 2500, 3000)
	faults := []fault{
		{"none", func(*simulation) {}}, common["sidecar killed"], common["entry killed"], common["entry paused"], common["backend server crashed"],
		common["sessions reset"], common["link cut"],
		{"answers lost", func(w *simulation) { w.lostShare, w.executeLate = 0.1, false }},
		{"orders carried out late", func(w *simulation) { w.lostShare, w.executeLate = 0.1, true }},
		{"starts carried out late in time", func(w *simulation) { w.lostShare, w.executeLate, w.lateAfter = 0.1, true, 200 }},
	}
	for i, f := range faults {
		for seed := range uint64(8) {
			t.Run(fmt.Sprintf("%s/%d", f.name, seed), func(t *testing.T) { changeCapacities(newSimulation(t, 40_000+100*uint64(i)+seed, 2, 4), f) })
		}
	}
}

// changeCapacities shrinks and grows the backend servers while jobs arrive, and injects a fault three times.
func changeCapacities(w *simulation, f fault) {
	for _, s := range w.sidecars {
		s.backend.capacity = &changingCapacity{full: s.backend.room}
	}
	w.advance(500)
	before, during, after := w.scheduleJobs(0, 1500, 40), w.scheduleJobs(1500, 7000, 20), w.scheduleJobs(11_000, 12_500, 40)
	for at := timer.Millis(1500); at < 7000; at += w.between(50, 400) {
		w.schedule(at, func() { w.sidecars[w.random.IntN(len(w.sidecars))].backend.changeCapacity(w.random.Int64N(9)) })
	}
	for n := range 3 {
		w.schedule(timer.Millis(2000+1500*n), func() {
			w.faults = append(w.faults, fmt.Sprintf("%s at %d", f.name, w.now))
			f.inject(w)
		})
	}
	w.schedule(7000, func() {
		w.clearFaults()
		for _, s := range w.sidecars {
			s.backend.changeCapacity(8)
		}
	})
	w.advance(17_000)
	w.checkAnswers(append(before, during...), after)
	if got, want := w.countDone(after), w.countDone(before); got*len(before) < want*len(after) {
		w.t.Errorf("got %d of %d jobs done after the servers have grown, want the share of before, %d of %d", got, len(after), want, len(before))
	}
}
