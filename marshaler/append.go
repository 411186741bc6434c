package marshaler

import (
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/crocuslb/crocuslb/appender"
)

// Message type numbers on the wire.
const (
	kindHello = iota + 1
	kindHeartbeat
	kindPeers
	kindConfiguration
	kindBackend
	kindLoad
	kindStart
	kindStop
	kindOutcome
	kindActiveRuns
	kindLoadSubscription
	kindResourceRequest
	kindCancelResourceRequest
	kindGrant
	kindReject
	kindJobRecord
	kindEndRecord
	kindCancelRecord
	kindOwnedPartitions
	kindClaim
	kindRelease
	kindCensus
	kindOutcomeAck
	kindCall
	kindReply
	kindQueueBacklog
	kindOwnerRecord
	kindHandover
	kindJobHandover
	kindJobAnswer
	kindCancelJobHandover
	kindQuestion
	kindExplanation
	kindCrashRecord
)

// Append appends the encoding of m to dst. It panics if m is not a pointer to a message type of this package.
func Append(dst []byte, m Message) []byte {
	switch m := m.(type) {
	case *Hello:
		dst = appender.AppendUint(append(dst, kindHello), 1, uint64(m.Role))
		dst = appender.AppendString(dst, 2, m.Name)
		dst = appender.AppendUint(dst, 3, m.Incarnation)
		dst = appender.AppendString(dst, 4, m.Domain)
		dst = appender.AppendString(dst, 5, m.Address)
		dst = appender.AppendUint(dst, 6, m.Weight)
		return appender.AppendUint(dst, 7, m.Session)
	case *Heartbeat:
		dst = appender.AppendUint(append(dst, kindHeartbeat), 1, m.Offset)
		dst = appendBool(dst, 2, m.Leaving)
		dst = appendBool(dst, 3, m.DurableInUse)
		return appendEntryLoad(dst, m)
	case *Peers:
		dst = append(dst, kindPeers)
		for i := range m.Peers {
			dst = appendNested(dst, 1, func(b []byte) []byte { return appendPeer(b, &m.Peers[i]) })
		}
		return dst
	case *Configuration:
		return appendBytes(append(dst, kindConfiguration), 1, m.Body)
	case *Start:
		return appendStart(append(dst, kindStart), m)
	case *Stop:
		return appendRunKey(append(dst, kindStop), 1, &m.Run)
	case *Outcome:
		return appendOutcome(append(dst, kindOutcome), m)
	case *ActiveRuns:
		dst = append(dst, kindActiveRuns)
		for i := range m.Runs {
			dst = appendRunKey(dst, 1, &m.Runs[i])
		}
		return dst
	case *LoadSubscription:
		return appendBool(append(dst, kindLoadSubscription), 1, m.Enabled)
	}
	return appendPlacement(dst, m)
}

// appendPlacement appends messages about available resources and requests for them.
func appendPlacement(dst []byte, m Message) []byte {
	switch m := m.(type) {
	case *Backend:
		dst = appender.AppendString(append(dst, kindBackend), 1, m.ID)
		dst = appender.AppendUint(dst, 2, m.StartTime)
		dst = appender.AppendString(dst, 3, m.Service)
		for _, l := range m.Labels {
			dst = appendBytes(dst, 4, []byte(l))
		}
		return appendResources(dst, 5, m.Capacity)
	case *Load:
		return appendLoad(append(dst, kindLoad), m)
	case *ResourceRequest:
		return appendResourceRequest(append(dst, kindResourceRequest), m)
	case *CancelResourceRequest:
		dst = appender.AppendString(append(dst, kindCancelResourceRequest), 1, m.Job)
		return appender.AppendUint(dst, 2, m.Step)
	case *Grant:
		dst = appender.AppendString(append(dst, kindGrant), 1, m.Job)
		for _, s := range m.Sidecars {
			dst = appendBytes(dst, 2, []byte(s))
		}
		return appender.AppendUint(dst, 3, m.Step)
	case *Reject:
		dst = appender.AppendString(append(dst, kindReject), 1, m.Job)
		dst = appendReason(dst, 2, m.Reason)
		dst = appendZigZag(dst, 3, int64(m.RetryAfter))
		return appender.AppendUint(dst, 4, m.Step)
	}
	return appendExplanation(dst, m)
}

func appendOutcome(dst []byte, m *Outcome) []byte {
	dst = appendRunKey(dst, 1, &m.Run)
	dst = appender.AppendUint(dst, 2, uint64(m.Status))
	dst = appendReason(dst, 3, m.Reason)
	dst = appendZigZag(dst, 4, int64(m.RunTime))
	dst = appender.AppendUint(dst, 5, m.Number)
	dst = appendBool(dst, 6, m.Stale)
	return appender.AppendUint(dst, 7, uint64(m.Blame))
}

func appendStart(dst []byte, m *Start) []byte {
	dst = appendRunKey(dst, 1, &m.Run)
	dst = appender.AppendString(dst, 2, m.Spec)
	dst = appendResources(dst, 3, m.Resources)
	dst = appendZigZag(dst, 4, int64(m.Estimate))
	dst = appendZigZag(dst, 5, m.NotAfter)
	dst = appender.AppendUint(dst, 6, m.Epoch)
	dst = appender.AppendString(dst, 7, m.Queue)
	dst = appendZigZag(dst, 8, int64(m.SentAt))
	dst = appender.AppendUint(dst, 9, uint64(m.Suspicion))
	dst = appender.AppendUint(dst, 10, m.ServerTaskLimit)
	dst = appender.AppendString(dst, 11, m.Service)
	return appender.AppendString(dst, 12, m.Label)
}

