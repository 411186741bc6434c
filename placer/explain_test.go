package placer

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// drawState returns a placer after a random history, and the time of its end. With AdmissionCost, most histories are
// overloads.
func drawState(r *rand.Rand, admission Admission) (*Placer, timer.Millis) {
	p := &Placer{Grant: func(string, marshaler.Grant) {}, Reject: func(string, marshaler.Reject) {}, Admission: admission}
	workers := r.IntN(20)
	for i := range workers {
		p.SetWorker(fmt.Sprintf("w%02d", i), fmt.Sprintf("d%d", i%3), &marshaler.Backend{
			Service: []string{"svc", "svc", "svc", "other"}[r.IntN(4)], Labels: []string{fmt.Sprintf("rack%d", i%4)},
			Capacity: marshaler.Resources{CPU: int64(1+r.IntN(4)) * 8000, MemoryMB: 64_000, Accelerators: int64(r.IntN(2))},
		})
	}
	now := timer.Millis(1 + r.IntN(5000))
	p.Request(now, "entry-0", "d0", drawRequest(r, "first"))
	arrivals, steps, interval := r.IntN(5), r.IntN(60), 120
	if admission == AdmissionCost {
		arrivals, steps, interval = arrivals+2, steps+40, 60
	}
	for i := range steps {
		now += timer.Millis(r.IntN(interval))
		if workers > 0 {
			reportLoad(r, p, now, fmt.Sprintf("w%02d", r.IntN(workers)))
		}
		for j := range r.IntN(1 + arrivals) {
			p.Request(now, fmt.Sprintf("entry-%d", r.IntN(3)), fmt.Sprintf("d%d", r.IntN(3)), drawRequest(r, fmt.Sprintf("job%d-%d", i, j)))
		}
		if r.IntN(3) > 0 {
			p.Place(now)
		}
	}
	return p, now + timer.Millis(r.IntN(2)*r.IntN(700))
}

func reportLoad(r *rand.Rand, p *Placer, now timer.Millis, name string) {
	total := p.workers[name].total
	l := &marshaler.Load{
		Accepting: r.IntN(8) > 0, Speed: uint64(150 + r.IntN(1300)),
		Free: marshaler.Resources{CPU: total.CPU * int64(r.IntN(5)) / 4, MemoryMB: total.MemoryMB, Accelerators: total.Accelerators},
	}
	for range r.IntN(3) {
		status := []marshaler.Status{marshaler.StatusDone, marshaler.StatusFailed, marshaler.StatusStalled}[r.IntN(3)]
		l.CompletedRuns = append(l.CompletedRuns, marshaler.CompletedRun{Job: fmt.Sprint(r.IntN(99)), Status: status, Queue: "q0", Estimate: 100, RunTime: timer.Millis(50 + l.Speed/4)})
	}
	p.OnLoad(now, name, l)
}

func drawRequest(r *rand.Rand, job string) *marshaler.ResourceRequest {
	slack := timer.Millis(r.IntN(3) * r.IntN(600))
	var avoid []string
	for i := range 20 * r.IntN(4) / 3 {
		if r.IntN(3) > 0 {
			avoid = append(avoid, fmt.Sprintf("w%02d", i))
		}
	}
	return &marshaler.ResourceRequest{
		Avoid: avoid,
		Job:   job, Service: []string{"svc", "svc", "svc", "svc", "svc", "other", "unknown"}[r.IntN(7)], Tasks: uint64(1 + r.IntN(1+r.IntN(9))),
		Resources: marshaler.Resources{CPU: int64(1+r.IntN(1+r.IntN(34))) * 500, MemoryMB: 100, Accelerators: int64(r.IntN(8) / 7)},
		Estimate:  timer.Millis(10 + r.IntN(900)), Slack: slack, MaxWait: slack + timer.Millis(r.IntN(1500)), Priority: uint64(r.IntN(3)),
		TargetEnd: timer.Millis(r.IntN(3) * r.IntN(1500)), LastUsefulEnd: timer.Millis(r.IntN(2) * r.IntN(6000)),
		Queue: fmt.Sprint("q", len(job)%3),
		Label: []string{"", "", "", "rack1", "rack9"}[r.IntN(5)], Rack: []string{"", "", "rack2"}[r.IntN(3)], ServerTaskLimit: uint64(r.IntN(3) / 2 * 2),
	}
}

