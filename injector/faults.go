package injector

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/crocuslb/crocuslb/launcher"
	"github.com/crocuslb/crocuslb/server"
)

const (
	killEntry    = "entry killed"
	pauseEntry   = "entry paused"
	stopEntry    = "entry stopped"
	killSidecar  = "sidecar killed"
	pauseSidecar = "sidecar paused"
	stopSidecar  = "sidecar stopped"
	killBackend  = "backend server killed"
	logOutage    = "log outage"
	logSlow      = "log slow"
	logLoses     = "log answers lost"
	withdraw     = "domain withdrawn"
)

// faultNames lists the faults. A schedule draws from it with equal chances.
var faultNames = []string{
	killEntry, pauseEntry, stopEntry, killSidecar, pauseSidecar, stopSidecar, killBackend, logOutage, logSlow, logLoses,
	withdraw,
}

// withdrawal is the time between an accepted withdrawal and the request to return the domain, in wall clock ms.
type withdrawal struct {
	domain   string
	accepted int64
	returned int64
}

// faults injects faults until ctx ends. Faults overlap: each runs on its own goroutine.
func (u *run) faults(ctx context.Context, r *rand.Rand) {
	for {
		wait := time.Duration(float64(u.plan.FaultEvery.Duration()) * (0.3 + 1.4*r.Float64()))
		if !sleep(ctx, wait) {
			return
		}
		names := u.plan.Faults
		if len(names) == 0 {
			names = faultNames
		}
		name := names[r.IntN(len(names))]
		target, length := r.IntN(1<<20), time.Duration(300+r.IntN(3700))*time.Millisecond
		u.mu.Lock()
		u.report.Faults[name]++
		u.mu.Unlock()
		u.faulted.Add(1)
		go func() {
			defer u.faulted.Done()
			u.inject(ctx, name, target, length)
		}()
	}
}

func (u *run) inject(ctx context.Context, name string, target int, length time.Duration) {
	f := u.fleet
	entry, backend := target%f.Entries, target%f.Backends
	switch name {
	case killEntry:
		u.restart(ctx, launcher.EntryName(entry), length, (*launcher.Process).Kill, func() error { return f.StartEntry(entry) })
	case stopEntry:
		u.markStopped(entry)
		u.restart(ctx, launcher.EntryName(entry), length, (*launcher.Process).Stop, func() error { return f.StartEntry(entry) })
	case pauseEntry:
		u.pause(ctx, launcher.EntryName(entry), length)
	case killSidecar:
		u.restart(ctx, launcher.SidecarName(backend), length, (*launcher.Process).Kill, func() error { return f.StartSidecar(backend) })
	case stopSidecar:
		u.restart(ctx, launcher.SidecarName(backend), length, (*launcher.Process).Stop, func() error { return f.StartSidecar(backend) })
	case pauseSidecar:
		u.pause(ctx, launcher.SidecarName(backend), length)
	case killBackend:
		u.restart(ctx, launcher.BackendName(backend), length, (*launcher.Process).Kill, func() error { return f.StartBackend(backend) })
	case logOutage:
		u.control(ctx, `{"outage":true}`, length, `{"outage":false}`)
	case logSlow:
		u.control(ctx, `{"appendDelayMs":200,"readDelayMs":50}`, length, `{"appendDelayMs":4,"readDelayMs":0}`)
	case logLoses:
		u.control(ctx, `{"loseNext":3}`, 0, "")
	case withdraw:
		u.withdraw(ctx, f.Domain(backend), entry, length)
	}
}

// restart ends a process and starts it again after a while. One process is restarted by one fault at a time.
func (u *run) restart(ctx context.Context, name string, length time.Duration, end func(*launcher.Process), again func() error) {
	if !u.claim(name) {
		return
	}
	defer u.release(name)
	p := u.fleet.Process(name)
	end(p)
	if _, err := p.Wait(ctx); err != nil || !sleep(ctx, length) {
		return
	}
	if err := again(); err != nil {
		u.note("%s did not start again: %v", name, err)
	}
}

func (u *run) pause(ctx context.Context, name string, length time.Duration) {
	if !u.claim(name) {
		return
	}
	defer u.release(name)
	p := u.fleet.Process(name)
	p.Pause()
	sleep(ctx, length)
	p.Resume()
}

func (u *run) control(ctx context.Context, begin string, length time.Duration, end string) {
	if !u.claim("log") {
		return
	}
	defer u.release("log")
	if err := u.fleet.ControlLog(begin); err != nil {
		u.note("log control failed: %v", err)
	}
	if end == "" {
		return
	}
	sleep(ctx, length)
	if err := u.fleet.ControlLog(end); err != nil {
		u.note("log control failed: %v", err)
	}
}

// withdraw withdraws a domain through an entry and returns it later, until the return is accepted.
func (u *run) withdraw(ctx context.Context, domain string, entry int, length time.Duration) {
	if !u.claim("domains") {
		return
	}
	defer u.release("domains")
	if !u.decide(ctx, entry, func(c server.Client) (server.Response, error) { return c.Withdraw(ctx, domain, "injector") }, 5) {
		return
	}
	w := withdrawal{domain: domain, accepted: time.Now().UnixMilli()}
	sleep(ctx, 4*time.Second+length)
	w.returned = time.Now().UnixMilli()
	u.mu.Lock()
	u.report.Withdrawn++
	u.withdrawals = append(u.withdrawals, w)
	u.mu.Unlock()
	u.decide(ctx, entry, func(c server.Client) (server.Response, error) { return c.Return(ctx, domain, "injector") }, 100)
}

// decide asks one entry after the other until one accepts.
func (u *run) decide(ctx context.Context, entry int, ask func(server.Client) (server.Response, error), tries int) bool {
	for i := range tries {
		got, err := ask(server.Client{URL: u.fleet.EntryURL((entry + i) % u.fleet.Entries), Token: launcher.Token, HTTP: u.http})
		if err == nil {
			if p, err := server.DecodePublication(got.Body); err == nil && got.Status < 300 && p.Accepted {
				return true
			}
		}
		if !sleep(ctx, 200*time.Millisecond) {
			return false
		}
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}
