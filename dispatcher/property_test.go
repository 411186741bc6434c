package dispatcher

import (
	"flag"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// A fixed seed makes runs repeatable; -rapid.seed tries others.
var _ = flag.Set("rapid.seed", "1")

const (
	worldSteps = 150
	worldKeys  = 4
)

// TestOwnership guards the promises that hold whatever fails: no task starts twice, under one owner or two, every answer
// is whole or failed, "not run" is true, and every caller is answered once the failures end.
func TestOwnership(t *testing.T) {
	totals := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(1, 4).Draw(t, "entries"), rapid.IntRange(1, 3).Draw(t, "sidecars"))
		for range worldKeys {
			key := "k" + strconv.Itoa(len(w.jobs))
			j := job(key, rapid.IntRange(1, 4).Draw(t, "tasks"))
			j.Deadline = timer.Millis(rapid.SampledFrom([]int{0, 0, 400, 5000}).Draw(t, "deadline"))
			w.jobs[key] = &caller{job: j}
		}
		w.settle(40)
		for range worldSteps {
			w.step()
		}
		w.heal()
		for key := range worldKeys {
			w.submit(w.nodes()[0], "k"+strconv.Itoa(key))
		}
		w.settle(2000)
		for request, key := range w.asked {
			if n := w.nodes()[0]; request > w.request-worldKeys {
				t.Fatalf("%q is not answered: takeover %s, roster %+v, joined %v, %d forwards", key, n.core.takeover.state,
					n.core.roster, n.core.joined, len(n.core.forwards))
			}
		}
		for outcome, count := range w.outcomes {
			totals[outcome] += count
		}
	})
	t.Log("answers:", totals)
}

// step draws one event.
func (w *world) step() {
	nodes, fakes := w.nodes(), w.fakes()
	n := nodes[rapid.IntRange(0, len(nodes)-1).Draw(w.t, "entry")]
	s := fakes[rapid.IntRange(0, len(fakes)-1).Draw(w.t, "sidecar")]
	switch rapid.IntRange(0, 31).Draw(w.t, "event") {
	case 0:
		w.outage = !w.outage
		w.logf("outage %v", w.outage)
	case 1:
		n.cut = !n.cut
		w.logf("%s cut off from the log: %v", n.id, n.cut)
	case 2, 3:
		switch {
		case !n.alive:
			w.boot(n)
		case w.spared(n.id):
			w.kill(n.id)
		}
	case 4, 5:
		n.paused = !n.paused && w.spared(n.id)
		w.logf("%s paused: %v", n.id, n.paused)
	case 6:
		switch {
		case !s.alive:
			w.bootSidecar(s)
		case w.spared(s.id):
			w.kill(s.id)
		}
	case 7, 8:
		if len(w.links) > 0 {
			l := w.links[rapid.IntRange(0, len(w.links)-1).Draw(w.t, "link")]
			w.logf("break %v", l.ends)
			if rapid.Bool().Draw(w.t, "silent") && l.silent == 0 {
				l.silent = w.now
			} else {
				w.breakLink(l)
			}
		}
	case 9:
		w.part(rapid.SampledFrom([]string{n.id, s.id}).Draw(w.t, "moved"))
	case 10:
		w.pass(rapid.SampledFrom([]timer.Millis{500, 1500, 4000}).Draw(w.t, "time"))
	case 11, 12, 13, 14:
		if n.alive && !n.paused {
			w.submit(n, "k"+strconv.Itoa(rapid.IntRange(0, worldKeys-1).Draw(w.t, "key")))
		}
	case 15, 16, 17:
		w.finishOne(s, rapid.SampledFrom([]encoder.Status{
			encoder.StatusDone, encoder.StatusDone, encoder.StatusDone, encoder.StatusFailed, encoder.StatusNotStarted,
		}).Draw(w.t, "status"))
	case 18, 19:
		if len(w.appends) > 0 {
			w.resolve(rapid.IntRange(0, len(w.appends)-1).Draw(w.t, "append"), rapid.IntRange(0, 3).Draw(w.t, "lost") == 0)
		}
	case 20:
		if n.alive && !n.paused {
			out := rapid.IntRange(0, 3).Draw(w.t, "withdraw") > 0
			w.publish(n, out)
		}
	default:
		for _, l := range slices.Clone(w.links) {
			if k := rapid.IntRange(-1, 6).Draw(w.t, "messages"); k > 0 {
				w.deliver(l, 0, k)
				w.deliver(l, 1, k)
			}
		}
		w.pass(timer.Millis(rapid.IntRange(1, 60).Draw(w.t, "time")))
	}
	for _, n := range w.nodes() {
		if n.alive && !n.paused {
			w.perform(n)
		}
	}
}

func (w *world) finishOne(s *fake, status encoder.Status) {
	tasks := slices.SortedFunc(maps.Keys(s.ran), func(a, b encoder.TaskKey) int {
		if a.Job != b.Job {
			return strings.Compare(a.Job, b.Job)
		}
		return int(a.Index) - int(b.Index)
	})
	for _, k := range tasks {
		if s.alive && s.ran[k] {
			w.finish(s, k, status)
			return
		}
	}
}

