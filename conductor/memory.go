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
	recallTime  = 2 * time.Second
	recallPause = 100 * time.Millisecond
	// rememberPause is the pause before a description is written again after a failure.
	rememberPause = 500 * time.Millisecond
)

// memory keeps a backend server's description in the store, so that a sidecar that starts again need not wait for the next
// announcement. What is recalled is in force only once the backend server has answered a call that names its identifier.
type memory struct {
	logger log.Interface
	store  *platform.Store
	name   string // of the sidecar

	given   bool        // a description was given to the writer; owned by the loop, as latest is
	latest  string      // the newest one
	pending chan string // newest description that is not written yet

	mu       sync.Mutex
	unstored chan struct{} // closed when the newest description is stored; nil before the first one
}

// describe encodes a description. It is empty for a backend server that leaves, which must not be recalled.
func describe(b keeper.Backend) string {
	if b.Draining || b.ID == "" {
		return ""
	}
	return string(marshaler.Append(nil, &marshaler.Backend{ID: b.ID, Born: b.Born, Service: b.Service, Labels: b.Labels, Total: b.Total}))
}

// remember hands a changed description to the writer. It never blocks.
func (m *memory) remember(b keeper.Backend) {
	text := describe(b)
	if m.given && text == m.latest {
		return
	}
	m.given, m.latest = true, text
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unstored = make(chan struct{})
	select {
	case <-m.pending:
	default:
	}
	m.pending <- text // the loop is the only sender, so there is room
}

// write writes descriptions to the store until ctx ends.
func (m *memory) write(ctx context.Context) {
	for {
		var text string
		select {
		case <-ctx.Done():
			return
		case text = <-m.pending:
		}
		r := follower.Record{Key: m.name}
		if text != "" {
			r.Value = []byte(text)
		}
		for ctx.Err() == nil {
			err := m.store.Append(ctx, platform.TopicBackends, r)
			if err == nil {
				m.stored()
				break
			}
			m.logger.WithError(err).Warn("sidecar: description of the backend server is not stored yet")
			select {
			case <-ctx.Done():
			case <-time.After(rememberPause):
			}
			if len(m.pending) > 0 {
				break // a newer one waits
			}
		}
	}
}

// stored notes that a description was written, unless a newer one waits.
func (m *memory) stored() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.pending) > 0 {
		return
	}
	select {
	case <-m.unstored:
	default:
		close(m.unstored)
	}
}

// awaitStored reports whether the newest description is in the store, and waits for that at most for limit.
func (m *memory) awaitStored(ctx context.Context, limit time.Duration) bool {
	m.mu.Lock()
	unstored := m.unstored
	m.mu.Unlock()
	if unstored == nil {
		return true // nothing was ever given to the store
	}
	enough := time.NewTimer(limit)
	defer enough.Stop()
	select {
	case <-unstored:
		return true
	case <-enough.C:
	case <-ctx.Done():
	}
	return false
}

// decode decodes a record. A panic is an error of the record.
func decode(body []byte) (m marshaler.Message, err error) {
	if panicked := catcher.Catch(func() { m, err = marshaler.Decode(body) }); panicked != nil {
		return nil, panicked
	}
	return m, err
}

// recall reads the description that an earlier life wrote. ok is false when there is none.
func (m *memory) recall(ctx context.Context) (b keeper.Backend, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, recallTime)
	defer cancel()
	for ctx.Err() == nil {
		page, err := m.store.Newest(ctx, platform.TopicBackends)
		if err != nil {
			m.logger.WithError(err).Warn("sidecar: earlier description of the backend server cannot be read")
			time.Sleep(recallPause)
			continue
		}
		for _, r := range page.Records {
			if r.Key != m.name {
				continue
			}
			message, err := decode(r.Value)
			d, isBackend := message.(*marshaler.Backend)
			if err != nil || !isBackend {
				m.logger.WithField("record", r.Key).Warn("sidecar: earlier description of the backend server is unreadable")
				return b, false
			}
			return keeper.Backend{ID: d.ID, Born: d.Born, Service: d.Service, Labels: d.Labels, Total: d.Total}, true
		}
		return b, false
	}
	return b, false
}
