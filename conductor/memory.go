package conductor

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/crocuslb/crocuslb/catcher"
	"github.com/crocuslb/crocuslb/follower"
	"github.com/crocuslb/crocuslb/keeper"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/platform"
)

const (
	// recallTime bounds the attempts to read what an earlier life of the sidecar knew. The backend server announces itself
	// within about as long.
	loadTimeout    = 2 * time.Second
	loadRetryDelay = 100 * time.Millisecond
	// rememberPause is the pause before a description is written again after a failure.
	storeRetryDelay = 500 * time.Millisecond
)

// memory keeps a backend server's description in the store, so that a sidecar that starts again need not wait for the next
// announcement. What is recalled is in force only once the backend server has answered a call that names its identifier.
type descriptorStore struct {
	logger log.Interface
	store  *platform.Store
	name   string // of the sidecar

	queued  bool        // a description was given to the writer; owned by the loop, as latest is
	latest  string      // the newest one
	pending chan string // newest description that is not written yet

	mu        sync.Mutex
	persisted chan struct{} // closed when the newest description is stored; nil before the first one
}

// describe encodes a description. It is empty for a backend server that leaves, which must not be recalled.
func encodeDescriptor(b keeper.Backend) string {
	if b.Draining || b.ID == "" {
		return ""
	}
	return string(marshaler.Append(nil, &marshaler.Backend{ID: b.ID, Born: b.Born, Service: b.Service, Labels: b.Labels, Total: b.Total}))
}

// remember hands a changed description to the writer. It never blocks.
func (m *descriptorStore) save(b keeper.Backend) {
	descriptor := encodeDescriptor(b)
	if m.queued && descriptor == m.latest {
		return
	}
	m.queued, m.latest = true, descriptor
	m.mu.Lock()
	defer m.mu.Unlock()
	m.persisted = make(chan struct{})
	select {
	case <-m.pending:
	default:
	}
	m.pending <- descriptor // the loop is the only sender, so there is room
}

// write writes descriptions to the store until ctx ends.
func (m *descriptorStore) writeLoop(ctx context.Context) {
	for {
		var descriptor string
		select {
		case <-ctx.Done():
			return
		case descriptor = <-m.pending:
		}
		record := follower.Record{Key: m.name}
		if descriptor != "" {
			record.Value = []byte(descriptor)
		}
		for ctx.Err() == nil {
			err := m.store.Append(ctx, platform.TopicBackends, record)
			if err == nil {
				m.markPersisted()
				break
			}
			m.logger.WithError(err).Warn("sidecar: description of the backend server is not stored yet")
			select {
			case <-ctx.Done():
			case <-time.After(storeRetryDelay):
			}
			if len(m.pending) > 0 {
				break // a newer one waits
			}
		}
	}
}

// stored notes that a description was written, unless a newer one waits.
func (m *descriptorStore) markPersisted() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.pending) > 0 {
		return
	}
	select {
	case <-m.persisted:
	default:
		close(m.persisted)
	}
}

// awaitStored reports whether the newest description is in the store, and waits for that at most for limit.
func (m *descriptorStore) waitPersisted(ctx context.Context, maxWait time.Duration) bool {
	m.mu.Lock()
	persisted := m.persisted
	m.mu.Unlock()
	if persisted == nil {
		return true // nothing was ever given to the store
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

// decode decodes a record. A panic is an error of the record.
func decodeRecord(body []byte) (message marshaler.Message, err error) {
	if panicked := catcher.Catch(func() { message, err = marshaler.Decode(body) }); panicked != nil {
		return nil, panicked
	}
	return message, err
}

// recall reads the description that an earlier life wrote. ok is false when there is none.
func (m *descriptorStore) load(ctx context.Context) (b keeper.Backend, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	for ctx.Err() == nil {
		page, err := m.store.Newest(ctx, platform.TopicBackends)
		if err != nil {
			m.logger.WithError(err).Warn("sidecar: earlier description of the backend server cannot be read")
			time.Sleep(loadRetryDelay)
			continue
		}
		for _, r := range page.Records {
			if r.Key != m.name {
				continue
			}
			message, err := decodeRecord(r.Value)
			descriptor, isBackend := message.(*marshaler.Backend)
			if err != nil || !isBackend {
				m.logger.WithField("record", r.Key).Warn("sidecar: earlier description of the backend server is unreadable")
				return b, false
			}
			return keeper.Backend{ID: descriptor.ID, Born: descriptor.Born, Service: descriptor.Service, Labels: descriptor.Labels, Total: descriptor.Total}, true
		}
		return b, false
	}
	return b, false
}
