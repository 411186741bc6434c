package injector

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/crocuslb/crocuslb/launcher"
	"github.com/crocuslb/crocuslb/server"
)

const (
	killEntry        = "entry killed"
	pauseEntry       = "entry paused"
	stopEntry        = "entry stopped"
	killSidecar      = "sidecar killed"
	pauseSidecar     = "sidecar paused"
	stopSidecar      = "sidecar stopped"
	killBackend      = "backend server killed"
	logOutage        = "log outage"
	logSlow          = "log slow"
	logDropResponses = "log answers lost"
	withdraw         = "domain withdrawn"
)

// faultNames lists the faults. A schedule selects from them with equal probability.
var faultNames = []string{
	killEntry, pauseEntry, stopEntry, killSidecar, pauseSidecar, stopSidecar, killBackend, logOutage, logSlow,
	logDropResponses, withdraw,
}

// withdrawal is the period between the acceptance of a withdrawal and the request to return the domain. Times are wall
// clock in ms.
type withdrawal struct {
	domain     string
	acceptedAt int64
	returnedAt int64
}

// injectFaults injects faults until ctx is canceled. Faults may overlap: each runs in its own goroutine.
func (u *run) injectFaults(ctx context.Context, r *rand.Rand) {
	for {
		wait := time.Duration(float64(u.plan.FaultInterval.Duration()) * (0.3 + 1.4*r.Float64()))
		if !sleep(ctx, wait) {
			return
		}
		names := u.plan.Faults
		if len(names) == 0 {
			names = faultNames
		}
		name := names[r.IntN(len(names))]
		target, duration := r.IntN(1<<20), time.Duration(300+r.IntN(3700))*time.Millisecond
		u.mu.Lock()
		u.report.Faults[name]++
		u.mu.Unlock()
		u.faultGroup.Add(1)
		go func() {
			defer u.faultGroup.Done()
			u.inject(ctx, name, target, duration)
		}()
	}
}

func (u *run) inject(ctx context.Context, name string, target int, duration time.Duration) {
	f := u.fleet
	entry, backend := target%f.Entries, target%f.Backends
	switch name {
	case killEntry:
		u.restart(ctx, launcher.EntryName(entry), duration, (*launcher.Process).Kill, func() error { return f.StartEntry(entry) })
	case stopEntry:
		u.recordStop(entry)
		u.restart(ctx, launcher.EntryName(entry), duration, (*launcher.Process).Stop, func() error { return f.StartEntry(entry) })
	case pauseEntry:
		u.pause(ctx, launcher.EntryName(entry), duration)
	case killSidecar:
		u.restart(ctx, launcher.SidecarName(backend), duration, (*launcher.Process).Kill, func() error { return f.StartSidecar(backend) })
	case stopSidecar:
		u.restart(ctx, launcher.SidecarName(backend), duration, (*launcher.Process).Stop, func() error { return f.StartSidecar(backend) })
	case pauseSidecar:
		u.pause(ctx, launcher.SidecarName(backend), duration)
	case killBackend:
		u.restart(ctx, launcher.BackendName(backend), duration, (*launcher.Process).Kill, func() error { return f.StartBackend(backend) })
	case logOutage:
		u.injectLogFault(ctx, `{"outage":true}`, duration, `{"outage":false}`)
	case logSlow:
		u.injectLogFault(ctx, `{"appendDelayMs":200,"readDelayMs":50}`, duration, `{"appendDelayMs":4,"readDelayMs":0}`)
	case logDropResponses:
		u.injectLogFault(ctx, `{"loseNext":3}`, 0, "")
	case withdraw:
		u.withdraw(ctx, f.Domain(backend), entry, duration)
	}
}

// restart terminates a process and starts it again after the downtime. Only one fault at a time may claim a process.
func (u *run) restart(ctx context.Context, name string, downtime time.Duration, terminate func(*launcher.Process),
	start func() error,
) {
	if !u.claim(name) {
		return
	}
	defer u.release(name)
	p := u.fleet.Process(name)
	terminate(p)
	if _, err := p.Wait(ctx); err != nil || !sleep(ctx, downtime) {
		return
	}
	if err := start(); err != nil {
		u.addDetail("%s did not restart: %v", name, err)
	}
}

func (u *run) pause(ctx context.Context, name string, duration time.Duration) {
	if !u.claim(name) {
		return
	}
	defer u.release(name)
	p := u.fleet.Process(name)
	p.Pause()
	sleep(ctx, duration)
	p.Resume()
}

func (u *run) injectLogFault(ctx context.Context, faultSettings string, duration time.Duration, normalSettings string) {
	if !u.claim("log") {
		return
	}
	defer u.release("log")
	if err := u.fleet.ControlLog(faultSettings); err != nil {
		u.addDetail("log control request failed: %v", err)
	}
	if normalSettings == "" {
		return
	}
	sleep(ctx, duration)
	if err := u.fleet.ControlLog(normalSettings); err != nil {
		u.addDetail("log control request failed: %v", err)
	}
}

// withdraw withdraws a domain through an entry, and returns it after a while. The return is retried until it is
// accepted.
func (u *run) withdraw(ctx context.Context, domain string, entry int, duration time.Duration) {
	if !u.claim("domains") {
		return
	}
	defer u.release("domains")
	if !u.publishToAny(ctx, entry, func(c server.Client) (server.Response, error) {
		return c.Withdraw(ctx, domain, "injector")
	}, 5) {
		return
	}
	w := withdrawal{domain: domain, acceptedAt: time.Now().UnixMilli()}
	sleep(ctx, 4*time.Second+duration)
	w.returnedAt = time.Now().UnixMilli()
	u.mu.Lock()
	u.report.Withdrawals++
	u.withdrawals = append(u.withdrawals, w)
	u.mu.Unlock()
	u.publishToAny(ctx, entry, func(c server.Client) (server.Response, error) {
		return c.Return(ctx, domain, "injector")
	}, 100)
}

// publishToAny calls the entries in turn until one accepts the publication.
func (u *run) publishToAny(ctx context.Context, entry int, publish func(server.Client) (server.Response, error),
	attempts int,
) bool {
	for i := range attempts {
		got, err := publish(server.Client{URL: u.fleet.EntryURL((entry + i) % u.fleet.Entries), Token: launcher.OperatorToken, HTTP: u.http})
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
