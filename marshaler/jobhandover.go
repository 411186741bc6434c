package marshaler

import (
	"fmt"

	"github.com/crocuslb/crocuslb/appender"
	"github.com/crocuslb/crocuslb/timer"
)

type (
	// JobHandover hands a restartable job, of which no task was started, to another entry. It is sent only to entries whose
	// heartbeats carry their load, because older entries do not know it.
	JobHandover struct {
		Number   uint64 // unique in the session
		Job      string
		Queue    string
		Spec     string
		Steps    []Step
		Deadline timer.Millis // how long the caller waits; 0 if unset
		Waited   timer.Millis // time that the caller has waited already
		SentAt   timer.Millis // as in Heartbeat
	}

	// JobAnswer is the answer to a JobHandover. It is sent on the same session.
	JobAnswer struct {
		Number     uint64
		Job        string
		Kind       uint8 // an AnswerKind of package submitter
		Reason     string
		RetryAfter timer.Millis
	}

	// CancelJobHandover withdraws a job that was handed over, because its caller has left. No answer is expected.
	CancelJobHandover struct {
		Number uint64
		Job    string
	}
)

// appendEntryLoad appends the load fields and the times of a heartbeat.
func appendEntryLoad(dst []byte, m *Heartbeat) []byte {
	dst = appender.AppendUint(dst, 4, uint64(m.LoadClass))
	dst = appender.AppendUint(dst, 5, m.ProcessorUse)
	dst = appendZigZag(dst, 6, int64(m.LoopDelay))
	dst = appender.AppendUint(dst, 7, m.BytesPerSecond)
	dst = appender.AppendUint(dst, 8, m.MemoryBytes)
	dst = appendBool(dst, 9, m.SteppedDown)
	dst = appendZigZag(dst, 10, int64(m.Time))
	return appendZigZag(dst, 11, int64(m.SentAt))
}

// setLoadField decodes a load field or a time of a heartbeat.
func (m *Heartbeat) setLoadField(f appender.Field) error {
	switch f.Tag {
	case 4:
		return setUint8(f, &m.LoadClass)
	case 5:
		return f.StoreUint(&m.ProcessorUse)
	case 6:
		return setMillis(f, &m.LoopDelay)
	case 7:
		return f.StoreUint(&m.BytesPerSecond)
	case 8:
		return f.StoreUint(&m.MemoryBytes)
	case 9:
		return setBool(f, &m.SteppedDown)
	case 10:
		return setMillis(f, &m.Time)
	case 11:
		return setMillis(f, &m.SentAt)
	}
	return nil
}

// appendJobMessage appends messages about jobs that are handed over.
func appendJobMessage(dst []byte, m Message) []byte {
	switch m := m.(type) {
	case *JobHandover:
		dst = appender.AppendUint(append(dst, kindJobHandover), 1, m.Number)
		dst = appender.AppendString(dst, 2, m.Job)
		dst = appender.AppendString(dst, 3, m.Queue)
		dst = appender.AppendString(dst, 4, m.Spec)
		for i := range m.Steps {
			dst = appendNested(dst, 5, func(b []byte) []byte { return appendStep(b, &m.Steps[i]) })
		}
		dst = appendZigZag(dst, 6, int64(m.Deadline))
		dst = appendZigZag(dst, 7, int64(m.Waited))
		return appendZigZag(dst, 8, int64(m.SentAt))
	case *JobAnswer:
		dst = appender.AppendUint(append(dst, kindJobAnswer), 1, m.Number)
		dst = appender.AppendString(dst, 2, m.Job)
		dst = appender.AppendUint(dst, 3, uint64(m.Kind))
		dst = appendReason(dst, 4, m.Reason)
		return appendZigZag(dst, 5, int64(m.RetryAfter))
	case *CancelJobHandover:
		dst = appender.AppendUint(append(dst, kindCancelJobHandover), 1, m.Number)
		return appender.AppendString(dst, 2, m.Job)
	}
	panic(fmt.Sprintf("marshaler: unknown message type %T", m))
}

// jobHandoverDecoder implements decoder for messages about jobs that are handed over.
func jobHandoverDecoder(kind byte) (Message, func(f appender.Field) error) {
	switch kind {
	case kindJobHandover:
		m := &JobHandover{}
		return m, m.setField
	case kindJobAnswer:
		m := &JobAnswer{}
		return m, m.setField
	case kindCancelJobHandover:
		m := &CancelJobHandover{}
		return m, m.setField
	}
	return nil, nil
}

func (m *JobHandover) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreUint(&m.Number)
	case 2:
		return f.StoreString(&m.Job, MaxNameLen)
	case 3:
		return f.StoreString(&m.Queue, MaxNameLen)
	case 4:
		return f.StoreString(&m.Spec, MaxSpecLen)
	case 5:
		s, err := appendZero(&m.Steps)
		if err != nil {
			return err
		}
		return decodeNested(f, s.setField)
	case 6:
		return setMillis(f, &m.Deadline)
	case 7:
		return setMillis(f, &m.Waited)
	case 8:
		return setMillis(f, &m.SentAt)
	}
	return nil
}

func (m *JobAnswer) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreUint(&m.Number)
	case 2:
		return f.StoreString(&m.Job, MaxNameLen)
	case 3:
		return setUint8(f, &m.Kind)
	case 4:
		return f.StoreString(&m.Reason, MaxNameLen)
	case 5:
		return setMillis(f, &m.RetryAfter)
	}
	return nil
}

func (m *CancelJobHandover) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreUint(&m.Number)
	case 2:
		return f.StoreString(&m.Job, MaxNameLen)
	}
	return nil
}
