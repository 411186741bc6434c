package dispatcher

import (
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const tasksPerMessage = 1000

type (
	// collection lists results that the sidecars may drop. They stay there for a while after the answer, as evidence
	// for the next owner.
	collection struct{ waiting []collected }

	collected struct {
		sidecar *sidecar
		task    encoder.TaskKey
		at      timer.Millis
	}
)

func (l *collection) add(sc *sidecar, task encoder.TaskKey, at timer.Millis) {
	l.waiting = append(l.waiting, collected{sc, task, at})
}

func (c *Core) flushCollected() {
	n := 0
	lists := map[*sidecar][]encoder.TaskKey{}
	for _, e := range c.collect.waiting {
		if e.at > c.now {
			break
		}
		n++
		lists[e.sidecar] = append(lists[e.sidecar], e.task)
	}
	if n == 0 {
		return
	}
	c.collect.waiting = append(c.collect.waiting[:0], c.collect.waiting[n:]...)
	for sc, tasks := range lists {
		for len(tasks) > 0 && sc.session != 0 {
			k := min(len(tasks), tasksPerMessage)
			c.send(sc.session, &encoder.Collected{Tasks: tasks[:k:k]})
			tasks = tasks[k:]
		}
	}
}
