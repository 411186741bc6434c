package runner

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/consumer"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/platform"
)

const (
	// registerRetryDelay is the delay before a failed write of this entry's address is retried.
	registerRetryDelay = 300 * time.Millisecond
	// durableJobsKey is the key of the record that marks durable jobs as in use. It cannot be the name of an entry.
	durableJobsKey = "*kept"
)

// entryDirectory tracks the addresses of the entries, learned from the store, the settings and other processes, and
// connects to them. Its methods may be called concurrently.
type entryDirectory struct {
	logger log.Interface
	store  *platform.Store
	// connect opens a session and keeps it open until ctx is canceled.
	connect func(ctx context.Context, address string)
	// shouldConnect reports whether this process opens the session to an entry. Sidecars connect to all entries. An entry
	// connects only to entries with smaller names, so that two entries share one session.
	shouldConnect func(p marshaler.Peer) bool
	// self describes this entry. It is empty in a sidecar.
	self marshaler.Peer
	// onDurableJobs is called with whether durable jobs are in use, on each complete read of the topic and when the marker
	// appears. It is nil in a sidecar.
	onDurableJobs func(inUse bool)

	announcing atomic.Bool

	mu     sync.Mutex
	known  map[string]marshaler.Peer     // by address
	cancel map[string]context.CancelFunc // by address
}

// addPeers adds entries that are not known yet and connects to them. It reports whether any entry is new or has a new
// name.
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
		if err := checkPeer(p); err != nil {
			d.logger.WithError(err).WithField("entry", p.Name).Warn("members: skipped an entry without a valid address")
			continue
		}
		d.known[p.Address] = p
		added = true
		if d.cancel[p.Address] == nil && d.shouldConnect(p) {
			connectionCtx, cancel := context.WithCancel(ctx)
			d.cancel[p.Address] = cancel
			d.connect(connectionCtx, p.Address)
			d.logger.WithFields(log.Fields{"entry": p.Name, "address": p.Address}).Info("members: added an entry")
		}
	}
	return added
}

// addSeeds connects to addresses at which an entry may be running.
func (d *entryDirectory) addSeeds(ctx context.Context, addresses []string) {
	var seeds []marshaler.Peer
	for _, address := range addresses {
		seeds = append(seeds, marshaler.Peer{Address: address})
	}
	d.addPeers(ctx, seeds)
}

// peers returns the entries whose names are known, including this process if it is an entry.
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

// dropStaleAddresses removes former addresses of an entry and closes their connections.
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
			d.logger.WithFields(log.Fields{"entry": name, "address": oldAddress}).Info("members: removed a former address of an entry")
		}
	}
}

// follow reads the entries' addresses from the store until ctx is canceled, and keeps this entry registered there. It
// calls onAdded after it has added entries.
func (d *entryDirectory) follow(ctx context.Context, onAdded func()) {
	registrationDue := make(chan struct{}, 1)
	if d.self.Name != "" {
		registrationDue <- struct{}{}
		go d.register(ctx, registrationDue)
	}
	d.store.OnSkipped = func(err error) { d.logger.WithError(err).Warn("members: skipped a record") }
	f := &consumer.Consumer{
		Newest: func(ctx context.Context) (consumer.Page, error) {
			return d.store.ReadLatest(ctx, platform.TopicEntries)
		},
		Read: func(ctx context.Context, from uint64) (consumer.Page, error) {
			return d.store.Read(ctx, platform.TopicEntries, from)
		},
		Apply: func(p consumer.Page, complete bool) {
			var peers []marshaler.Peer
			hasOwn, inUse := false, false
			for _, r := range p.Records {
				if r.Key == durableJobsKey {
					inUse = true
					continue
				}
				hasOwn = hasOwn || r.Key == d.self.Name
				p := marshaler.Peer{Name: r.Key, Address: string(r.Value)}
				peers = append(peers, p)
				if r.Value == nil || checkPeer(p) == nil {
					d.dropStaleAddresses(p.Name, p.Address)
				}
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
		OnUnavailable: func(err error) { d.logger.WithError(err).Warn("members: store unavailable") },
		OnAvailable:   func() { d.logger.Info("members: store available again") },
		OnPanic:       func(err error) { d.logger.WithError(err).Error("members: panic while handling records") },
	}
	f.Run(ctx)
}

// hasDurableJobs reports whether the store has the marker of durable jobs now. The read does not wait for a change, so it also ends
// soon if the connection on which follow waits has gone silent.
func (d *entryDirectory) hasDurableJobs(ctx context.Context) (bool, error) {
	page, err := d.store.ReadLatest(ctx, platform.TopicEntries)
	if err != nil {
		return false, trace.Wrap(err)
	}
	return slices.ContainsFunc(page.Records, func(r consumer.Record) bool { return r.Key == durableJobsKey }), nil
}

// announceDurableJobs records in the store that durable jobs are in use. It never blocks.
func (d *entryDirectory) announceDurableJobs(ctx context.Context) {
	if !d.announcing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer d.announcing.Store(false)
		err := d.store.Append(ctx, platform.TopicEntries, consumer.Record{Key: durableJobsKey, Value: []byte("1")})
		if err != nil {
			d.logger.WithError(err).Warn("members: cannot record that durable jobs are in use")
			return
		}
		d.logger.Info("members: durable jobs are in use")
		d.onDurableJobs(true)
	}()
}

// hasCurrentAddress reports whether the newest record of an entry in p contains its current address.
func hasCurrentAddress(p consumer.Page, self marshaler.Peer) (ok bool) {
	for _, r := range p.Records {
		if r.Key == self.Name {
			ok = string(r.Value) == self.Address
		}
	}
	return ok
}

// register writes this entry's address to the store each time it receives from due.
func (d *entryDirectory) register(ctx context.Context, due <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-due:
		}
		for ctx.Err() == nil {
			err := d.store.Append(ctx, platform.TopicEntries, consumer.Record{Key: d.self.Name, Value: []byte(d.self.Address)})
			if err == nil {
				d.logger.WithField("address", d.self.Address).Info("members: registered this entry")
				break
			}
			d.logger.WithError(err).Warn("members: cannot register this entry; retrying")
			select {
			case <-ctx.Done():
			case <-time.After(registerRetryDelay):
			}
		}
	}
}
