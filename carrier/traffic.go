package carrier

import (
	"sync/atomic"

	"github.com/crocuslb/crocuslb/marshaler"
)

// maxKinds is the number of message types, which are a byte.
const messageTypes = 256

type (
	// Traffic counts the messages that a Node's sessions have queued for sending. The zero value is ready to use, and its
	// methods may be called concurrently.
	Traffic struct {
		byType [messageTypes]typeCounters
	}

	// Sent is the traffic of one type of message. Bytes are those of the frames, without the overhead of TCP.
	Sent struct {
		Message  string
		Messages uint64
		Bytes    uint64
	}

	typeCounters struct {
		messages, bytes atomic.Uint64
	}
)

// add counts a frame's content, whose first byte is the type.
func (t *Traffic) add(content []byte, bytes int) {
	k := &t.byType[content[0]]
	k.messages.Add(1)
	k.bytes.Add(uint64(bytes))
}

// Sent returns the types of which messages were sent.
func (t *Traffic) Sent() (all []Sent) {
	for kind := range t.byType {
		if n := t.byType[kind].messages.Load(); n > 0 {
			all = append(all, Sent{marshaler.KindName(byte(kind)), n, t.byType[kind].bytes.Load()})
		}
	}
	return all
}
