package encoder

import (
	"fmt"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"
)

const (
	// MaxFrame is the largest encoded message in bytes.
	MaxFrame = 4 << 20
	// MaxKey is the longest submission key in bytes.
	MaxKey = 200
	// MaxName is the longest name of a process, worker, failure domain, team or kind, and the longest address.
	MaxName = 255
	// MaxReason is the longest reason in bytes. Append truncates longer ones.
	MaxReason = 2048
	// MaxTasks is the largest number of tasks in a job, an answer, a Cancel or a Collected. Jobs of 880 tasks are
	// required.
	MaxTasks = 1024
	// MaxKinds is the largest number of task kinds of a sidecar.
	MaxKinds = 256
	// MaxDomains is the largest number of failure domains in a message.
	MaxDomains = 256
	// MaxRoster is the largest number of entries in a roster.
	MaxRoster = 256
	// MaxSidecars is the largest number of sidecars in a message. 1,700 are required.
	MaxSidecars = 8192
	// MaxRows is the largest number of started tasks or submission keys in one part of a reply. Senders split longer
	// lists, and lists whose encoding exceeds MaxFrame.
	MaxRows = 16384
)

// Numbers of the message types on the wire. They are never reused for another type.
const (
	kindHello = iota + 1
	kindHelloAck
	kindPing
	kindPong
	kindStart
	kindClaimed
	kindResult
	kindRefusal
	kindGrant
	kindRecall
	kindRelease
	kindDemand
	kindCancel
	kindCollected
	kindCensus
	kindCensusReply
	kindLeaving
	kindPeerPing
	kindPeerPong
	kindForward
	kindForwardAnswer
	kindWitness
	kindPeerCensus
	kindPeerCensusReply
	kindHandover
	kindPeerConfiguration
)

// Append appends the encoding of m to dst. It panics when m is not a pointer to a message type of this package. It does
// not check the limits of this package except MaxReason; Decode refuses messages that exceed them.
func Append(dst []byte, m Message) []byte {
	switch m := m.(type) {
	case *Hello:
		return appendHello(append(dst, kindHello), m)
	case *HelloAck:
		b := appendMember(append(dst, kindHelloAck), 1, &m.Member)
		return appendRoster(b, 2, &m.Roster)
	case *Ping:
		b := appendUint(append(dst, kindPing), 1, m.Sequence)
		b = appendUint(b, 2, uint64(m.Running))
		b = appendBool(b, 3, m.Leaving)
		return appendUint(b, 4, m.Epoch)
	case *Pong:
		return appendPong(append(dst, kindPong), m)
	case *Start:
		return appendStart(append(dst, kindStart), m)
	case *Claimed:
		return appendString(append(dst, kindClaimed), 1, m.Job)
	case *Result:
		return appendResult(append(dst, kindResult), m)
	case *Refusal:
		return appendRefusal(append(dst, kindRefusal), m)
	case *Grant:
		return appendUint(append(dst, kindGrant), 1, uint64(m.Credits))
	case *Recall:
		return appendUint(append(dst, kindRecall), 1, uint64(m.Credits))
	case *Release:
		return appendUint(append(dst, kindRelease), 1, uint64(m.Credits))
	case *Demand:
		return appendUint(append(dst, kindDemand), 1, uint64(m.Queued))
	case *Cancel:
		return appendTasks(append(dst, kindCancel), 1, m.Tasks)
	case *Collected:
		return appendTasks(append(dst, kindCollected), 1, m.Tasks)
	case *Census:
		return appendRoster(append(dst, kindCensus), 1, &m.Roster)
	case *CensusReply:
		b := appendUint(append(dst, kindCensusReply), 1, m.Epoch)
		b = appendStarted(b, 2, m.Started)
		return appendBool(b, 3, m.Last)
	case *Leaving:
		return append(dst, kindLeaving)
	}
	return appendPeer(dst, m)
}

// appendPeer appends the messages between entries.
func appendPeer(dst []byte, m Message) []byte {
	switch m := m.(type) {
	case *PeerPing:
		return appendPeerPing(append(dst, kindPeerPing), m)
	case *PeerPong:
		b := appendUint(append(dst, kindPeerPong), 1, m.Sequence)
		b, at := begin(b, 2)
		return end(appendPeerPing(b, &m.State), at)
	case *Forward:
		b := appendUint(append(dst, kindForward), 1, m.ID)
		b = appendUint(b, 2, uint64(m.Request))
		b = appendUint(b, 3, uint64(m.Hops))
		return appendJob(b, 4, &m.Job)
	case *ForwardAnswer:
		b := appendUint(append(dst, kindForwardAnswer), 1, m.ID)
		b = appendAnswer(b, 2, &m.Answer)
		b = appendUint(b, 3, uint64(m.First))
		return appendUint(b, 4, uint64(m.Total))
	case *Witness:
		return appendStrings(append(dst, kindWitness), 1, m.Jobs)
	case *PeerCensus:
		return appendRoster(append(dst, kindPeerCensus), 1, &m.Roster)
	case *PeerCensusReply:
		b := appendUint(append(dst, kindPeerCensusReply), 1, m.Epoch)
		b = appendKnown(b, m)
		return appendBool(b, 4, m.Last)
	case *PeerConfiguration:
		return appendBytes(append(dst, kindPeerConfiguration), 1, m.Checkpoint)
	case *Handover:
		b := appendJob(append(dst, kindHandover), 1, &m.Job)
		b = appendStarted(b, 2, m.Started)
		b = appendAnswer(b, 3, &m.Answer)
		return appendBool(b, 4, m.Certain)
	}
	panic(fmt.Sprintf("encoder: unknown message type %T", m))
}

// Decode decodes one message. The frame is not retained. Unknown fields are skipped, and empty lists and byte strings
// decode as nil. The error names the message and the field; it satisfies trace.IsNotImplemented when the message type is
// unknown, which may be one of a newer version.
func Decode(frame []byte) (Message, error) {
	if len(frame) > MaxFrame {
		return nil, trace.LimitExceeded("frame of %d bytes exceeds %d", len(frame), MaxFrame)
	}
	kind, size := protowire.ConsumeVarint(frame)
	if size < 0 {
		return nil, trace.BadParameter("frame of %d bytes has no message type", len(frame))
	}
	r := reader{rest: frame[size:]}
	m := r.decode(kind)
	if m == nil {
		return nil, trace.NotImplemented("unknown message type %d", kind)
	}
	if r.err != nil {
		return nil, r.err
	}
	return m, nil
}
