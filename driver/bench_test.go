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

// BenchmarkEntry runs an entry with its HTTP interface and stand-ins in this process, so that a profile shows all of
// them. Idle submits nothing.
func BenchmarkEntry(b *testing.B) {
	for _, c := range []struct {
		name        string
		connections int
	}{{"idle", 0}, {"saturated", 32}} {
		b.Run(c.name, func(b *testing.B) {
			url := benchEntry(b)
			if c.connections == 0 {
				for b.Loop() {
					time.Sleep(time.Second)
				}
				return
			}
			b.ResetTimer()
			l := Load{Prefix: "b", Length: timer.Minute, Jobs: b.N, Connections: c.connections, Tasks: 100, Payload: 64, URLs: []string{url}}
			if s, err := l.Run(b.Context()); err != nil || s.Failed > 0 {
				b.Fatal(s.Reason, err)
			}
		})
	}
}

func benchEntry(b *testing.B) string {
	platform := httptest.NewServer(&emulator.Log{})
	b.Cleanup(platform.Close)
	quiet := &log.Logger{Handler: discard.Default}
	quic, err := freeAddress()
	if err != nil {
		b.Fatal(err)
	}
	e := &dispatcher.Entry{ID: "entry-0", Listen: quic, Domain: "domain-0", Log: &appender.Client{URL: platform.URL}, Logger: quiet}
	go func() { _ = e.Run(b.Context()) }()
	h, err := (&server.Server{Submit: e.Submit, Get: e.Get, Cancel: e.Cancel}).Handler()
	if err != nil {
		b.Fatal(err)
	}
	web := httptest.NewServer(h)
	b.Cleanup(web.Close)
	for i := range 8 {
		(&StandIn{ID: standInName(i), Slots: 500}).Connect(b.Context(), []string{quic})
	}
	for n := 0; ; n++ {
		w := Load{Seed: uint64(n), Prefix: "w", Length: timer.Minute, Jobs: 8, Connections: 8, Tasks: 100, URLs: []string{web.URL}}
		if s, err := w.Run(b.Context()); err == nil && s.Failed == 0 {
			return web.URL
		}
		time.Sleep(readyPause)
	}
}

func freeAddress() (string, error) {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return c.LocalAddr().String(), c.Close()
}
