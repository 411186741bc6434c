package driver

import (
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/crocuslb/crocuslb/appender"
	"github.com/crocuslb/crocuslb/dispatcher"
	"github.com/crocuslb/crocuslb/emulator"
	"github.com/crocuslb/crocuslb/server"
	"github.com/crocuslb/crocuslb/timer"
)

// BenchmarkEntry runs an entry, its HTTP server and simulated sidecars in this process, so that a profile covers all of
// them. The idle case submits no jobs.
func BenchmarkEntry(b *testing.B) {
	for _, c := range []struct {
		name        string
		connections int
	}{{"idle", 0}, {"saturated", 32}} {
		b.Run(c.name, func(b *testing.B) {
			url := startBenchEntry(b)
			if c.connections == 0 {
				for b.Loop() {
					time.Sleep(time.Second)
				}
				return
			}
			b.ResetTimer()
			l := Load{Prefix: "b", TestDuration: timer.Minute, Jobs: b.N, Connections: c.connections, TasksPerJob: 100, PayloadBytes: 64, URLs: []string{url}}
			if s, err := l.Run(b.Context()); err != nil || s.Failed > 0 {
				b.Fatal(s.FailureReason, err)
			}
		})
	}
}

func startBenchEntry(b *testing.B) string {
	platform := httptest.NewServer(&emulator.Log{})
	b.Cleanup(platform.Close)
	discardLogger := &log.Logger{Handler: discard.Default}
	quicAddress, err := freeUDPAddress()
	if err != nil {
		b.Fatal(err)
	}
	e := &dispatcher.Entry{ID: "entry-0", Listen: quicAddress, Domain: "domain-0", Log: &appender.Client{URL: platform.URL}, Logger: discardLogger}
	go func() { _ = e.Run(b.Context()) }()
	h, err := (&server.Server{Submit: e.Submit, Get: e.Get, Cancel: e.Cancel}).Handler()
	if err != nil {
		b.Fatal(err)
	}
	httpServer := httptest.NewServer(h)
	b.Cleanup(httpServer.Close)
	for i := range 8 {
		(&SimulatedSidecar{ID: simulatedSidecarID(i), Slots: 500}).Connect(b.Context(), []string{quicAddress})
	}
	for n := 0; ; n++ {
		warmUp := Load{Seed: uint64(n), Prefix: "w", TestDuration: timer.Minute, Jobs: 8, Connections: 8, TasksPerJob: 100, URLs: []string{httpServer.URL}}
		if s, err := warmUp.Run(b.Context()); err == nil && s.Failed == 0 {
			return httpServer.URL
		}
		time.Sleep(readyRetryInterval)
	}
}

func freeUDPAddress() (string, error) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return c.LocalAddr().String(), c.Close()
}
