// Package appender is a client for the platform's append-only log, over HTTP and JSON. It never reports an append as
// failed when the append may have taken effect.
package appender

import (
	"crypto/rand"
	"encoding/hex"
	"sync"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	// MaxBodyLen is the maximum size of a record body in bytes.
	MaxBodyLen = 1 << 20
	// MaxIDLen is the maximum length of a record identifier in bytes.
	MaxIDLen = 64
	// MaxReadRecords is the maximum number of records that one read can request.
	MaxReadRecords = 1000

	defaultTimeout = 3 * timer.Second
	// maxResponseLen is the maximum size of a response in bytes. Base64 makes record bodies a third larger.
	maxResponseLen = 16 << 20
	// maxUnresolved bounds the number of appends of unknown outcome that are tracked; the oldest are dropped first.
	maxUnresolved = 1024
)

type (
	// Record is one record of a stream.
	Record struct {
		Offset uint64
		ID     string
		Body   []byte
	}

	// Page is the result of a read. First is the offset of the first retained record, Next the head of the stream, which
	// is the offset that the next appended record will get.
	Page struct {
		First, Next uint64
		Records     []Record
	}

	// streamState is what a Client knows about the streams and its unresolved appends.
	streamState struct {
		mu              sync.Mutex
		heads           map[string]uint64    // highest known head by stream
		unresolved      map[appendKey]uint64 // head before the first attempt, by append of unknown outcome
		unresolvedOrder []appendKey          // keys of unresolved, oldest first
	}

	appendKey struct{ stream, id string }
)

// NewID returns a random record identifier of 32 hexadecimal digits.
func NewID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails, as documented by crypto/rand
	return hex.EncodeToString(b[:])
}

// knownHead returns the highest known head of the stream; ok is false if none is known.
func (f *streamState) knownHead(stream string) (next uint64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next, ok = f.heads[stream]
	return next, ok
}

// advanceHead records that the head of the stream is at least next.
func (f *streamState) advanceHead(stream string, next uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.heads == nil {
		f.heads = map[string]uint64{}
	}
	if old, ok := f.heads[stream]; !ok || next > old {
		f.heads[stream] = next
	}
}

// searchStart returns the head known before the first attempt of an append of unknown outcome; the record cannot have a
// lower offset.
func (f *streamState) searchStart(k appendKey) (offset uint64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	offset, ok = f.unresolved[k]
	return offset, ok
}

// addUnresolved records that the outcome of the append is unknown. The searchStart of an earlier attempt is kept.
func (f *streamState) addUnresolved(k appendKey, searchStart uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.unresolved[k]; ok {
		return
	}
	if f.unresolved == nil {
		f.unresolved = map[appendKey]uint64{}
	}
	if len(f.unresolvedOrder) >= maxUnresolved {
		delete(f.unresolved, f.unresolvedOrder[0])
		f.unresolvedOrder = f.unresolvedOrder[1:]
	}
	f.unresolved[k] = searchStart
	f.unresolvedOrder = append(f.unresolvedOrder, k)
}

// removeUnresolved drops an append whose outcome is known.
func (f *streamState) removeUnresolved(k appendKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.unresolved[k]; !ok {
		return
	}
	delete(f.unresolved, k)
	for i := range f.unresolvedOrder {
		if f.unresolvedOrder[i] == k {
			f.unresolvedOrder = append(f.unresolvedOrder[:i:i], f.unresolvedOrder[i+1:]...)
			return
		}
	}
}
