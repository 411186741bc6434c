package placer

// unservableCheck says which queued requests to check for workers that are large enough.
type unservableCheck struct {
	sizesChanged bool // a worker was added, removed or changed
}

// setUnservable sets whether no worker is large enough for a request that is not queued.
func (p *Placer) setUnservable(r *request) {
	_, fits := p.serves(r)
	r.unservable = !fits
}

// checkUnservable updates which queued requests no worker is large enough for, after the workers have changed.
func (p *Placer) checkUnservable() {
	if !p.unservable.sizesChanged {
		return
	}
	p.unservable = unservableCheck{}
	for _, r := range p.queue.snapshot() {
		_, fits := p.serves(r)
		if r.unservable == fits {
			r.unservable = !fits
			p.queue.updateWork(r)
		}
	}
}
