package watcher

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/crocuslb/crocuslb/timer"
)

// BenchmarkMember measures one of 1,700 members for one second of virtual time: its own probes, their acks, the probes
// of others, and the encoding, signing and verification of all its datagrams.
func BenchmarkMember(b *testing.B) {
	const members = 1700
	for _, changes := range []int{0, 5} {
		b.Run(fmt.Sprintf("changes/s=%d", changes), func(b *testing.B) {
			auth, err := newAuthenticator(developmentSecret)
			if err != nil {
				b.Fatal(err)
			}
			heapAlloc := func() uint64 {
				var m runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&m)
				return m.HeapAlloc
			}
			before := heapAlloc()
			c := &Core{Self: Member{"self", "10.0.0.1:7000", 1, 0}}
			peers := make([]Member, members)
			now, traffic := timer.Millis(1), 0
			for i := range peers {
				peers[i] = Member{fmt.Sprintf("worker-%04d-sidecar", i), fmt.Sprintf("10.1.%d.%d:7000", i/256, i%256), 1, 0}
				c.Receive(now, "x", &Packet{Kind: KindAck, From: peers[i]})
			}
			memory := heapAlloc() - before
			c.gossipQueue = nil // exclude the gossip about the initial members
			exchange := func(out Output) (answers []Packet) {
				for i := range out.Send {
					datagram := auth.signPacket(&out.Send[i].Packet)
					traffic += len(datagram) + 28 // headers of IP and UDP
					if p := out.Send[i].Packet; p.Kind == KindPing {
						answers = append(answers, Packet{Kind: KindAck, Sequence: p.Sequence, From: p.Target, Target: p.Target, Updates: p.Updates})
					}
				}
				return answers
			}
			deliver := func(p Packet) {
				datagram := auth.signPacket(&p)
				traffic += len(datagram) + 28
				verified, err := auth.verifyDatagram(datagram)
				if err != nil {
					b.Fatal(err)
				}
				exchange(c.Receive(now, "10.1.0.1:7000", &verified))
			}
			n := 0
			for b.Loop() {
				for range 2 { // two probe intervals per second
					for _, answer := range exchange(c.Tick(now)) {
						deliver(answer)
					}
					n++
					deliver(Packet{Kind: KindPing, Sequence: uint64(n), From: peers[n%members], Target: c.Self})
					now += defaultProbeInterval
				}
				for range changes {
					n++
					peers[n%members].Refutations++
					deliver(Packet{Kind: KindPage, From: peers[n%members]})
				}
			}
			b.ReportMetric(float64(traffic)/float64(b.N), "B/s")
			b.ReportMetric(float64(memory)/members, "heap-B/member")
			runtime.KeepAlive(c)
		})
	}
}
