package runner

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/crocuslb/crocuslb/consumer"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/platform"
	"github.com/crocuslb/crocuslb/recoverer"
	"github.com/crocuslb/crocuslb/supervisor"
)

const (
	// loadTimeout bounds the attempts to read the descriptor stored by a previous run of the sidecar. The backend server
	// announces itself within about the same time.
	loadTimeout    = 2 * time.Second
	loadRetryDelay = 100 * time.Millisecond
	// storeRetryDelay is the delay before a failed write of a descriptor is retried.
	storeRetryDelay = 500 * time.Millisecond
)

// descriptorStore persists the backend server's descriptor in the store, so that a restarted sidecar does not have to
// wait for the next announcement. A loaded descriptor takes effect only after the backend server has answered a call
// that names its identifier.
type descriptorStore struct {
	logger log.Interface
	store  *platform.Store
	name   string // of the sidecar; key of the record

	queued  bool        // a descriptor was queued; queued and latest are owned by the event loop
	latest  string      // the newest descriptor
	pending chan string // the newest descriptor that is not written yet

	mu        sync.Mutex
	persisted chan struct{} // closed when the newest descriptor is stored; nil before the first one
}

// encodeDescriptor returns an empty string for a draining backend server, which must not be restored after a restart.
func encodeDescriptor(b supervisor.Backend) string {
	if b.Draining || b.ID == "" {
		return ""
	}
	return string(marshaler.Append(nil, &marshaler.Backend{ID: b.ID, StartTime: b.StartTime, Service: b.Service, Labels: b.Labels, Capacity: b.Capacity}))
}

// save queues a changed descriptor for writeLoop. It never blocks.
func (s *descriptorStore) save(b supervisor.Backend) {
	descriptor := encodeDescriptor(b)
	if s.queued && descriptor == s.latest {
		return
	}
	s.queued, s.latest = true, descriptor
	s.mu.Lock()
	defer s.mu.Unlock()
	s.persisted = make(chan struct{})
	select {
	case <-s.pending:
	default:
	}
	s.pending <- descriptor // does not block: the event loop is the only sender and the buffer was just emptied
}

// writeLoop writes queued descriptors to the store until ctx is canceled.
func (s *descriptorStore) writeLoop(ctx context.Context) {
	for {
		var descriptor string
		select {
		case <-ctx.Done():
			return
		case descriptor = <-s.pending:
		}
		record := consumer.Record{Key: s.name}
		if descriptor != "" {
			record.Value = []byte(descriptor)
		}
		for ctx.Err() == nil {
			err := s.store.Append(ctx, platform.TopicBackends, record)
			if err == nil {
				s.markPersisted()
				break
			}
			s.logger.WithError(err).Warn("sidecar: cannot store the backend server's descriptor; retrying")
			select {
			case <-ctx.Done():
			case <-time.After(storeRetryDelay):
			}
			if len(s.pending) > 0 {
				break // superseded by a newer descriptor
			}
		}
	}
}

// markPersisted signals that the newest descriptor is stored, unless a newer one is pending.
func (s *descriptorStore) markPersisted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) > 0 {
		return
	}
	select {
	case <-s.persisted:
	default:
		close(s.persisted)
	}
}

// waitPersisted waits up to maxWait for the newest descriptor to be stored, and reports whether it was.
func (s *descriptorStore) waitPersisted(ctx context.Context, maxWait time.Duration) bool {
	s.mu.Lock()
	persisted := s.persisted
	s.mu.Unlock()
	if persisted == nil {
		return true // no descriptor was queued
	}
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	select {
	case <-persisted:
		return true
	case <-timeout.C:
	case <-ctx.Done():
	}
	return false
}

// decodeRecord returns a panic of the decoder as an error.
func decodeRecord(body []byte) (message marshaler.Message, err error) {
	if panicked := recoverer.Call(func() { message, err = marshaler.Decode(body) }); panicked != nil {
		return nil, panicked
	}
	return message, err
}

// load reads the descriptor stored by a previous run of the sidecar. ok is false if there is none.
func (s *descriptorStore) load(ctx context.Context) (b supervisor.Backend, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	for ctx.Err() == nil {
		page, err := s.store.ReadLatest(ctx, platform.TopicBackends)
		if err != nil {
			s.logger.WithError(err).Warn("sidecar: cannot read the stored descriptor of the backend server")
			time.Sleep(loadRetryDelay)
			continue
		}
		for _, r := range page.Records {
			if r.Key != s.name {
				continue
			}
			message, err := decodeRecord(r.Value)
			descriptor, isBackend := message.(*marshaler.Backend)
			if err != nil || !isBackend {
				s.logger.WithField("record", r.Key).Warn("sidecar: cannot decode the stored descriptor of the backend server")
				return b, false
			}
			return supervisor.Backend{ID: descriptor.ID, StartTime: descriptor.StartTime, Service: descriptor.Service, Labels: descriptor.Labels, Capacity: descriptor.Capacity}, true
		}
		return b, false
	}
	return b, false
}
