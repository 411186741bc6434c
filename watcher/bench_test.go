package watcher

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/crocuslb/crocuslb/timer"
)

// BenchmarkMember measures one member among 1,700 for one second of virtual time: its own probes, the answers, the
// probes of others, and the coding and sealing of all its datagrams in both directions.
func BenchmarkMember(b *testing.B) {
	const members = 1700
	for _, changes := range []int{0, 5} {
		b.Run(fmt.Sprintf("changes/s=%d", changes), func(b *testing.B) {
			s, err := newSealer(developmentSecret)
			if err != nil {
				b.Fatal(err)
			}
			heap := func() uint64 {
				var m runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&m)
				return m.HeapAlloc
			}
			before := heap()
			c := &Core{Self: Member{"self", "10.0.0.1:7000", 1, 0}}
			list := make([]Member, members)
			now, bytes := timer.Millis(1), 0
			for i := range list {
				list[i] = Member{fmt.Sprintf("worker-%04d-sidecar", i), fmt.Sprintf("10.1.%d.%d:7000", i/256, i%256), 1, 0}
				c.Receive(now, "x", &Packet{Kind: KindAck, From: list[i]})
			}
			memory := heap() - before
			c.rumors = nil // the start is not part of the measurement
			exchange := func(out Output) (answers []Packet) {
				for i := range out.Send {
					datagram := s.seal(&out.Send[i].Packet)
					bytes += len(datagram) + 28 // headers of IP and UDP
					if p := out.Send[i].Packet; p.Kind == KindPing {
						answers = append(answers, Packet{Kind: KindAck, Sequence: p.Sequence, From: p.Target, Target: p.Target, Updates: p.Updates})
					}
				}
				return answers
			}
			deliver := func(p Packet) {
				datagram := s.seal(&p)
				bytes += len(datagram) + 28
				opened, err := s.open(datagram)
				if err != nil {
					b.Fatal(err)
				}
				exchange(c.Receive(now, "10.1.0.1:7000", &opened))
			}
			n := 0
			for b.Loop() {
				for range 2 { // two periods in a second
					for _, answer := range exchange(c.Tick(now)) {
						deliver(answer)
					}
					n++
					deliver(Packet{Kind: KindPing, Sequence: uint64(n), From: list[n%members], Target: c.Self})
					now += defaultPeriod
				}
				for range changes {
					n++
					list[n%members].Refutations++
					deliver(Packet{Kind: KindPage, From: list[n%members]})
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B/s")
			b.ReportMetric(float64(memory)/members, "heap-B/member")
			runtime.KeepAlive(c)
		})
	}
}
