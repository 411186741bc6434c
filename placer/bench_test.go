package placer

import (
	"fmt"
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	benchmarkQueued = 5000 // queued requests
	benchmarkSlack  = 60 * timer.Minute
)

// newLoadedPlacer returns a placer with a full queue: each worker is half busy, and each queued task needs a whole worker.
func newLoadedPlacer(workers int) *Placer {
	p := &Placer{Grant: func(string, marshaler.Grant) {}, Reject: func(string, marshaler.Reject) {}}
	capacity := marshaler.Resources{CPU: 32_000, MemoryMB: 128_000}
	for i := range workers {
		name, labels := fmt.Sprintf("worker-%04d", i), []string{"kind", fmt.Sprintf("rack-%d", i/12)}
		p.SetWorker(name, fmt.Sprintf("domain-%d", i%3), &marshaler.Backend{Service: "svc", Capacity: capacity, Labels: labels})
		p.OnLoad(1000, name, benchmarkLoad(i))
	}
	for i := range benchmarkQueued {
		p.Request(1000, "entry", "domain-1", &marshaler.ResourceRequest{
			Job: fmt.Sprint("job-", i), Service: "svc", Tasks: 1, Resources: capacity, Estimate: 100, Slack: benchmarkSlack + timer.Millis(i*7919%benchmarkQueued),
		})
	}
	p.Place(1000)
	return p
}

func benchmarkLoad(i int) *marshaler.Load {
	return &marshaler.Load{Accepting: true, Free: marshaler.Resources{CPU: 16_000 + int64(i%5)*1000, MemoryMB: 64_000}, Speed: uint64(1000 + i*31%97)}
}

// BenchmarkSteps measures the steps of a placing entry with 5,000 queued requests.
func BenchmarkSteps(b *testing.B) {
	task := marshaler.Resources{CPU: 3000}
	now := 5 * timer.Second // after the startup grace period
	arrival := marshaler.ResourceRequest{
		Job: "job", Service: "svc", Tasks: 1, Resources: task, Estimate: 100, Slack: benchmarkSlack + timer.Millis(benchmarkQueued/2),
	}
	constraints := marshaler.ResourceRequest{Label: "kind", Rack: "rack-3", ServerTaskLimit: 2}
	constrained := &request{
		service: "svc", domain: "domain-1", resources: task, avoided: []string{"worker-0003", "worker-0090"}, constraints: newConstraints(&constraints),
	}
	r := &request{key: requestKey{job: "job"}, service: "svc", domain: "domain-1", resources: task}
	var loads []*marshaler.Load
	for i := range 97 { // a prime number, so that each report of a worker differs from its previous one
		loads = append(loads, benchmarkLoad(i))
	}
	for _, workers := range []int{100, 1730} {
		var names []string
		for i := range workers {
			names = append(names, fmt.Sprintf("worker-%04d", i))
		}
		steps := []struct {
			name string
			run  func(p *Placer, i int)
		}{
			{"decision", func(p *Placer, i int) {
				at := now + timer.Millis(i/64)
				p.expireReservations(at)
				w := p.selectWorker(at, r)
				p.reserve(at, w, r)
				w.releaseReservation("job")
				w.updateFree()
				p.updateIndex(w)
			}},
			{"constrained", func(p *Placer, _ int) { p.selectWorker(now, constrained) }},
			{"arrival", func(p *Placer, _ int) {
				p.Request(now, "entry", "domain-1", &arrival)
				p.Cancel("entry", "job", 0)
			}},
			{"report", func(p *Placer, i int) { p.OnLoad(now, names[i%workers], loads[i%len(loads)]) }},
			{"blocked", func(p *Placer, _ int) { p.Place(now) }},
		}
		for _, s := range steps {
			b.Run(fmt.Sprintf("%s/workers=%d", s.name, workers), func(b *testing.B) {
				p := newLoadedPlacer(workers)
				p.Place(now)
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					s.run(p, i)
				}
			})
		}
	}
}