// dumpState appends the whole state below v except functions, also that of types which other packages define.
func dumpState(b *strings.Builder, v reflect.Value, seen map[uintptr]bool) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() || seen[v.Pointer()] {
			return
		}
		seen[v.Pointer()] = true
		dumpState(b, v.Elem(), seen)
	case reflect.Struct:
		for i := range v.NumField() {
			b.WriteString(v.Type().Field(i).Name + ":")
			dumpState(b, v.Field(i), seen)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			dumpState(b, v.Index(i), seen)
		}
	case reflect.Map:
		keys := slices.SortedFunc(slices.Values(v.MapKeys()), func(a, b reflect.Value) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		for _, k := range keys {
			fmt.Fprintf(b, "%v=", k)
			dumpState(b, v.MapIndex(k), seen)
		}
	case reflect.Interface:
		if !v.IsNil() {
			dumpState(b, v.Elem(), seen)
		}
	case reflect.Func:
	default:
		fmt.Fprintf(b, "%v,", v)
	}
}

func stateOf(p *Placer) string {
	var b strings.Builder
	dumpState(&b, reflect.ValueOf(p), map[uintptr]bool{})
	return b.String()
}

// TestExplainAgrees guards against explanations that differ from the decision that follows, and against explanations that
// change the state.
func TestExplainAgrees(t *testing.T) {
	for _, admission := range []Admission{AdmissionDeadline, AdmissionCost} {
		verdicts, reasons, decidedByCost, late := map[marshaler.Verdict]int{}, map[string]int{}, 0, 0
		states := map[Admission]uint64{AdmissionDeadline: 2000, AdmissionCost: 2500}[admission]
		for seed := range states {
			r := rand.New(rand.NewPCG(seed, 3))
			p, now := drawState(r, admission)
			a := drawRequest(r, "asked")
			if admission == AdmissionCost && seed%2 == 0 { // a request that most workers can run, of the lowest priority
				a.Service, a.Label, a.Resources, a.Priority = "svc", "", marshaler.Resources{CPU: int64(1+r.IntN(8)) * 1000, MemoryMB: 100}, 3
				a.Slack = timer.Millis(100+r.IntN(600)) / 2
				a.MaxWait, a.Tasks, a.LastUsefulEnd = timer.Millis(1000+r.IntN(4)/3*70_000), a.Tasks+8, 0
			}
			before := stateOf(p)
			s := p.Explain(now, "entry-1", "d1", []marshaler.ResourceRequest{*a})[0]
			if got := stateOf(p); got != before {
				t.Fatalf("%s, seed %d: got another state after the explanation:\n%s\nwant\n%s", admission, seed, got, before)
			}
			verdicts[s.Verdict]++
			reasons[s.Reason]++
			if p.costDecides(now, p.loads[a.Service]) {
				decidedByCost++
			}
			if s.Verdict == marshaler.VerdictWaits && s.Late {
				late++
			}
			checkDecision(t, seed, p, now, a, &s)
		}
		for v := marshaler.VerdictRuns; v <= marshaler.VerdictRefused; v++ {
			if verdicts[v] < 200 {
				t.Errorf("%s: got %d states with the verdict %s, want at least 200 of %d", admission, verdicts[v], v, states)
			}
		}
		if admission == AdmissionCost && (decidedByCost < 1000 || late < 20 || reasons[reasonGaveWay] < 20 || reasons[reasonTooLong] < 100) {
			t.Errorf("got %d states decided by cost, %d late requests and the reasons %v, want at least 1000 and 20, and 20 and 100 refusals that gave way or are too late",
				decidedByCost, late, reasons)
		}
	}
}

