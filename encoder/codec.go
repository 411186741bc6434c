package encoder

import (
	"fmt"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"
)

const (
	// MaxFrameSize is the largest encoded message in bytes.
	MaxFrameSize = 4 << 20
	// MaxKeyLen is the longest submission key in bytes.
	MaxKeyLen = 200
	// MaxNameLen is the longest name of a process, worker, failure domain, team or kind, and the longest address.
	MaxNameLen = 255
	// MaxReasonLen is the longest failure or refusal reason in bytes. Append truncates longer ones.
	MaxReasonLen = 2048
	// MaxTasks is the largest number of tasks in a job, an answer, a Cancel or a Collected. Jobs of up to 880 tasks must
	// be supported.
	MaxTasks = 1024
	// MaxKinds is the largest number of task kinds of a sidecar.
	MaxKinds = 256
	// MaxDomains is the largest number of failure domains in a message.
	MaxDomains = 256
	// MaxRosterEntries is the largest number of entries in a roster.
	MaxRosterEntries = 256
	// MaxSidecars is the largest number of sidecars in a message. At least 1,700 must be supported.
	MaxSidecars = 8192
	// MaxRowsPerPart is the largest number of started tasks or submission keys in one part of a reply. Senders split lists that
	// are longer or whose encoding exceeds MaxFrameSize.
	MaxRowsPerPart = 16384
)

// Numbers of the message types on the wire. A number is never reused for another type.
const (
	typeHello = iota + 1
	typeHelloAck
	typePing
	typePong
	typeStart
	typeClaimed
	typeResult
	typeRefusal
	typeGrant
	typeRecall
	typeRelease
	typeDemand
	typeCancel
	typeCollected
	typeCensus
	typeCensusReply
	typeLeaving
	typePeerPing
	typePeerPong
	typeForward
	typeForwardAnswer
	typeWitness
	typePeerCensus
	typePeerCensusReply
	typeHandover
	typePeerConfiguration
)

// Append appends the encoding of m to dst. It panics if m is not a pointer to a message type of this package. It
// truncates reasons to MaxReasonLen, but does not check the other limits; Decode rejects messages that exceed them.
func Append(dst []byte, m Message) []byte {
	switch m := m.(type) {
	case *Hello:
		return appendHello(append(dst, typeHello), m)
	case *HelloAck:
		b := appendMember(append(dst, typeHelloAck), 1, &m.Member)
		return appendRoster(b, 2, &m.Roster)
	case *Ping:
		b := appendUint(append(dst, typePing), 1, m.Sequence)
		b = appendUint(b, 2, uint64(m.Running))
		b = appendBool(b, 3, m.Leaving)
		return appendUint(b, 4, m.Epoch)
	case *Pong:
		return appendPong(append(dst, typePong), m)
	case *Start:
		return appendStart(append(dst, typeStart), m)
	case *Claimed:
		return appendString(append(dst, typeClaimed), 1, m.Job)
	case *Result:
		return appendResult(append(dst, typeResult), m)
	case *Refusal:
		return appendRefusal(append(dst, typeRefusal), m)
	case *Grant:
		return appendUint(append(dst, typeGrant), 1, uint64(m.Credits))
	case *Recall:
		return appendUint(append(dst, typeRecall), 1, uint64(m.Credits))
	case *Release:
		return appendUint(append(dst, typeRelease), 1, uint64(m.Credits))
	case *Demand:
		return appendUint(append(dst, typeDemand), 1, uint64(m.Queued))
	case *Cancel:
		return appendTaskKeys(append(dst, typeCancel), 1, m.Tasks)
	case *Collected:
		return appendTaskKeys(append(dst, typeCollected), 1, m.Tasks)
	case *Census:
		return appendRoster(append(dst, typeCensus), 1, &m.Roster)
	case *CensusReply:
		b := appendUint(append(dst, typeCensusReply), 1, m.Epoch)
		b = appendStartedTasks(b, 2, m.Started)
		return appendBool(b, 3, m.Last)
	case *Leaving:
		return append(dst, typeLeaving)
	}
	return appendPeerMessage(dst, m)
}

// appendPeerMessage appends the encoding of a message between entries.
func appendPeerMessage(dst []byte, m Message) []byte {
	switch m := m.(type) {
	case *PeerPing:
		return appendPeerPing(append(dst, typePeerPing), m)
	case *PeerPong:
		b := appendUint(append(dst, typePeerPong), 1, m.Sequence)
		b, at := beginNested(b, 2)
		return endNested(appendPeerPing(b, &m.State), at)
	case *Forward:
		b := appendUint(append(dst, typeForward), 1, m.ID)
		b = appendUint(b, 2, uint64(m.Request))
		b = appendUint(b, 3, uint64(m.Hops))
		return appendJob(b, 4, &m.Job)
	case *ForwardAnswer:
		b := appendUint(append(dst, typeForwardAnswer), 1, m.ID)
		b = appendAnswer(b, 2, &m.Answer)
		b = appendUint(b, 3, uint64(m.First))
		return appendUint(b, 4, uint64(m.Total))
	case *Witness:
		return appendStrings(append(dst, typeWitness), 1, m.Jobs)
	case *PeerCensus:
		return appendRoster(append(dst, typePeerCensus), 1, &m.Roster)
	case *PeerCensusReply:
		b := appendUint(append(dst, typePeerCensusReply), 1, m.Epoch)
		b = appendPeerCensusRows(b, m)
		return appendBool(b, 4, m.Last)
	case *PeerConfiguration:
		return appendBytes(append(dst, typePeerConfiguration), 1, m.Checkpoint)
	case *Handover:
		b := appendJob(append(dst, typeHandover), 1, &m.Job)
		b = appendStartedTasks(b, 2, m.Started)
		b = appendAnswer(b, 3, &m.Answer)
		return appendBool(b, 4, m.StartedComplete)
	}
	panic(fmt.Sprintf("encoder: unknown message type %T", m))
}

// Decode decodes one message. It does not retain frame. Unknown fields are skipped, and empty lists and byte slices are
// decoded as nil. An error names the message and the field. It satisfies trace.IsNotImplemented if the message type is
// unknown, for example because it belongs to a newer version.
func Decode(frame []byte) (Message, error) {
	if len(frame) > MaxFrameSize {
		return nil, trace.LimitExceeded("frame of %d bytes exceeds %d", len(frame), MaxFrameSize)
	}
	messageType, size := protowire.ConsumeVarint(frame)
	if size < 0 {
		return nil, trace.BadParameter("frame of %d bytes has no message type", len(frame))
	}
	r := reader{rest: frame[size:]}
	m := r.decode(messageType)
	if m == nil {
		return nil, trace.NotImplemented("unknown message type %d", messageType)
	}
	if r.err != nil {
		return nil, r.err
	}
	return m, nil
}
