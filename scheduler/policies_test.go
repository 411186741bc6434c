package scheduler_test

import (
	"fmt"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/scheduler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// noticeDelay is the time from a decision to its effect at entries and sidecars: log poll plus pong.
	noticeDelay = 200_000
)

type (
	queued struct {
		j   *jobSpec
		run int64
		seq uint32
	}

	// owner is an entry that owns submissions: the real scheduler, and fakes of the sidecars around it.
	owner struct {
		w         *world
		entry     int
		scheduler scheduler.Scheduler
		tasks     map[encoder.TaskKey]queued
	}
)

// runQueues is the common part of the simple policies: choose names a sidecar for each task, which queues there in order.
func runQueues(w *world, choose func(entry int, send func(host int))) {
	send := func(j *jobSpec, run int64) {
		choose(j.entry, func(h int) {
			net := w.delay(w.entryDomain(j.entry), w.hosts[h].domain)
			w.messages++
			w.after(net, func() {
				start := func() {
					w.occupy(h, run, func(ok bool) {
						w.messages++
						w.after(net, func() { w.taskEnded(j, run, ok, callerHop) })
						w.pump(h)
					})
				}
				w.hosts[h].queue = append(w.hosts[h].queue, start)
				w.pump(h)
			})
		})
	}
	w.domainChange(noticeDelay, func(out bool) {
		for h := range w.hosts {
			if w.hosts[h].domain == 0 {
				w.hosts[h].out = out
				w.pump(h)
			}
		}
	})
	for _, j := range w.jobs {
		w.after(j.at+callerHop, func() {
			for _, r := range j.runs {
				send(j, r)
			}
		})
	}
}

func (w *world) inForce() []int {
	var list []int
	for h := range w.hosts {
		if !w.hosts[h].out {
			list = append(list, h)
		}
	}
	return list
}

func runRandom(w *world) {
	runQueues(w, func(_ int, send func(int)) {
		in := w.inForce()
		send(in[w.random.IntN(len(in))])
	})
}

func runRoundRobin(w *world) {
	var next [entries]int
	runQueues(w, func(e int, send func(int)) {
		in := w.inForce()
		next[e]++
		send(in[next[e]%len(in)])
	})
}

func runTwoChoices(w *world) {
	runQueues(w, func(e int, send func(int)) {
		in := w.inForce()
		a, b := in[w.random.IntN(len(in))], in[w.random.IntN(len(in))]
		w.messages += 4
		w.wasted += 4
		far := max(w.delay(w.entryDomain(e), w.hosts[a].domain), w.delay(w.entryDomain(e), w.hosts[b].domain))
		w.after(far, func() {
			load := func(h int) int { return w.hosts[h].running + len(w.hosts[h].queue) }
			best := a
			if load(b) < load(a) {
				best = b
			}
			w.after(far, func() { send(best) })
		})
	})
}

// runCredits drives the real scheduler in one or more owners. Keys are spread evenly over the owners, and so are credits:
// one for each slot and some extra ones, whose tasks wait at the sidecar.
func runCredits(w *world, owners, extraCredits int) {
	list := make([]*owner, owners)
	for i := range list {
		o := &owner{w: w, entry: i, tasks: map[encoder.TaskKey]queued{}}
		list[i] = o
		for h := range w.hosts {
			id := fmt.Sprint(h)
			o.scheduler.SetSidecar(scheduler.Sidecar{ID: id, Domain: fmt.Sprint(w.hosts[h].domain), Slots: slots,
				Distance: timer.Millis(w.delay(w.entryDomain(i), w.hosts[h].domain) / 100)})
			share := (slots + extraCredits) / owners
			if (h+i)%owners < (slots+extraCredits)%owners {
				share++
			}
			o.scheduler.Grant(id, uint32(share))
		}
	}
	w.domainChange(noticeDelay, func(out bool) {
		for _, o := range list {
			o.scheduler.SetDomain("0", !out)
			o.place()
		}
	})
	if w.fault.cancel {
		w.after(30_000_000, func() {
			for i, j := range w.jobs {
				if j.cancels && j.at < w.now && j.left > 0 {
					list[i%owners].fail(j)
				}
			}
		})
	}
	for i, j := range w.jobs {
		o := list[i%owners]
		hop := int64(0)
		if o.entry != j.entry {
			hop = w.delay(w.entryDomain(j.entry), w.entryDomain(o.entry))
			w.messages += 2
		}
		w.after(j.at+callerHop+hop, func() { o.submit(j, callerHop+hop) })
	}
}

func (o *owner) now() timer.Millis { return timer.Millis(o.w.now / 1000) }

func (o *owner) submit(j *jobSpec, answerDelay int64) {
	tasks := make([]scheduler.Task, len(j.runs))
	for i, r := range j.runs {
		k := encoder.TaskKey{Job: j.key, Index: uint32(i)}
		o.tasks[k] = queued{j, r, uint32(answerDelay)}
		tasks[i] = scheduler.Task{Key: k, Kind: "quote", Arrived: o.now(), JobLeft: uint32(j.left), RunTime: o.declare(i, r)}
		if o.w.fault.deadline != 0 {
			tasks[i].Deadline = timer.Millis((j.at + o.w.fault.deadline) / 1000)
		}
	}
	if a := o.scheduler.Admit(o.now(), tasks); a.Code != 0 {
		j.refused = true
		return
	}
	for _, t := range tasks {
		o.scheduler.Push(t)
	}
	o.place()
}

// declare returns the declared run time of a task, wrong by ten times when the fault says so.
func (o *owner) declare(index int, run int64) timer.Millis {
	switch {
	case o.w.fault.declared && index%2 == 0:
		return timer.Millis(run / 10_000)
	case o.w.fault.declared:
		return timer.Millis(run / 100)
	}
	return timer.Millis(run / 1000)
}

// fail drops the queued tasks of a job.
func (o *owner) fail(j *jobSpec) {
	j.failed = true
	for range o.scheduler.CancelJob(j.key) {
		o.w.taskEnded(j, 0, false, 0)
	}
}

func (o *owner) place() {
	for _, t := range o.scheduler.Expired(o.now()) {
		o.fail(o.tasks[t.Key].j)
		o.w.taskEnded(o.tasks[t.Key].j, 0, false, 0)
	}
	for {
		p, ok := o.scheduler.Next(o.now())
		if !ok {
			return
		}
		o.start(p)
	}
}

func (o *owner) start(p scheduler.Placement) {
	w := o.w
	var h int
	_, _ = fmt.Sscan(p.Sidecar, &h)
	x := o.tasks[p.Task.Key]
	net := w.delay(w.entryDomain(o.entry), w.hosts[h].domain)
	w.messages++
	w.after(net, func() {
		w.hosts[h].queue = append(w.hosts[h].queue, func() { o.run(p, x, h, net) })
		w.pump(h)
	})
}

// run runs a task that has a slot, and brings its result and credit back.
func (o *owner) run(p scheduler.Placement, x queued, h int, net int64) {
	w := o.w
	started := w.now
	w.occupy(h, x.run, func(ok bool) {
		w.pump(h)
		ran := timer.Millis((w.now - started) / 1000)
		w.messages++
		w.after(net, func() {
			status := encoder.StatusDone
			if !ok {
				status = encoder.StatusFailed
			}
			o.scheduler.Finished(p.Sidecar, p.Task, status, ran)
			o.scheduler.Grant(p.Sidecar, 1)
			w.taskEnded(x.j, x.run, ok, int64(x.seq))
			if x.j.failed {
				o.fail(x.j)
			}
			o.place()
		})
	})
}