// checkDecision makes the decision and compares it with its explanation.
func checkDecision(t *testing.T, seed uint64, p *Placer, now timer.Millis, a *marshaler.ResourceRequest, s *marshaler.StepExplanation) {
	var granted []string
	var rejected *marshaler.Reject
	p.Grant = func(_ string, g marshaler.Grant) {
		if g.Job == a.Job {
			granted = append(granted, g.Sidecars...)
		}
	}
	p.Reject = func(_ string, r marshaler.Reject) {
		if r.Job == a.Job {
			rejected = &r
		}
	}
	if got := p.explain(now, newRequest(now, "entry-1", "d1", a)).wait; got != s.Wait {
		t.Errorf("seed %d: got a forecast of %d ms, want %d as explained", seed, got, s.Wait)
	}
	p.Request(now, "entry-1", "d1", a)
	r := p.requests[requestKey{"entry-1", a.Job, a.Step}]
	if got := slices.Index(p.queue.snapshot(), r); r != nil && got != int(s.Ahead) {
		t.Errorf("seed %d: got place %d in the queue, want %d as explained", seed, got, s.Ahead)
	}
	p.Place(now)
	if l := p.loads[a.Service]; p.costDecides(now, l) && l.passDue && l.passAt+passInterval > now {
		p.Place(l.passAt + passInterval)
	}
	if r := p.requests[requestKey{"entry-1", a.Job, a.Step}]; r != nil && r.late != s.Late {
		t.Errorf("seed %d: got late %t, want %t as explained", seed, r.late, s.Late)
	}
	got, want := marshaler.VerdictWaits, s.Verdict
	switch {
	case rejected != nil:
		got = marshaler.VerdictRefused
		if rejected.Reason != s.Reason || rejected.RetryAfter != s.RetryAfter {
			t.Errorf("seed %d: got refusal %+v, want %q after %d ms", seed, rejected, s.Reason, s.RetryAfter)
		}
	case len(granted) == int(a.Tasks):
		got = marshaler.VerdictRuns
	}
	if got != want || len(granted) != int(s.Granted) {
		t.Errorf("seed %d: got %s with %d tasks granted, want %s with %d", seed, got, len(granted), want, s.Granted)
	}
	tasks, named := map[string]uint64{}, map[string]uint64{}
	var order []string
	for _, name := range granted {
		if tasks[name]++; tasks[name] == 1 {
			order = append(order, name)
		}
	}
	for i, w := range s.Workers {
		if w.Tasks > 0 {
			named[w.Name] = w.Tasks
		}
		if i < len(order) && order[i] != w.Name {
			t.Errorf("seed %d: got worker %s at place %d, want %s", seed, order[i], i, w.Name)
		}
	}
	if len(order) <= maxExplainedWorkers && !maps.Equal(tasks, named) {
		t.Errorf("seed %d: got tasks %v, want %v", seed, tasks, named)
	}
}

