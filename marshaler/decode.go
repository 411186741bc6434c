package marshaler

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/crocuslb/crocuslb/appender"
	"github.com/crocuslb/crocuslb/timer"
)

// Decode decodes one message. It does not retain the frame. The error names the invalid field. It satisfies
// trace.IsNotImplemented if the message type is unknown, which may be one of a newer version.
func Decode(frame []byte) (Message, error) {
	if len(frame) == 0 {
		return nil, trace.BadParameter("empty frame")
	}
	m, visit := decoder(frame[0])
	if m == nil {
		return nil, trace.NotImplemented("unknown message type %d", frame[0])
	}
	if err := appender.RangeFields(frame[1:], visit); err != nil {
		return nil, trace.BadParameter("%T: %v", m, err)
	}
	return m, nil
}

// decoder returns an empty message of the given type and the function that decodes one of its fields. Unknown fields are
// skipped.
func decoder(kind byte) (Message, func(f appender.Field) error) {
	switch kind {
	case kindHello:
		m := &Hello{}
		return m, m.setField
	case kindHeartbeat:
		m := &Heartbeat{}
		return m, m.setField
	case kindPeers:
		m := &Peers{}
		return m, m.setField
	case kindConfiguration:
		m := &Configuration{}
		return m, m.setField
	case kindBackend:
		m := &Backend{}
		return m, m.setField
	case kindLoad:
		m := &Load{}
		return m, m.setField
	case kindStart:
		m := &Start{}
		return m, m.setField
	case kindStop:
		m := &Stop{}
		return m, func(f appender.Field) error { return setRunKey(f, &m.Run) }
	case kindOutcome:
		m := &Outcome{}
		return m, m.setField
	case kindActiveRuns:
		m := &ActiveRuns{}
		return m, m.setField
	case kindLoadSubscription:
		m := &LoadSubscription{}
		return m, func(f appender.Field) error { return setBool(f, &m.Enabled) }
	case kindResourceRequest:
		m := &ResourceRequest{}
		return m, m.setField
	case kindCancelResourceRequest:
		m := &CancelResourceRequest{}
		return m, m.setField
	case kindGrant:
		m := &Grant{}
		return m, m.setField
	case kindReject:
		m := &Reject{}
		return m, m.setField
	}
	return explanationDecoder(kind)
}

func (m *Hello) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return setUint8(f, &m.Role)
	case 2:
		return f.StoreString(&m.Name, MaxNameLen)
	case 3:
		return f.StoreUint(&m.Incarnation)
	case 4:
		return f.StoreString(&m.Domain, MaxNameLen)
	case 5:
		return f.StoreString(&m.Address, MaxNameLen)
	case 6:
		return f.StoreUint(&m.Weight)
	case 7:
		return f.StoreUint(&m.Session)
	}
	return nil
}

func (m *Heartbeat) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreUint(&m.Offset)
	case 2:
		return setBool(f, &m.Leaving)
	case 3:
		return setBool(f, &m.DurableInUse)
	}
	return m.setLoadField(f)
}

func (m *Peers) setField(f appender.Field) error {
	if f.Tag != 1 {
		return nil
	}
	p, err := appendZero(&m.Peers)
	if err != nil {
		return err
	}
	return decodeNested(f, func(f appender.Field) error {
		switch f.Tag {
		case 1:
			return f.StoreString(&p.Name, MaxNameLen)
		case 2:
			return f.StoreString(&p.Address, MaxNameLen)
		case 3:
			return f.StoreUint(&p.Incarnation)
		}
		return nil
	})
}

func (m *Configuration) setField(f appender.Field) error {
	if f.Tag != 1 {
		return nil
	}
	b, err := f.BytesValue(maxNestedLen)
	m.Body = append([]byte(nil), b...)
	return err
}

func (m *Backend) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreString(&m.ID, MaxNameLen)
	case 2:
		return f.StoreUint(&m.StartTime)
	case 3:
		return f.StoreString(&m.Service, MaxNameLen)
	case 4:
		return appendDecodedText(f, &m.Labels)
	case 5:
		return setResources(f, &m.Capacity)
	}
	return nil
}

func (m *Load) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreUint(&m.Offset)
	case 2:
		return setBool(f, &m.Accepting)
	case 3:
		return setResources(f, &m.Free)
	case 4:
		return setZigZag(f, &m.Clock)
	case 5:
		return f.StoreUint(&m.Speed)
	case 6:
		return appendDecodedText(f, &m.HandledStarts)
	case 7:
		s, err := appendZero(&m.CompletedRuns)
		if err != nil {
			return err
		}
		return decodeNested(f, s.setField)
	case 8:
		return setMillis(f, &m.Time)
	case 9:
		return f.StoreUint(&m.SuspectRuns)
	}
	return nil
}

func (s *CompletedRun) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreString(&s.Job, MaxNameLen)
	case 2:
		return setUint8(f, &s.Status)
	case 3:
		return setMillis(f, &s.RunTime)
	case 4:
		return setMillis(f, &s.Estimate)
	case 5:
		return setResources(f, &s.Resources)
	case 6:
		return f.StoreString(&s.Queue, MaxNameLen)
	case 7:
		return setUint8(f, &s.Blame)
	}
	return nil
}