func appendResourceRequest(dst []byte, m *ResourceRequest) []byte {
	dst = appender.AppendString(dst, 1, m.Job)
	dst = appender.AppendString(dst, 2, m.Service)
	dst = appender.AppendString(dst, 3, m.Queue)
	dst = appender.AppendUint(dst, 4, m.Tasks)
	dst = appendResources(dst, 5, m.Resources)
	dst = appendZigZag(dst, 6, int64(m.Estimate))
	dst = appendZigZag(dst, 7, int64(m.Slack))
	dst = appender.AppendUint(dst, 8, m.Priority)
	dst = appendBool(dst, 9, m.Started)
	for _, name := range m.Avoid {
		dst = appendBytes(dst, 10, []byte(name))
	}
	dst = appender.AppendUint(dst, 11, m.Step)
	dst = appender.AppendString(dst, 12, m.Label)
	dst = appender.AppendString(dst, 13, m.Rack)
	dst = appender.AppendUint(dst, 14, m.ServerTaskLimit)
	for _, name := range m.Placed {
		dst = appendBytes(dst, 15, []byte(name))
	}
	dst = appendZigZag(dst, 16, int64(m.MaxWait))
	dst = appendZigZag(dst, 17, int64(m.TargetEnd))
	dst = appendZigZag(dst, 18, int64(m.LastUsefulEnd))
	return appender.AppendUint(dst, 19, uint64(m.Suspicion))
}

func appendLoad(dst []byte, m *Load) []byte {
	dst = appender.AppendUint(dst, 1, m.Offset)
	dst = appendBool(dst, 2, m.Accepting)
	dst = appendResources(dst, 3, m.Free)
	dst = appendZigZag(dst, 4, m.Clock)
	dst = appender.AppendUint(dst, 5, m.Speed)
	for _, job := range m.HandledStarts {
		dst = appendBytes(dst, 6, []byte(job))
	}
	for i := range m.CompletedRuns {
		s := &m.CompletedRuns[i]
		dst = appendNested(dst, 7, func(b []byte) []byte {
			b = appender.AppendString(b, 1, s.Job)
			b = appender.AppendUint(b, 2, uint64(s.Status))
			b = appendZigZag(b, 3, int64(s.RunTime))
			b = appendZigZag(b, 4, int64(s.Estimate))
			b = appendResources(b, 5, s.Resources)
			b = appender.AppendString(b, 6, s.Queue)
			return appender.AppendUint(b, 7, uint64(s.Blame))
		})
	}
	dst = appendZigZag(dst, 8, int64(m.Time))
	return appender.AppendUint(dst, 9, m.SuspectRuns)
}

func appendPeer(b []byte, p *Peer) []byte {
	b = appender.AppendString(b, 1, p.Name)
	b = appender.AppendString(b, 2, p.Address)
	return appender.AppendUint(b, 3, p.Incarnation)
}

func appendRunKey(dst []byte, tag protowire.Number, r *RunKey) []byte {
	return appendNested(dst, tag, func(b []byte) []byte {
		b = appender.AppendString(b, 1, r.Job)
		b = appender.AppendUint(b, 2, r.Index)
		return appender.AppendUint(b, 3, r.Attempt)
	})
}

func appendResources(dst []byte, tag protowire.Number, r Resources) []byte {
	return appendNested(dst, tag, func(b []byte) []byte {
		b = appendZigZag(b, 1, r.CPU)
		b = appendZigZag(b, 2, r.MemoryMB)
		return appendZigZag(b, 3, r.Accelerators)
	})
}

// appendNested appends a nested message. It reserves one byte for the length and moves content of 128 bytes or more, which
// needs a longer one.
func appendNested(dst []byte, tag protowire.Number, content func(b []byte) []byte) []byte {
	dst = protowire.AppendTag(dst, tag, protowire.BytesType)
	start := len(dst) + 1
	dst = content(append(dst, 0))
	size := len(dst) - start
	if size < 1<<7 {
		dst[start-1] = byte(size)
		return dst
	}
	body := append([]byte(nil), dst[start:]...)
	return protowire.AppendBytes(dst[:start-1], body)
}

func appendBytes(dst []byte, tag protowire.Number, b []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(dst, tag, protowire.BytesType), b)
}

func appendBool(dst []byte, tag protowire.Number, v bool) []byte {
	return appender.AppendUint(dst, tag, protowire.EncodeBool(v))
}

func appendZigZag(dst []byte, tag protowire.Number, v int64) []byte {
	return appender.AppendUint(dst, tag, protowire.EncodeZigZag(v))
}

// appendReason appends a reason, shortened to the length that can be decoded. Reasons may quote other software.
func appendReason(dst []byte, tag protowire.Number, reason string) []byte {
	return appender.AppendString(dst, tag, reason[:min(len(reason), MaxNameLen)])
}
