package conductor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/crocuslb/crocuslb/follower"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/platform"
)

const (
	// registerPause is the pause before the address of an entry is written to the store again after a failure.
	registerPause = 300 * time.Millisecond
	// keptMarker is the key of the record that says that kept jobs are in use. It is no name of an entry.
	keptMarker = "*kept"
)

// directory knows the addresses of the entries, from the store, from settings and from other processes, and keeps a
// connection to each. Its methods may be called concurrently.
type directory struct {
	logger log.Interface
	store  *platform.Store
	// connect opens a session and keeps it open until ctx ends.
	connect func(ctx context.Context, address string)
	// wanted says whether this process connects to an entry. Sidecars connect to all, entries to those before them, so
	// that two entries have one session.
	wanted func(p marshaler.Peer) bool
	// self is this process as an entry; its Name is empty in a sidecar.
	self marshaler.Peer
	// kept is told whether kept jobs are in use, when that is first read and when it changes; nil in a sidecar.
	kept func(inUse bool)

	announcing atomic.Bool

	mu     sync.Mutex
	known  map[string]marshaler.Peer     // by address
	cancel map[string]context.CancelFunc // by address
}

// add connects to entries that are not known yet.
func (d *directory) add(ctx context.Context, peers []marshaler.Peer) (added bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.known == nil {
		d.known, d.cancel = map[string]marshaler.Peer{}, map[string]context.CancelFunc{}
	}
	for _, p := range peers {
		old, ok := d.known[p.Address]
		if p.Address == "" || p.Address == d.self.Address || ok && (old.Name == p.Name || p.Name == "") {
			continue
		}
		d.known[p.Address] = p
		added = true
		if d.cancel[p.Address] == nil && d.wanted(p) {
			connection, cancel := context.WithCancel(ctx)
			d.cancel[p.Address] = cancel
			d.connect(connection, p.Address)
			d.logger.WithFields(log.Fields{"entry": p.Name, "address": p.Address}).Info("members: entry is known")
		}
	}
	return added
}

// addSeeds connects to addresses on machines that may run an entry.
func (d *directory) addSeeds(ctx context.Context, addresses []string) {
	var seeds []marshaler.Peer
	for _, address := range addresses {
		seeds = append(seeds, marshaler.Peer{Address: address})
	}
	d.add(ctx, seeds)
}

// list returns the entries with a known name, and this process if it is one.
func (d *directory) list() (peers []marshaler.Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.known {
		if p.Name != "" {
			peers = append(peers, p)
		}
	}
	if d.self.Name != "" {
		peers = append(peers, d.self)
	}
	return peers
}

// keep drops the connection to an entry whose key has another address by now.
func (d *directory) keep(name, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for at, p := range d.known {
		if p.Name == name && at != address {
			delete(d.known, at)
			if cancel := d.cancel[at]; cancel != nil {
				cancel()
				delete(d.cancel, at)
			}
			d.logger.WithFields(log.Fields{"entry": name, "address": at}).Info("members: entry has moved")
		}
	}
}

// follow reads the addresses of entries from the store until ctx ends, and keeps this entry's own address there.
func (d *directory) follow(ctx context.Context, found func()) {
	registered := make(chan struct{}, 1)
	if d.self.Name != "" {
		registered <- struct{}{}
		go d.register(ctx, registered)
	}
	f := &follower.Follower{
		Newest: func(ctx context.Context) (follower.Page, error) { return d.store.Newest(ctx, platform.TopicEntries) },
		Read: func(ctx context.Context, from uint64) (follower.Page, error) {
			return d.store.Read(ctx, platform.TopicEntries, from)
		},
		Apply: func(p follower.Page, whole bool) {
			var peers []marshaler.Peer
			own, inUse := false, false
			for _, r := range p.Records {
				if r.Key == keptMarker {
					inUse = true
					continue
				}
				d.keep(r.Key, string(r.Value))
				peers = append(peers, marshaler.Peer{Name: r.Key, Address: string(r.Value)})
				own = own || r.Key == d.self.Name
			}
			if d.kept != nil && (whole || inUse) {
				d.kept(inUse)
			}
			if d.self.Name != "" && (whole && !own || own && !hasAddress(p, d.self)) {
				select {
				case registered <- struct{}{}:
				default:
				}
			}
			if d.add(ctx, peers) {
				found()
			}
		},
		Lost:     func(err error) { d.logger.WithError(err).Warn("members: store is lost") },
		Regained: func() { d.logger.Info("members: store is regained") },
	}
	f.Run(ctx)
}

// announceKept writes to the store that kept jobs are in use. It never blocks.
func (d *directory) announceKept(ctx context.Context) {
	if !d.announcing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer d.announcing.Store(false)
		err := d.store.Append(ctx, platform.TopicEntries, follower.Record{Key: keptMarker, Value: []byte("1")})
		if err != nil {
			d.logger.WithError(err).Warn("members: use of kept jobs is not announced yet")
			return
		}
		d.logger.Info("members: kept jobs are in use from now on")
		d.kept(true)
	}()
}

// hasAddress reports whether the newest record of an entry in p has its address.
func hasAddress(p follower.Page, self marshaler.Peer) (ok bool) {
	for _, r := range p.Records {
		if r.Key == self.Name {
			ok = string(r.Value) == self.Address
		}
	}
	return ok
}

// register writes this entry's address to the store, whenever due receives.
func (d *directory) register(ctx context.Context, due <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-due:
		}
		for ctx.Err() == nil {
			err := d.store.Append(ctx, platform.TopicEntries, follower.Record{Key: d.self.Name, Value: []byte(d.self.Address)})
			if err == nil {
				d.logger.WithField("address", d.self.Address).Info("members: this entry is registered")
				break
			}
			d.logger.WithError(err).Warn("members: this entry is not registered yet")
			select {
			case <-ctx.Done():
			case <-time.After(registerPause):
			}
		}
	}
}
