//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	oldPrefix      = "/old/"
	newPrefix      = "/new/"
	idlePrefix     = "/idle/"
	changeToSilent = 100 * time.Millisecond // from the change before to the loss of the connections
	silentToChange = 500 * time.Millisecond // from there to the change that counts
	configApply    = 2 * time.Second        // ConfigApplyMs
	requestMargin  = 50 * time.Millisecond
)

func init() { cases["config"] = playConfig }

// playConfig changes the configuration shortly after all open connections to the store have gone silent. Requests are judged once the
// machines are in touch again and the change has been acknowledged for longer than it may take.
func playConfig(f *fleet, trouble bool) (violations []string, err error) {
	f.publish(2, prefix, oldPrefix)
	time.Sleep(configApply)
	f.publish(3, prefix, oldPrefix, idlePrefix)
	time.Sleep(changeToSilent)
	silent := time.Now()
	if trouble {
		for _, p := range append(append([]*process{}, f.entries...), f.sidecars...) {
			f.rec.add("the open connections of %s to the store go silent: %d", p.name, p.store.silence())
		}
	}
	time.Sleep(silentToChange)
	f.publish(4, prefix, idlePrefix, newPrefix)
	acknowledged := time.Now()
	judged := silent.Add(contactTime)
	if t := acknowledged.Add(configApply); t.After(judged) {
		judged = t
	}
	time.Sleep(time.Until(judged.Add(requestMargin)))
	for i := range f.entries {
		sent := time.Now()
		dropped := jobSpec{id: newID(), steps: []step{{count: 1}}, taskMs: 20, bestEffort: true, prefix: oldPrefix}
		if a := f.post(i, dropped); a.status != http.StatusNotFound || len(f.rec.runsOf(dropped.id)) > 0 {
			violations = append(violations, fmt.Sprintf("CONFIG: a job on a route that was dropped %.2f s ago is answered %d %q by entry %d and has run %d times; the connections went silent %.2f s ago",
				sent.Sub(acknowledged).Seconds(), a.status, a.state, i+1, len(f.rec.runsOf(dropped.id)), sent.Sub(silent).Seconds()))
		}
		sent = time.Now()
		added := jobSpec{id: newID(), steps: []step{{count: 1}}, taskMs: 20, bestEffort: true, prefix: newPrefix}
		if a := f.post(i, added); a.status == http.StatusNotFound {
			violations = append(violations, fmt.Sprintf("CONFIG: a job on a route that was added %.2f s ago is answered 404 by entry %d; the connections went silent %.2f s ago",
				sent.Sub(acknowledged).Seconds(), i+1, sent.Sub(silent).Seconds()))
		}
	}
	return violations, nil
}

func (f *fleet) publish(version int, prefixes ...string) {
	f.store.PublishConfiguration(version, service, prefixes...)
	f.rec.add("the store acknowledges configuration %d with the routes %v", version, prefixes)
}
