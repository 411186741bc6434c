package placer

import "github.com/crocuslb/crocuslb/timer"

// unservableCheck says which queued requests to check for workers that are large enough.
type unservableCheck struct {
	sizesChanged bool // a worker was added, removed or changed
	shrunk       bool // a worker's capacity has become smaller
}

// setUnservable sets whether no worker is large enough for a request that is not queued.
func (p *Placer) setUnservable(r *request) {
	_, fits := p.serves(r)
	r.unservable = !fits
}

// checkUnservable updates which queued requests no worker is large enough for, after the workers have changed. When a worker
// has shrunk, it refuses those that have not started: the caller learns at once that they cannot be served.
func (p *Placer) checkUnservable(now timer.Millis) {
	check := p.unservable
	if !check.sizesChanged || p.queue.length() == 0 {
		p.unservable = unservableCheck{}
		return
	}
	p.unservable = unservableCheck{}
	for _, r := range p.queue.snapshot() {
		_, fits := p.serves(r)
		if !p.queued(r) || r.unservable != fits {
			continue // canceled by a refusal, or unchanged
		}
		r.unservable = !fits
		p.queue.updateWork(r)
		if fits || !check.shrunk || r.started {
			continue
		}
		if a := p.assessWorkers(now, r); a.verdict == refused {
			p.dequeue(r)
			p.reject(now, r, a.reason, a.wait)
		}
	}
}
