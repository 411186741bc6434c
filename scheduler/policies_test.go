package scheduler_test

import (
	"fmt"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/scheduler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// propagationDelay is the time in microseconds until a domain change takes effect at entries and sidecars: a log
	// poll plus a pong.
	propagationDelay = 200_000
)

type (
	simulatedTask struct {
		job         *jobSpec
		runTime     int64
		answerDelay uint32
	}

	// simulatedOwner is an entry that owns submissions. It runs the real scheduler against simulated sidecars.
	simulatedOwner struct {
		sim       *simulation
		entry     int
		scheduler scheduler.Scheduler
		tasks     map[encoder.TaskKey]simulatedTask
	}
)

// runHostQueues implements the baseline policies. choose selects a host for each task, which waits there in a FIFO queue.
func runHostQueues(sim *simulation, choose func(entry int, send func(host int))) {
	send := func(j *jobSpec, run int64) {
		choose(j.entry, func(h int) {
			net := sim.delay(sim.entryDomain(j.entry), sim.hosts[h].domain)
			sim.messages++
			sim.after(net, func() {
				start := func() {
					sim.runTask(h, run, func(ok bool) {
						sim.messages++
						sim.after(net, func() { sim.taskEnded(j, run, ok, callerDelay) })
						sim.startQueued(h)
					})
				}
				sim.hosts[h].queue = append(sim.hosts[h].queue, start)
				sim.startQueued(h)
			})
		})
	}
	sim.onDomainChange(propagationDelay, func(withdrawn bool) {
		for h := range sim.hosts {
			if sim.hosts[h].domain == 0 {
				sim.hosts[h].withdrawn = withdrawn
				sim.startQueued(h)
			}
		}
	})
	for _, j := range sim.jobs {
		sim.after(j.arrival+callerDelay, func() {
			for _, r := range j.runs {
				send(j, r)
			}
		})
	}
}

func (sim *simulation) activeHosts() []int {
	var list []int
	for h := range sim.hosts {
		if !sim.hosts[h].withdrawn {
			list = append(list, h)
		}
	}
	return list
}

func runRandom(sim *simulation) {
	runHostQueues(sim, func(_ int, send func(int)) {
		in := sim.activeHosts()
		send(in[sim.random.IntN(len(in))])
	})
}

func runRoundRobin(sim *simulation) {
	var next [entries]int
	runHostQueues(sim, func(e int, send func(int)) {
		in := sim.activeHosts()
		next[e]++
		send(in[next[e]%len(in)])
	})
}

func runTwoChoices(sim *simulation) {
	runHostQueues(sim, func(e int, send func(int)) {
		in := sim.activeHosts()
		a, b := in[sim.random.IntN(len(in))], in[sim.random.IntN(len(in))]
		sim.messages += 4
		sim.wasted += 4
		maxDelay := max(sim.delay(sim.entryDomain(e), sim.hosts[a].domain), sim.delay(sim.entryDomain(e), sim.hosts[b].domain))
		sim.after(maxDelay, func() {
			load := func(h int) int { return sim.hosts[h].running + len(sim.hosts[h].queue) }
			best := a
			if load(b) < load(a) {
				best = b
			}
			sim.after(maxDelay, func() { send(best) })
		})
	})
}

// runCredits runs the real scheduler in one or more owners. Keys and credits are distributed evenly over the owners. There
// is one credit for each slot, and extraCredits per sidecar whose tasks wait at the sidecar.
func runCredits(sim *simulation, owners, extraCredits int) {
	list := make([]*simulatedOwner, owners)
	for i := range list {
		o := &simulatedOwner{sim: sim, entry: i, tasks: map[encoder.TaskKey]simulatedTask{}}
		list[i] = o
		for h := range sim.hosts {
			id := fmt.Sprint(h)
			o.scheduler.SetSidecar(scheduler.Sidecar{ID: id, Domain: fmt.Sprint(sim.hosts[h].domain), Slots: slots,
				Latency: timer.Millis(sim.delay(sim.entryDomain(i), sim.hosts[h].domain) / 100)})
			share := (slots + extraCredits) / owners
			if (h+i)%owners < (slots+extraCredits)%owners {
				share++
			}
			o.scheduler.AddCredits(id, uint32(share))
		}
	}
	sim.onDomainChange(propagationDelay, func(withdrawn bool) {
		for _, o := range list {
			o.scheduler.SetDomain("0", !withdrawn)
			o.place()
		}
	})
	if sim.fault.cancel {
		sim.after(30_000_000, func() {
			for i, j := range sim.jobs {
				if j.toCancel && j.arrival < sim.now && j.remaining > 0 {
					list[i%owners].failJob(j)
				}
			}
		})
	}
	for i, j := range sim.jobs {
		o := list[i%owners]
		hop := int64(0)
		if o.entry != j.entry {
			hop = sim.delay(sim.entryDomain(j.entry), sim.entryDomain(o.entry))
			sim.messages += 2
		}
		sim.after(j.arrival+callerDelay+hop, func() { o.submit(j, callerDelay+hop) })
	}
}

