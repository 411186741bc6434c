package connector

import (
	"sync/atomic"

	"github.com/crocuslb/crocuslb/marshaler"
)

// messageTypes is the number of message types, which are encoded as a byte.
const messageTypes = 256

type (
	// Traffic counts the messages that the sessions of a Node have queued, by type. The zero value is ready to use, and its
	// methods may be called concurrently.
	Traffic struct {
		byType [messageTypes]typeCounters
	}

	// TypeStats is the number of messages of one type and of the bytes in their frames, without TCP overhead.
	TypeStats struct {
		Type     string
		Messages uint64
		Bytes    uint64
	}

	typeCounters struct {
		messages, bytes atomic.Uint64
	}
)

// add counts a message. The first byte of its encoding is the type; bytes is the size of its frame.
func (t *Traffic) add(encoded []byte, bytes int) {
	k := &t.byType[encoded[0]]
	k.messages.Add(1)
	k.bytes.Add(uint64(bytes))
}

// Stats returns the counters of all types of which messages were sent, ordered by type.
func (t *Traffic) Stats() (all []TypeStats) {
	for kind := range t.byType {
		if n := t.byType[kind].messages.Load(); n > 0 {
			all = append(all, TypeStats{marshaler.KindName(byte(kind)), n, t.byType[kind].bytes.Load()})
		}
	}
	return all
}
