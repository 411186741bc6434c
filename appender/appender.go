// Package appender is the client of the platform's log: append, read, head and tail, over HTTP and JSON. It never
// reports an append as failed when the append may have taken effect.
package appender

import (
	"crypto/rand"
	"encoding/hex"
	"sync"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	// MaxBody is the largest record body in bytes.
	MaxBody = 1 << 20
	// MaxID is the longest record identifier in bytes.
	MaxIDLen = 64
	// MaxLimit is the largest number of records that one read may ask for.
	MaxReadRecords = 1000

	defaultTimeout = 3 * timer.Second
	// maxPage bounds a response of the log. Bodies travel in base64, which adds a third.
	maxResponseLen = 16 << 20
	// maxUnresolved bounds the memory for appends of unknown outcome; the oldest are forgotten first.
	maxUnresolved = 1024
)

type (
	// Record is one record of a stream.
	Record struct {
		Offset uint64
		ID     string
		Body   []byte
	}

	// Page is the result of a read. First is the offset of the first retained record, Next the offset that the next
	// record appended to the stream will get.
	Page struct {
		First, Next uint64
		Records     []Record
	}

	// floors holds what a Client knows about its streams.
	appendState struct {
		mu              sync.Mutex
		heads           map[string]uint64    // per stream, the highest head seen
		unresolved      map[appendKey]uint64 // per append of unknown outcome, the head known before its first attempt
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

// head returns the highest known head of the stream; ok is false when none is known.
func (f *appendState) knownHead(stream string) (next uint64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next, ok = f.heads[stream]
	return next, ok
}

// saw records that the stream's head is at least next.
func (f *appendState) advanceHead(stream string, next uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.heads == nil {
		f.heads = map[string]uint64{}
	}
	if old, ok := f.heads[stream]; !ok || next > old {
		f.heads[stream] = next
	}
}

// floorOf returns the head known before the first attempt of an append of unknown outcome.
func (f *appendState) searchStart(k appendKey) (offset uint64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	offset, ok = f.unresolved[k]
	return offset, ok
}

// remember notes that the outcome of the append is unknown. The floor of an earlier attempt is kept.
func (f *appendState) addUnresolved(k appendKey, searchStart uint64) {
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

// forget drops a resolved append.
func (f *appendState) removeUnresolved(k appendKey) {
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