// publish withdraws the domain of the first sidecar or returns it.
func (w *world) publish(n *node, out bool) {
	if out {
		n.core.Publish(w.now, 1, []byte{1}, "s0", "ann")
	} else {
		n.core.Publish(w.now, 1, []byte{0}, "", "ann")
	}
	w.perform(n)
}

// heal ends all failures, lets provisional withdrawals be recorded, and returns the domain.
func (w *world) heal() {
	w.outage = false
	clear(w.far)
	for _, n := range w.nodes() {
		n.cut, n.paused = false, false
		if !n.alive {
			w.boot(n)
		}
	}
	for _, s := range w.fakes() {
		if !s.alive {
			w.bootSidecar(s)
		}
	}
	w.settle(500)
	w.log[StreamConfiguration] = append(w.log[StreamConfiguration], logRecord{})
	w.accepted = 0
}

// settle lets everything run without failures for a number of steps of 10 ms.
func (w *world) settle(steps int) {
	for range steps {
		for len(w.appends) > 0 {
			w.resolve(0, false)
		}
		w.exchange()
		for _, s := range w.fakes() {
			w.finishOne(s, encoder.StatusDone)
		}
		w.pass(10)
	}
}

// exchange delivers the messages that wait.
func (w *world) exchange() {
	for _, l := range slices.Clone(w.links) {
		w.deliver(l, 0, 1<<20)
		w.deliver(l, 1, 1<<20)
	}
}

// TestFencing guards against two owners that start the same task: a former owner that was paused, and a majority without
// the log that goes on while the minority with the log changes the roster.
func TestFencing(t *testing.T) {
	starts := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3, 2)
		for i := range worldKeys {
			w.jobs["k"+strconv.Itoa(i)] = &caller{job: job("k"+strconv.Itoa(i), 6)}
		}
		w.entries["e3"] = &node{id: "e3"}
		w.settle(40)
		one := func() *node { return w.nodes()[rapid.IntRange(0, 3).Draw(t, "entry")] }
		w.submit(w.nodes()[rapid.IntRange(0, 2).Draw(t, "first")], "k0")
		for range rapid.IntRange(0, 3).Draw(t, "rounds") {
			w.exchange()
		}
		if rapid.Bool().Draw(t, "pause") {
			one().paused = true
		} else {
			for _, id := range []string{"e0", "e1", "s0"} {
				w.cross(id)
			}
			w.entries["e0"].cut, w.entries["e1"].cut = true, true
		}
		for range 12 {
			n := one()
			switch k := rapid.IntRange(0, 5).Draw(t, "event"); {
			case k == 0 && !w.entries["e3"].alive:
				w.boot(w.entries["e3"])
			case k < 4 && n.alive && !n.paused:
				w.submit(n, "k"+strconv.Itoa(rapid.IntRange(0, worldKeys-1).Draw(t, "key")))
			default:
				w.settle(rapid.SampledFrom([]int{1, 10, 50, 400}).Draw(t, "steps"))
			}
		}
		for _, n := range w.nodes() {
			n.paused = false
		}
		w.exchange() // what waited for a paused entry arrives before it reads the log
		w.heal()
		w.settle(700)
		starts += len(w.starts)
	})
	t.Log("tasks started:", starts)
}

// TestWithdrawal guards the bound of 3 s between the acceptance of a withdrawal and the last start in the domain, while
// entries are paused, cut off from the log or partitioned.
func TestWithdrawal(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 3, 2)
		for i := range 60 {
			w.jobs["k"+strconv.Itoa(i)] = &caller{job: job("k"+strconv.Itoa(i), 2)}
		}
		w.settle(40)
		w.outage = rapid.IntRange(0, 9).Draw(t, "outage") == 0
		for _, id := range []string{"e0", "e1", "e2", "s0"} {
			if rapid.Bool().Draw(t, "far") {
				w.cross(id)
			}
		}
		for _, n := range w.nodes() {
			n.cut = w.far[n.id] || rapid.IntRange(0, 9).Draw(t, "cut") == 0
		}
		w.settle(rapid.SampledFrom([]int{0, 10, 60, 200}).Draw(t, "before"))
		if rapid.IntRange(0, 3).Draw(t, "pause") == 0 {
			w.nodes()[rapid.IntRange(0, 2).Draw(t, "entry")].paused = true
		}
		w.publish(w.nodes()[rapid.IntRange(0, 2).Draw(t, "at")], true)
		for i := range 60 {
			if n := w.nodes()[i%3]; !n.paused {
				w.submit(n, "k"+strconv.Itoa(i))
			}
			w.settle(10)
			if rapid.IntRange(0, 149).Draw(t, "heal") == 0 {
				w.outage = false
				clear(w.far)
				for _, n := range w.nodes() {
					n.cut, n.paused = false, false
				}
			}
		}
		accepted += w.outcomes["withdrawals"]
	})
	t.Log("withdrawals accepted:", accepted)
}
