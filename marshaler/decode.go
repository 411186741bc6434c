package marshaler

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/crocuslb/crocuslb/appender"
	"github.com/crocuslb/crocuslb/timer"
)

// Decode decodes one message. The frame is not retained. The error says which field is unsound; it satisfies
// trace.IsNotImplemented when the type of the message is unknown, which may be one of a newer version.
func Decode(frame []byte) (Message, error) {
	if len(frame) == 0 {
		return nil, trace.BadParameter("the frame is empty")
	}
	m, visit := decoder(frame[0])
	if m == nil {
		return nil, trace.NotImplemented("unknown message type %d", frame[0])
	}
	if err := appender.Fields(frame[1:], visit); err != nil {
		return nil, trace.BadParameter("%T: %v", m, err)
	}
	return m, nil
}

// decoder returns an empty message of the kind and the function that sets one of its fields. Unknown fields are skipped.
func decoder(kind byte) (Message, func(f appender.Field) error) {
	switch kind {
	case kindHello:
		m := &Hello{}
		return m, m.set
	case kindBeat:
		m := &Beat{}
		return m, m.set
	case kindPeers:
		m := &Peers{}
		return m, m.set
	case kindConfiguration:
		m := &Configuration{}
		return m, m.set
	case kindBackend:
		m := &Backend{}
		return m, m.set
	case kindLoad:
		m := &Load{}
		return m, m.set
	case kindStart:
		m := &Start{}
		return m, m.set
	case kindStop:
		m := &Stop{}
		return m, func(f appender.Field) error { return setRun(f, &m.Run) }
	case kindOutcome:
		m := &Outcome{}
		return m, m.set
	case kindHeld:
		m := &Held{}
		return m, m.set
	case kindSubscribe:
		m := &Subscribe{}
		return m, func(f appender.Field) error { return setBool(f, &m.On) }
	case kindAsk:
		m := &Ask{}
		return m, m.set
	case kindWithdraw:
		m := &Withdraw{}
		return m, m.set
	case kindGrant:
		m := &Grant{}
		return m, m.set
	case kindReject:
		m := &Reject{}
		return m, m.set
	}
	return keptDecoder(kind)
}

func (m *Hello) set(f appender.Field) error {
	switch f.Tag {
	case 1:
		return setSmall(f, &m.Role)
	case 2:
		return f.Text(&m.Name, MaxName)
	case 3:
		return f.Uint(&m.Incarnation)
	case 4:
		return f.Text(&m.Domain, MaxName)
	case 5:
		return f.Text(&m.Address, MaxName)
	case 6:
		return f.Uint(&m.Weight)
	case 7:
		return f.Uint(&m.Session)
	}
	return nil
}

func (m *Beat) set(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.Uint(&m.Offset)
	case 2:
		return setBool(f, &m.Leaving)
	case 3:
		return setBool(f, &m.Kept)
	}
	return nil
}

func (m *Peers) set(f appender.Field) error {
	if f.Tag != 1 {
		return nil
	}
	p, err := grow(&m.Peers)
	if err != nil {
		return err
	}
	return nested(f, func(f appender.Field) error {
		switch f.Tag {
		case 1:
			return f.Text(&p.Name, MaxName)
		case 2:
			return f.Text(&p.Address, MaxName)
		case 3:
			return f.Uint(&p.Incarnation)
		}
		return nil
	})
}

func (m *Configuration) set(f appender.Field) error {
	if f.Tag != 1 {
		return nil
	}
	b, err := f.Message(maxFrame)
	m.Body = append([]byte(nil), b...)
	return err
}

func (m *Backend) set(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.Text(&m.ID, MaxName)
	case 2:
		return f.Uint(&m.Born)
	case 3:
		return f.Text(&m.Service, MaxName)
	case 4:
		return addText(f, &m.Labels)
	case 5:
		return setRoom(f, &m.Total)
	}
	return nil
}

func (m *Load) set(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.Uint(&m.Offset)
	case 2:
		return setBool(f, &m.Accepting)
	case 3:
		return setRoom(f, &m.Free)
	case 4:
		return setInt(f, &m.Clock)
	case 5:
		return f.Uint(&m.Speed)
	case 6:
		return addText(f, &m.Seen)
	case 7:
		s, err := grow(&m.Settled)
		if err != nil {
			return err
		}
		return nested(f, s.set)
	}
	return nil
}

func (s *Settled) set(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.Text(&s.Job, MaxName)
	case 2:
		return setSmall(f, &s.Status)
	case 3:
		return setMillis(f, &s.Ran)
	case 4:
		return setMillis(f, &s.Estimate)
	case 5:
		return setRoom(f, &s.Room)
	}
	return nil
}

