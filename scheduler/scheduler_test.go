package scheduler

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// A fixed seed makes runs reproducible; -rapid.seed overrides it.
var _ = flag.Set("rapid.seed", "1")

func task(job string, index uint32, team string, arrived timer.Millis) Task {
	return Task{Key: encoder.TaskKey{Job: job, Index: index}, Team: team, Kind: "quote", Arrived: arrived}
}

func addSidecars(s *Scheduler, sidecars, slots int) {
	for i := range sidecars {
		id := fmt.Sprintf("s%d", i)
		s.SetSidecar(Sidecar{ID: id, Domain: fmt.Sprintf("d%d", i%4), Slots: uint32(slots), Latency: timer.Millis(i % 4)})
		s.AddCredits(id, uint32(slots))
	}
}

// TestOrder guards against placing tasks in an order that does not follow deadline slack, arrival and team shares.
func TestOrder(t *testing.T) {
	cases := []struct {
		name  string
		setup func(s *Scheduler)
		tasks []Task
		want  []string
	}{
		{"arrival", nil, []Task{task("b", 0, "x", 20), task("a", 0, "x", 10)}, []string{"a", "b"}},
		{"urgent deadline first", nil, []Task{
			task("a", 0, "x", 5000),
			{Key: encoder.TaskKey{Job: "b"}, Team: "x", Kind: "quote", Arrived: 5001, Deadline: 5500},
		}, []string{"b", "a"}},
		{"far deadline keeps its place", nil, []Task{
			task("a", 0, "x", 5000),
			{Key: encoder.TaskKey{Job: "b"}, Team: "x", Kind: "quote", Arrived: 5001, Deadline: 60000},
		}, []string{"a", "b"}},
		{"teams share", nil, []Task{
			task("a", 0, "x", 1), task("a", 1, "x", 1), task("a", 2, "x", 1), task("b", 0, "y", 2), task("b", 1, "y", 2),
		}, []string{"a", "b", "a", "b", "a"}},
		{"weight counts", func(s *Scheduler) { s.SetTeam("y", 2, 0) }, []Task{
			task("a", 0, "x", 1), task("a", 1, "x", 1), task("b", 0, "y", 2), task("b", 1, "y", 2), task("b", 2, "y", 2),
		}, []string{"a", "b", "b", "a", "b"}},
		{"quota stops a team", func(s *Scheduler) { s.SetTeam("x", 1, 1) }, []Task{
			task("a", 0, "x", 1), task("a", 1, "x", 1), task("b", 0, "y", 2),
		}, []string{"a", "b"}},
		{"no sidecar for the kind", func(s *Scheduler) {
			s.SetSidecar(Sidecar{ID: "s0", Slots: 8, Kinds: []string{"other"}})
		}, []Task{task("a", 0, "x", 1)}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s Scheduler
			addSidecars(&s, 1, 8)
			if c.setup != nil {
				c.setup(&s)
			}
			for _, x := range c.tasks {
				s.Push(x)
			}
			var got []string
			for {
				p, ok := s.Next(100)
				if !ok {
					break
				}
				got = append(got, p.Task.Key.Job)
			}
			if want := c.want; fmt.Sprint(got) != fmt.Sprint(want) {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}

// TestAdmit guards against admitting a job that no sidecar can run or that would miss its deadline.
func TestAdmit(t *testing.T) {
	cases := []struct {
		name   string
		fleet  int
		queued int
		task   Task
		want   encoder.FailureCode
	}{
		{"idle", 1, 0, task("a", 0, "x", 0), 0},
		{"no sidecar", 0, 0, task("a", 0, "x", 0), encoder.CodeUnavailable},
		{"too large", 1, 0, Task{Kind: "quote", MemoryMB: 4096}, encoder.CodeUnplaceable},
		{"fits", 1, 0, Task{Kind: "quote", MemoryMB: 1024}, 0},
		{"queue within the deadline", 1, 80, Task{Kind: "quote", Deadline: 5000}, 0},
		{"queue longer than the deadline", 1, 800, Task{Kind: "quote", Deadline: 5000}, encoder.CodeOverload},
		{"queue longer than the limit", 1, 8000, Task{Kind: "quote"}, encoder.CodeOverload},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s Scheduler
			for i := range c.fleet {
				s.SetSidecar(Sidecar{ID: fmt.Sprint(i), Slots: 8, MemoryMB: 1024})
			}
			for i := range c.queued {
				s.Push(task("q", uint32(i), "x", 0))
			}
			got := s.Admit(0, []Task{c.task})
			if got.Code != c.want {
				t.Errorf("got %d (%s), want %d", got.Code, got.Reason, c.want)
			}
			if got.Code == encoder.CodeOverload && got.RetryAfter <= 0 {
				t.Errorf("got no RetryAfter with an overload refusal")
			}
		})
	}
}

// TestBreaker guards against a worker that fails every task quickly, always has free slots and so attracts most tasks.
func TestBreaker(t *testing.T) {
	var s Scheduler
	addSidecars(&s, 4, 1)
	now, failed := timer.Millis(0), 0
	for i := range 200 {
		now += 10
		s.Push(task(fmt.Sprint(i), 0, "x", now))
		p, ok := s.Next(now)
		if !ok {
			t.Fatalf("task %d was not placed", i)
		}
		status := encoder.StatusDone
		if p.Sidecar == "s0" {
			status, failed = encoder.StatusFailed, failed+1
		}
		s.TaskFinished(p.Sidecar, p.Task, status, 10)
		s.AddCredits(p.Sidecar, 1)
	}
	if failed > failureThreshold+2 {
		t.Errorf("got %d failures, want at most %d with probes over 2 s", failed, failureThreshold+2)
	}
}

// TestSchedulerProperties guards against lost or duplicated tasks and against placements without a usable credit, for
// random sequences of events.
func TestSchedulerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Scheduler
		addSidecars(&s, 4, 2)
		credits := map[string]uint32{"s0": 2, "s1": 2, "s2": 2, "s3": 2}
		withdrawn, leaving := map[string]bool{}, map[string]bool{}
		var placed []Placement
		var now timer.Millis
		queued := map[encoder.TaskKey]bool{}
		next, running := 0, 0
		s.SetTeam("y", 2, 2)
		id := rapid.SampledFrom([]string{"s0", "s1", "s2", "s3"})
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				x := task(fmt.Sprint(next%7), uint32(next), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "team"), now)
				if rapid.Bool().Draw(t, "deadline") {
					x.Deadline = now + 500
				}
				s.Push(x)
				queued[x.Key] = true
			},
			"next": func(t *rapid.T) {
				now += timer.Millis(rapid.IntRange(0, 300).Draw(t, "wait"))
				p, ok := s.Next(now)
				if !ok {
					return
				}
				d := "d" + p.Sidecar[1:]
				if credits[p.Sidecar] == 0 || withdrawn[d] || leaving[p.Sidecar] || !queued[p.Task.Key] {
					t.Fatalf("got %v with %d credits, withdrawn %v, leaving %v, queued %v", p, credits[p.Sidecar], withdrawn[d],
						leaving[p.Sidecar], queued[p.Task.Key])
				}
				credits[p.Sidecar]--
				delete(queued, p.Task.Key)
				placed = append(placed, p)
				if p.Task.Team == "y" {
					running++
				}
				if running > 2 {
					t.Fatalf("got %d running tasks of a team with a quota of 2", running)
				}
			},
			"end": func(t *rapid.T) {
				if len(placed) == 0 {
					return
				}
				p := placed[0]
				placed = placed[1:]
				if p.Task.Team == "y" {
					running--
				}
				switch rapid.IntRange(0, 2).Draw(t, "how") {
				case 0:
					s.TaskFinished(p.Sidecar, p.Task, encoder.StatusDone, 50)
				case 1:
					s.TaskFinished(p.Sidecar, p.Task, encoder.StatusFailed, 50)
				case 2:
					s.TaskRefused(p.Sidecar, p.Task, encoder.RefusalLeaseExpired)
					s.Push(p.Task)
					queued[p.Task.Key] = true
				}
				if !leaving[p.Sidecar] {
					s.AddCredits(p.Sidecar, 1)
					credits[p.Sidecar]++
				}
			},
			"domain": func(t *rapid.T) {
				d, in := "d"+id.Draw(t, "id")[1:], rapid.Bool().Draw(t, "in")
				s.SetDomain(d, in)
				withdrawn[d] = !in
			},
			"leave": func(t *rapid.T) {
				i := id.Draw(t, "id")
				s.SetLeaving(i)
				leaving[i], credits[i] = true, 0
			},
			"recall": func(t *rapid.T) {
				i := id.Draw(t, "id")
				credits[i] -= s.RevokeCredits(i, 1)
			},
			"cancel": func(t *rapid.T) {
				for _, x := range s.CancelJob(fmt.Sprint(rapid.IntRange(0, 6).Draw(t, "job"))) {
					delete(queued, x.Key)
				}
			},
			"expire": func(_ *rapid.T) {
				for _, x := range s.RemoveExpired(now) {
					delete(queued, x.Key)
				}
			},
			"": func(t *rapid.T) {
				if got, want := s.QueueLen(), len(queued); got != want {
					t.Fatalf("got %d queued tasks, want %d", got, want)
				}
				if (len(queued) == 0) != (s.queue.queuedWork == 0) {
					t.Fatalf("got queued work of %v for %d tasks", s.queue.queuedWork, len(queued))
				}
			},
		})
	})
}

// BenchmarkPlace measures one push, placement, end and grant with 1,700 sidecars and 1 or 800 teams.
func BenchmarkPlace(b *testing.B) {
	for _, teams := range []int{1, 800} {
		b.Run(fmt.Sprintf("teams-%d", teams), func(b *testing.B) {
			var s Scheduler
			addSidecars(&s, 1700, 8)
			tasks := make([]Task, 1700*4)
			for i := range tasks {
				tasks[i] = task(fmt.Sprintf("j%d", i/20), uint32(i), fmt.Sprintf("t%d", i/20%teams), timer.Millis(i/20))
				s.Push(tasks[i])
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n := 0; n < b.N; n++ {
				p, ok := s.Next(1)
				if !ok {
					b.Fatal("nothing placed")
				}
				s.TaskFinished(p.Sidecar, p.Task, encoder.StatusDone, 300)
				s.AddCredits(p.Sidecar, 1)
				s.Push(p.Task)
			}
		})
	}
}