func (m *Start) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return setRunKey(f, &m.Run)
	case 2:
		return f.StoreString(&m.Spec, MaxSpecLen)
	case 3:
		return setResources(f, &m.Resources)
	case 4:
		return setMillis(f, &m.Estimate)
	case 5:
		return setZigZag(f, &m.NotAfter)
	case 6:
		return f.StoreUint(&m.Epoch)
	case 7:
		return f.StoreString(&m.Queue, MaxNameLen)
	case 8:
		return setMillis(f, &m.SentAt)
	case 9:
		return setUint8(f, &m.Suspicion)
	case 10:
		return f.StoreUint(&m.ServerTaskLimit)
	case 11:
		return f.StoreString(&m.Service, MaxNameLen)
	case 12:
		return f.StoreString(&m.Label, MaxNameLen)
	}
	return nil
}

func (m *Outcome) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return setRunKey(f, &m.Run)
	case 2:
		return setUint8(f, &m.Status)
	case 3:
		return f.StoreString(&m.Reason, MaxNameLen)
	case 4:
		return setMillis(f, &m.RunTime)
	case 5:
		return f.StoreUint(&m.Number)
	case 6:
		return setBool(f, &m.Stale)
	case 7:
		return setUint8(f, &m.Blame)
	}
	return nil
}

func (m *ActiveRuns) setField(f appender.Field) error {
	if f.Tag != 1 {
		return nil
	}
	r, err := appendZero(&m.Runs)
	if err != nil {
		return err
	}
	return setRunKey(f, r)
}

func (m *ResourceRequest) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreString(&m.Job, MaxNameLen)
	case 2:
		return f.StoreString(&m.Service, MaxNameLen)
	case 3:
		return f.StoreString(&m.Queue, MaxNameLen)
	case 4:
		return f.StoreUint(&m.Tasks)
	case 5:
		return setResources(f, &m.Resources)
	case 6:
		return setMillis(f, &m.Estimate)
	case 7:
		return setMillis(f, &m.Slack)
	case 8:
		return f.StoreUint(&m.Priority)
	case 9:
		return setBool(f, &m.Started)
	case 10:
		return appendDecodedText(f, &m.Avoid)
	case 11:
		return f.StoreUint(&m.Step)
	case 12:
		return f.StoreString(&m.Label, MaxNameLen)
	case 13:
		return f.StoreString(&m.Rack, MaxNameLen)
	case 14:
		return f.StoreUint(&m.ServerTaskLimit)
	case 15:
		return appendDecodedText(f, &m.Placed)
	case 16:
		return setMillis(f, &m.MaxWait)
	case 17:
		return setMillis(f, &m.TargetEnd)
	case 18:
		return setMillis(f, &m.LastUsefulEnd)
	case 19:
		return setUint8(f, &m.Suspicion)
	}
	return nil
}

func (m *CancelResourceRequest) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreString(&m.Job, MaxNameLen)
	case 2:
		return f.StoreUint(&m.Step)
	}
	return nil
}

func (m *Grant) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreString(&m.Job, MaxNameLen)
	case 2:
		return appendDecodedText(f, &m.Sidecars)
	case 3:
		return f.StoreUint(&m.Step)
	}
	return nil
}

func (m *Reject) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreString(&m.Job, MaxNameLen)
	case 2:
		return f.StoreString(&m.Reason, MaxNameLen)
	case 3:
		return setMillis(f, &m.RetryAfter)
	case 4:
		return f.StoreUint(&m.Step)
	}
	return nil
}

// maxNestedLen is the maximum length of a nested message in bytes. The transport limits whole frames.
const maxNestedLen = 4 << 20

func decodeNested(f appender.Field, visit func(f appender.Field) error) error {
	b, err := f.BytesValue(maxNestedLen)
	if err != nil {
		return err
	}
	return appender.RangeFields(b, visit)
}

func setRunKey(f appender.Field, r *RunKey) error {
	return decodeNested(f, func(f appender.Field) error {
		switch f.Tag {
		case 1:
			return f.StoreString(&r.Job, MaxNameLen)
		case 2:
			return f.StoreUint(&r.Index)
		case 3:
			return f.StoreUint(&r.Attempt)
		}
		return nil
	})
}

func setResources(f appender.Field, r *Resources) error {
	return decodeNested(f, func(f appender.Field) error {
		switch f.Tag {
		case 1:
			return setZigZag(f, &r.CPU)
		case 2:
			return setZigZag(f, &r.MemoryMB)
		case 3:
			return setZigZag(f, &r.Accelerators)
		}
		return nil
	})
}

func setZigZag(f appender.Field, dst *int64) error {
	var v uint64
	err := f.StoreUint(&v)
	*dst = protowire.DecodeZigZag(v)
	return err
}

func setMillis(f appender.Field, dst *timer.Millis) error {
	var v int64
	err := setZigZag(f, &v)
	*dst = timer.Millis(v)
	return err
}

func setBool(f appender.Field, dst *bool) error {
	var v uint64
	err := f.StoreUint(&v)
	*dst = v != 0
	return err
}

func setUint8[T ~uint8](f appender.Field, dst *T) error {
	var v uint64
	if err := f.StoreUint(&v); err != nil {
		return err
	}
	if v > 255 {
		return trace.BadParameter("field %d: value %d exceeds 255", f.Tag, v)
	}
	*dst = T(v)
	return nil
}

func appendDecodedText(f appender.Field, list *[]string) error {
	s, err := appendZero(list)
	if err != nil {
		return err
	}
	return f.StoreString(s, MaxNameLen)
}

// appendZero appends a zero element, which the caller decodes into.
func appendZero[T any](list *[]T) (*T, error) {
	if len(*list) >= MaxListLen {
		return nil, trace.LimitExceeded("list exceeds %d elements", MaxListLen)
	}
	var zero T
	*list = append(*list, zero)
	return &(*list)[len(*list)-1], nil
}