// TestExclusionReason guards against an explanation that gives a wrong reason why a worker gets no task.
func TestExclusionReason(t *testing.T) {
	cases := []struct {
		want   string
		change func(w *worker, a *marshaler.ResourceRequest)
	}{
		{"", func(*worker, *marshaler.ResourceRequest) {}},
		{"serves another service", func(w *worker, _ *marshaler.ResourceRequest) { w.service = "other" }},
		{"lacks the label", func(_ *worker, a *marshaler.ResourceRequest) { a.Label = "x" }},
		{"too small for a task", func(w *worker, _ *marshaler.ResourceRequest) { w.total.CPU, w.free.CPU = 100, 100 }},
		{"accepts no starts", func(w *worker, _ *marshaler.ResourceRequest) { w.accepting = false }},
		{"breaker is open", func(w *worker, _ *marshaler.ResourceRequest) { w.breaker = breaker{open: true, probeAt: 9999} }},
		{"failed a task", func(_ *worker, a *marshaler.ResourceRequest) { a.Avoid = []string{"w0"} }},
		{"has as many tasks", func(_ *worker, a *marshaler.ResourceRequest) { a.ServerTaskLimit, a.Placed = 1, []string{"w0"} }},
		{"slow, and a task", func(w *worker, _ *marshaler.ResourceRequest) { w.speed, w.free.CPU = 200, 7000 }},
		{"slow, and a probe", func(w *worker, a *marshaler.ResourceRequest) { w.speed, a.TargetEnd = 200, 20 }},
		{"not enough free", func(w *worker, _ *marshaler.ResourceRequest) { w.free.CPU = 500 }},
		{"has capacity, and comes after", func(w *worker, _ *marshaler.ResourceRequest) { w.speed = 900 }},
	}
	for _, c := range cases {
		p := &Placer{firstRequestAt: 1}
		for i := range maxExplainedWorkers + 1 {
			name := fmt.Sprintf("w%d", i)
			p.SetWorker(name, "d0", &marshaler.Backend{Service: "svc", Labels: []string{"x"}[:min(i, 1)], Capacity: marshaler.Resources{CPU: 8000}})
			p.OnLoad(1, name, &marshaler.Load{Accepting: true, Speed: 1000, Free: marshaler.Resources{CPU: 8000}})
		}
		a := marshaler.ResourceRequest{Service: "svc", Tasks: 1, Resources: marshaler.Resources{CPU: 1000}, Estimate: 10, Slack: 500}
		c.change(p.workers["w0"], &a)
		s := p.Explain(5000, "entry", "d0", []marshaler.ResourceRequest{a})[0]
		i := slices.IndexFunc(s.Excluded, func(e marshaler.ExcludedWorkers) bool { return e.Example == "w0" })
		switch {
		case c.want == "" && (i >= 0 || s.Workers[0].Name != "w0"):
			t.Errorf("got excluded %+v and workers %+v, want w0 first", s.Excluded, s.Workers)
		case c.want != "" && (i < 0 || !strings.HasPrefix(s.Excluded[i].Reason, c.want)):
			t.Errorf("got excluded %+v, want w0 because it %q", s.Excluded, c.want)
		}
	}
}

// TestTrialSharesNoState guards against an explanation that changes the state of workers or requests through memory that
// its copy shares. Names and labels are never changed in place.
func TestTrialSharesNoState(t *testing.T) {
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 5))
		p, now := drawState(r, Admission(seed%2))
		trial := p.newTrial(now)
		before := stateOf(p)
		for i := range 20 {
			at := now + timer.Millis(i)*100
			trial.Request(at, "entry-0", "d0", drawRequest(r, fmt.Sprintf("new%d", i)))
			for name := range trial.workers {
				reportLoad(r, &trial.Placer, at, name)
			}
			trial.Place(at)
		}
		if got := stateOf(p); got != before {
			t.Fatalf("seed %d: got another state after decisions on the copy:\n%s\nwant\n%s", seed, got, before)
		}
	}
}

// BenchmarkExplain measures an explanation with a long queue in a large deployment.
func BenchmarkExplain(b *testing.B) {
	p := &Placer{Grant: func(string, marshaler.Grant) {}, Reject: func(string, marshaler.Reject) {}}
	for i := range 1730 {
		name := fmt.Sprintf("w%04d", i)
		p.SetWorker(name, fmt.Sprintf("d%d", i%3), &marshaler.Backend{Service: "svc", Capacity: marshaler.Resources{CPU: 32_000}})
		p.OnLoad(1, name, &marshaler.Load{Accepting: true, Speed: 1000})
	}
	a := marshaler.ResourceRequest{Service: "svc", Tasks: 8, Resources: marshaler.Resources{CPU: 3400}, Estimate: 60, Slack: 60_000, MaxWait: 60_000}
	for i := range 5000 {
		a.Job = fmt.Sprint(i)
		p.Request(1, "entry-0", "d0", &a)
	}
	for b.Loop() {
		p.Explain(2, "entry-1", "d1", []marshaler.ResourceRequest{a})
	}
}
