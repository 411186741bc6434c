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
	registerRetryDelay = 300 * time.Millisecond
	// keptMarker is the key of the record that says that kept jobs are in use. It is no name of an entry.
	durableJobsKey = "*kept"
)

// directory knows the addresses of the entries, from the store, from settings and from other processes, and keeps a
// connection to each. Its methods may be called concurrently.
type entryDirectory struct {
	logger log.Interface
	store  *platform.Store
	// connect opens a session and keeps it open until ctx ends.
	connect func(ctx context.Context, address string)
	// wanted says whether this process connects to an entry. Sidecars connect to all, entries to those before them, so
	// that two entries have one session.
	shouldConnect func(p marshaler.Peer) bool
	// self is this process as an entry; its Name is empty in a sidecar.
	self marshaler.Peer
	// kept is told whether kept jobs are in use, when that is first read and when it changes; nil in a sidecar.
	onDurableJobs func(inUse bool)

	announcing atomic.Bool

	mu     sync.Mutex
	known  map[string]marshaler.Peer     // by address
	cancel map[string]context.CancelFunc // by address
}

// add connects to entries that are not known yet.
func (d *entryDirectory) addPeers(ctx context.Context, peers []marshaler.Peer) (added bool) {
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
		if d.cancel[p.Address] == nil && d.shouldConnect(p) {
			connectionCtx, cancel := context.WithCancel(ctx)
			d.cancel[p.Address] = cancel
			d.connect(connectionCtx, p.Address)
			d.logger.WithFields(log.Fields{"entry": p.Name, "address": p.Address}).Info("members: entry is known")
		}
	}
	return added
}

// addSeeds connects to addresses on machines that may run an entry.
func (d *entryDirectory) addSeeds(ctx context.Context, addresses []string) {
	var seeds []marshaler.Peer
	for _, address := range addresses {
		seeds = append(seeds, marshaler.Peer{Address: address})
	}
	d.addPeers(ctx, seeds)
}

// list returns the entries with a known name, and this process if it is one.
func (d *entryDirectory) peers() (peers []marshaler.Peer) {
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
func (d *entryDirectory) dropStaleAddresses(name, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for oldAddress, p := range d.known {
		if p.Name == name && oldAddress != address {
			delete(d.known, oldAddress)
			if cancel := d.cancel[oldAddress]; cancel != nil {
				cancel()
				delete(d.cancel, oldAddress)
			}
			d.logger.WithFields(log.Fields{"entry": name, "address": oldAddress}).Info("members: entry has moved")
		}
	}
}

// follow reads the addresses of entries from the store until ctx ends, and keeps this entry's own address there.
func (d *entryDirectory) follow(ctx context.Context, onAdded func()) {
	registrationDue := make(chan struct{}, 1)
	if d.self.Name != "" {
		registrationDue <- struct{}{}
		go d.register(ctx, registrationDue)
	}
	f := &follower.Follower{
		Newest: func(ctx context.Context) (follower.Page, error) { return d.store.Newest(ctx, platform.TopicEntries) },
		Read: func(ctx context.Context, from uint64) (follower.Page, error) {
			return d.store.Read(ctx, platform.TopicEntries, from)
		},
		Apply: func(p follower.Page, complete bool) {
			var peers []marshaler.Peer
			hasOwn, inUse := false, false
			for _, r := range p.Records {
				if r.Key == durableJobsKey {
					inUse = true
					continue
				}
				d.dropStaleAddresses(r.Key, string(r.Value))
				peers = append(peers, marshaler.Peer{Name: r.Key, Address: string(r.Value)})
				hasOwn = hasOwn || r.Key == d.self.Name
			}
			if d.onDurableJobs != nil && (complete || inUse) {
				d.onDurableJobs(inUse)
			}
			if d.self.Name != "" && (complete && !hasOwn || hasOwn && !hasCurrentAddress(p, d.self)) {
				select {
				case registrationDue <- struct{}{}:
				default:
				}
			}
			if d.addPeers(ctx, peers) {
				onAdded()
			}
		},
		Lost:     func(err error) { d.logger.WithError(err).Warn("members: store is lost") },
		Regained: func() { d.logger.Info("members: store is regained") },
	}
	f.Run(ctx)
}

// announceKept writes to the store that kept jobs are in use. It never blocks.
func (d *entryDirectory) announceDurableJobs(ctx context.Context) {
	if !d.announcing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer d.announcing.Store(false)
		err := d.store.Append(ctx, platform.TopicEntries, follower.Record{Key: durableJobsKey, Value: []byte("1")})
		if err != nil {
			d.logger.WithError(err).Warn("members: use of kept jobs is not announced yet")
			return
		}
		d.logger.Info("members: kept jobs are in use from now on")
		d.onDurableJobs(true)
	}()
}

// hasAddress reports whether the newest record of an entry in p has its address.
func hasCurrentAddress(p follower.Page, self marshaler.Peer) (ok bool) {
	for _, r := range p.Records {
		if r.Key == self.Name {
			ok = string(r.Value) == self.Address
		}
	}
	return ok
}

// register writes this entry's address to the store, whenever due receives.
func (d *entryDirectory) register(ctx context.Context, due <-chan struct{}) {
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
			case <-time.After(registerRetryDelay):
			}
		}
	}
}