func (o *simulatedOwner) now() timer.Millis { return timer.Millis(o.sim.now / 1000) }

func (o *simulatedOwner) submit(j *jobSpec, answerDelay int64) {
	tasks := make([]scheduler.Task, len(j.runs))
	for i, r := range j.runs {
		k := encoder.TaskKey{Job: j.key, Index: uint32(i)}
		o.tasks[k] = simulatedTask{j, r, uint32(answerDelay)}
		tasks[i] = scheduler.Task{Key: k, Kind: "quote", Arrived: o.now(), JobRemaining: uint32(j.remaining),
			RunTime: o.declaredRunTime(i, r)}
		if o.sim.fault.deadline != 0 {
			tasks[i].Deadline = timer.Millis((j.arrival + o.sim.fault.deadline) / 1000)
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

// declaredRunTime returns the declared run time of a task. With the misdeclared fault it is alternately a tenth and ten
// times the real one.
func (o *simulatedOwner) declaredRunTime(index int, run int64) timer.Millis {
	switch {
	case o.sim.fault.misdeclared && index%2 == 0:
		return timer.Millis(run / 10_000)
	case o.sim.fault.misdeclared:
		return timer.Millis(run / 100)
	}
	return timer.Millis(run / 1000)
}

// failJob marks a job as failed and cancels its queued tasks.
func (o *simulatedOwner) failJob(j *jobSpec) {
	j.failed = true
	for range o.scheduler.CancelJob(j.key) {
		o.sim.taskEnded(j, 0, false, 0)
	}
}

func (o *simulatedOwner) place() {
	for _, t := range o.scheduler.RemoveExpired(o.now()) {
		o.failJob(o.tasks[t.Key].job)
		o.sim.taskEnded(o.tasks[t.Key].job, 0, false, 0)
	}
	for {
		p, ok := o.scheduler.Next(o.now())
		if !ok {
			return
		}
		o.start(p)
	}
}

func (o *simulatedOwner) start(p scheduler.Placement) {
	sim := o.sim
	var h int
	_, _ = fmt.Sscan(p.Sidecar, &h)
	x := o.tasks[p.Task.Key]
	net := sim.delay(sim.entryDomain(o.entry), sim.hosts[h].domain)
	sim.messages++
	sim.after(net, func() {
		sim.hosts[h].queue = append(sim.hosts[h].queue, func() { o.run(p, x, h, net) })
		sim.startQueued(h)
	})
}

// run runs a task that has a slot, and returns its result and credit to the owner.
func (o *simulatedOwner) run(p scheduler.Placement, x simulatedTask, h int, net int64) {
	sim := o.sim
	started := sim.now
	sim.runTask(h, x.runTime, func(ok bool) {
		sim.startQueued(h)
		ran := timer.Millis((sim.now - started) / 1000)
		sim.messages++
		sim.after(net, func() {
			status := encoder.StatusDone
			if !ok {
				status = encoder.StatusFailed
			}
			o.scheduler.TaskFinished(p.Sidecar, p.Task, status, ran)
			o.scheduler.AddCredits(p.Sidecar, 1)
			sim.taskEnded(x.job, x.runTime, ok, int64(x.answerDelay))
			if x.job.failed {
				o.failJob(x.job)
			}
			o.place()
		})
	})
}
