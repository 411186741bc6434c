package encoder

// TypeCount is the length of an array indexed by Type.
const TypeCount = len(typeNames)

// Type is the number of a message type on the wire. 0 is not a message type.
type Type uint8

var typeNames = [...]string{
	"", "hello", "helloAck", "ping", "pong", "start", "claimed", "result", "refusal", "grant", "recall", "release", "demand",
	"cancel", "collected", "census", "censusReply", "leaving", "peerPing", "peerPong", "forward", "forwardAnswer", "witness",
	"peerCensus", "peerCensusReply", "handover", "peerConfiguration",
}

// String returns the type in camelCase, for example "censusReply".
func (t Type) String() string { return enumName(typeNames[:], uint8(t)) }

// TypeOf returns the type of m, or 0 if m is not a pointer to a message type of this package.
func TypeOf(m Message) Type {
	switch m.(type) {
	case *Hello:
		return typeHello
	case *HelloAck:
		return typeHelloAck
	case *Ping:
		return typePing
	case *Pong:
		return typePong
	case *Start:
		return typeStart
	case *Claimed:
		return typeClaimed
	case *Result:
		return typeResult
	case *Refusal:
		return typeRefusal
	case *Grant:
		return typeGrant
	case *Recall:
		return typeRecall
	case *Release:
		return typeRelease
	case *Demand:
		return typeDemand
	case *Cancel:
		return typeCancel
	case *Collected:
		return typeCollected
	case *Census:
		return typeCensus
	case *CensusReply:
		return typeCensusReply
	case *Leaving:
		return typeLeaving
	}
	return peerTypeOf(m)
}

// peerTypeOf returns the type of a message between entries, or 0.
func peerTypeOf(m Message) Type {
	switch m.(type) {
	case *PeerPing:
		return typePeerPing
	case *PeerPong:
		return typePeerPong
	case *Forward:
		return typeForward
	case *ForwardAnswer:
		return typeForwardAnswer
	case *Witness:
		return typeWitness
	case *PeerCensus:
		return typePeerCensus
	case *PeerCensusReply:
		return typePeerCensusReply
	case *Handover:
		return typeHandover
	case *PeerConfiguration:
		return typePeerConfiguration
	}
	return 0
}