func (m *Start) set(f appender.Field) error {
	switch f.Tag {
	case 1:
		return setRun(f, &m.Run)
	case 2:
		return f.Text(&m.Spec, MaxSpec)
	case 3:
		return setRoom(f, &m.Room)
	case 4:
		return setMillis(f, &m.Estimate)
	case 5:
		return setInt(f, &m.NotAfter)
	case 6:
		return f.Uint(&m.Epoch)
	}
	return nil
}

func (m *Outcome) set(f appender.Field) error {
	switch f.Tag {
	case 1:
		return setRun(f, &m.Run)
	case 2:
		return setSmall(f, &m.Status)
	case 3:
		return f.Text(&m.Reason, MaxName)
	case 4:
		return setMillis(f, &m.Ran)
	case 5:
		return f.Uint(&m.Number)
	case 6:
		return setBool(f, &m.Stale)
	}
	return nil
}

func (m *Held) set(f appender.Field) error {
	if f.Tag != 1 {
		return nil
	}
	r, err := grow(&m.Runs)
	if err != nil {
		return err
	}
	return setRun(f, r)
}

func (m *Ask) set(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.Text(&m.Job, MaxName)
	case 2:
		return f.Text(&m.Service, MaxName)
	case 3:
		return f.Text(&m.Queue, MaxName)
	case 4:
		return f.Uint(&m.Tasks)
	case 5:
		return setRoom(f, &m.Room)
	case 6:
		return setMillis(f, &m.Estimate)
	case 7:
		return setMillis(f, &m.Slack)
	case 8:
		return f.Uint(&m.Priority)
	case 9:
		return setBool(f, &m.Started)
	case 10:
		return addText(f, &m.Avoid)
	case 11:
		return f.Uint(&m.Step)
	case 12:
		return f.Text(&m.Label, MaxName)
	case 13:
		return f.Text(&m.Rack, MaxName)
	case 14:
		return f.Uint(&m.PerServer)
	case 15:
		return addText(f, &m.Placed)
	case 16:
		return setMillis(f, &m.Patience)
	}
	return nil
}

func (m *Withdraw) set(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.Text(&m.Job, MaxName)
	case 2:
		return f.Uint(&m.Step)
	}
	return nil
}

func (m *Grant) set(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.Text(&m.Job, MaxName)
	case 2:
		return addText(f, &m.Sidecars)
	case 3:
		return f.Uint(&m.Step)
	}
	return nil
}

func (m *Reject) set(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.Text(&m.Job, MaxName)
	case 2:
		return f.Text(&m.Reason, MaxName)
	case 3:
		return setMillis(f, &m.RetryAfter)
	case 4:
		return f.Uint(&m.Step)
	}
	return nil
}

// maxFrame bounds nested messages; the transport bounds whole frames.
const maxFrame = 4 << 20

func nested(f appender.Field, visit func(f appender.Field) error) error {
	b, err := f.Message(maxFrame)
	if err != nil {
		return err
	}
	return appender.Fields(b, visit)
}

func setRun(f appender.Field, r *RunKey) error {
	return nested(f, func(f appender.Field) error {
		switch f.Tag {
		case 1:
			return f.Text(&r.Job, MaxName)
		case 2:
			return f.Uint(&r.Index)
		case 3:
			return f.Uint(&r.Attempt)
		}
		return nil
	})
}

func setRoom(f appender.Field, r *Room) error {
	return nested(f, func(f appender.Field) error {
		switch f.Tag {
		case 1:
			return setInt(f, &r.CPU)
		case 2:
			return setInt(f, &r.MemoryMB)
		case 3:
			return setInt(f, &r.Accelerators)
		}
		return nil
	})
}

func setInt(f appender.Field, dst *int64) error {
	var v uint64
	err := f.Uint(&v)
	*dst = protowire.DecodeZigZag(v)
	return err
}

func setMillis(f appender.Field, dst *timer.Millis) error {
	var v int64
	err := setInt(f, &v)
	*dst = timer.Millis(v)
	return err
}

func setBool(f appender.Field, dst *bool) error {
	var v uint64
	err := f.Uint(&v)
	*dst = v != 0
	return err
}

func setSmall[T ~uint8](f appender.Field, dst *T) error {
	var v uint64
	if err := f.Uint(&v); err != nil {
		return err
	}
	if v > 255 {
		return trace.BadParameter("field %d has the value %d, more than 255", f.Tag, v)
	}
	*dst = T(v)
	return nil
}

func addText(f appender.Field, list *[]string) error {
	s, err := grow(list)
	if err != nil {
		return err
	}
	return f.Text(s, MaxName)
}

func grow[T any](list *[]T) (*T, error) {
	if len(*list) >= MaxList {
		return nil, trace.LimitExceeded("a list has more than %d elements", MaxList)
	}
	var zero T
	*list = append(*list, zero)
	return &(*list)[len(*list)-1], nil
}
