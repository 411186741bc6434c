package encoder

// MessageTypes is the length of an array that is indexed by Type.
const MessageTypes = len(typeNames)

// Type numbers the message types as on the wire. 0 is none.
type Type uint8

var typeNames = [...]string{
	"", "hello", "helloAck", "ping", "pong", "start", "claimed", "result", "refusal", "grant", "recall", "release", "demand",
	"cancel", "collected", "census", "censusReply", "leaving", "peerPing", "peerPong", "forward", "forwardAnswer", "witness",
	"peerCensus", "peerCensusReply", "handover", "peerConfiguration",
}

// String returns the type in camelCase, for example "censusReply".
func (t Type) String() string { return name(typeNames[:], uint8(t)) }

// TypeOf returns the type of m, and 0 when m is not a pointer to a message type of this package.
func TypeOf(m Message) Type {
	switch m.(type) {
	case *Hello:
		return kindHello
	case *HelloAck:
		return kindHelloAck
	case *Ping:
		return kindPing
	case *Pong:
		return kindPong
	case *Start:
		return kindStart
	case *Claimed:
		return kindClaimed
	case *Result:
		return kindResult
	case *Refusal:
		return kindRefusal
	case *Grant:
		return kindGrant
	case *Recall:
		return kindRecall
	case *Release:
		return kindRelease
	case *Demand:
		return kindDemand
	case *Cancel:
		return kindCancel
	case *Collected:
		return kindCollected
	case *Census:
		return kindCensus
	case *CensusReply:
		return kindCensusReply
	case *Leaving:
		return kindLeaving
	}
	return peerTypeOf(m)
}

// peerTypeOf returns the types of the messages between entries.
func peerTypeOf(m Message) Type {
	switch m.(type) {
	case *PeerPing:
		return kindPeerPing
	case *PeerPong:
		return kindPeerPong
	case *Forward:
		return kindForward
	case *ForwardAnswer:
		return kindForwardAnswer
	case *Witness:
		return kindWitness
	case *PeerCensus:
		return kindPeerCensus
	case *PeerCensusReply:
		return kindPeerCensusReply
	case *Handover:
		return kindHandover
	case *PeerConfiguration:
		return kindPeerConfiguration
	}
	return 0
}
