package marshaler

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/crocuslb/crocuslb/appender"
)

// appendKept appends the messages and records of kept jobs.
func appendKept(dst []byte, m Message) []byte {
	switch m := m.(type) {
	case *JobRecord:
		return appendJobRecord(append(dst, kindJobRecord), m)
	case *EndRecord:
		dst = appendRun(append(dst, kindEndRecord), 1, &m.Run)
		return appender.AppendUint(dst, 2, uint64(m.Status))
	case *OwnerRecord:
		return appender.AppendUint(append(dst, kindOwnerRecord), 1, m.Epoch)
	case *CancelRecord:
		return appender.AppendText(append(dst, kindCancelRecord), 1, m.Job)
	case *Owned:
		return appendPartitions(append(dst, kindOwned), m.Partitions)
	case *Claim:
		return appendPartitions(append(dst, kindClaim), m.Partitions)
	case *Release:
		return appendPartition(append(dst, kindRelease), 1, m.Partition)
	case *Handover:
		dst = appendPartition(append(dst, kindHandover), 1, m.Partition)
		for i := range m.Tasks {
			dst = appendRun(dst, 2, &m.Tasks[i])
		}
		return dst
	case *Census:
		return appendCensus(append(dst, kindCensus), m)
	case *Noted:
		dst = appender.AppendUint(append(dst, kindNoted), 1, m.Number)
		dst = appendRun(dst, 2, &m.Run)
		return appendBool(dst, 3, m.Void)
	case *Call:
		dst = appender.AppendUint(append(dst, kindCall), 1, m.Number)
		dst = appender.AppendUint(dst, 2, uint64(m.Verb))
		dst = appender.AppendText(dst, 3, m.Job)
		dst = appender.AppendText(dst, 4, m.Queue)
		return appendBytes(dst, 5, m.Body)
	case *Reply:
		dst = appender.AppendUint(append(dst, kindReply), 1, m.Number)
		dst = appender.AppendUint(dst, 2, uint64(m.Kind))
		dst = appender.AppendText(dst, 3, m.Reason)
		return appendInt(dst, 4, int64(m.RetryAfter))
	case *Waiting:
		dst = appender.AppendText(append(dst, kindWaiting), 1, m.Queue)
		return appender.AppendUint(dst, 2, m.Jobs)
	}
	panic(fmt.Sprintf("marshaler: unknown message type %T", m))
}

func appendJobRecord(dst []byte, m *JobRecord) []byte {
	dst = appender.AppendText(dst, 1, m.ID)
	dst = appender.AppendText(dst, 2, m.Queue)
	dst = appender.AppendText(dst, 3, m.Service)
	dst = appender.AppendUint(dst, 4, m.Attempts)
	dst = appender.AppendUint(dst, 5, m.Priority)
	dst = appender.AppendText(dst, 6, m.Spec)
	for i := range m.Steps {
		dst = appendNested(dst, 7, func(b []byte) []byte { return appendStep(b, &m.Steps[i]) })
	}
	for i := range m.Tasks {
		t := &m.Tasks[i]
		dst = appendNested(dst, 8, func(b []byte) []byte {
			b = appender.AppendUint(b, 1, t.Index)
			b = appender.AppendUint(b, 2, t.Attempt)
			b = appender.AppendUint(b, 3, t.Failures)
			return appendBool(b, 4, t.Done)
		})
	}
	return appendBool(dst, 9, m.Cancelled)
}

func appendStep(b []byte, s *Step) []byte {
	b = appender.AppendUint(b, 1, s.Tasks)
	b = appendRoom(b, 2, s.Room)
	b = appendInt(b, 3, int64(s.Estimate))
	for _, n := range s.After {
		b = protowire.AppendVarint(protowire.AppendTag(b, 4, protowire.VarintType), n)
	}
	b = appender.AppendText(b, 5, s.Label)
	b = appender.AppendText(b, 6, s.Rack)
	return appender.AppendUint(b, 7, s.PerServer)
}

func appendPartitions(dst []byte, list []Partition) []byte {
	for _, p := range list {
		dst = appendPartition(dst, 1, p)
	}
	return dst
}

func appendPartition(dst []byte, tag protowire.Number, p Partition) []byte {
	return appendNested(dst, tag, func(b []byte) []byte {
		b = appender.AppendUint(b, 1, p.Number)
		b = appender.AppendUint(b, 2, p.Epoch)
		return appender.AppendUint(b, 3, p.Previous)
	})
}

func appendCensus(dst []byte, m *Census) []byte {
	dst = appendPartition(dst, 1, m.Partition)
	for i := range m.Runs {
		dst = appendRun(dst, 2, &m.Runs[i])
	}
	for i := range m.Ends {
		dst = appendNested(dst, 3, func(b []byte) []byte { return appendOutcome(b, &m.Ends[i]) })
	}
	return dst
}

// keptDecoder is the part of decoder for the messages and records of kept jobs.
func keptDecoder(kind byte) (Message, func(f appender.Field) error) {
	switch kind {
	case kindJobRecord:
		m := &JobRecord{}
		return m, m.set
	case kindEndRecord:
		m := &EndRecord{}
		return m, m.set
	case kindCancelRecord:
		m := &CancelRecord{}
		return m, func(f appender.Field) error { return f.Text(&m.Job, MaxName) }
	case kindOwned:
		m := &Owned{}
		return m, func(f appender.Field) error { return addPartition(f, &m.Partitions) }
	case kindClaim:
		m := &Claim{}
		return m, func(f appender.Field) error { return addPartition(f, &m.Partitions) }
	case kindRelease:
		m := &Release{}
		return m, func(f appender.Field) error { return nested(f, m.Partition.set) }
	case kindHandover:
		m := &Handover{}
		return m, m.set
	case kindCensus:
		m := &Census{}
		return m, m.set
	case kindNoted:
		m := &Noted{}
		return m, m.set
	case kindCall:
		m := &Call{}
		return m, m.set
	case kindReply:
		m := &Reply{}
		return m, m.set
	case kindOwnerRecord:
		m := &OwnerRecord{}
		return m, func(f appender.Field) error { return f.Uint(&m.Epoch) }
	case kindWaiting:
		m := &Waiting{}
		return m, m.set
	}
	return nil, nil
}

func (m *JobRecord) set(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.Text(&m.ID, MaxName)
	case 2:
		return f.Text(&m.Queue, MaxName)
	case 3:
		return f.Text(&m.Service, MaxName)
	case 4:
		return f.Uint(&m.Attempts)
	case 5:
		return f.Uint(&m.Priority)
	case 6:
		return f.Text(&m.Spec, MaxSpec)
	case 7:
		s, err := grow(&m.Steps)
		if err != nil {
			return err
		}
		return nested(f, s.set)
	case 8:
		t, err := grow(&m.Tasks)
		if err != nil {
			return err
		}
		return nested(f, t.set)
	case 9:
		return setBool(f, &m.Cancelled)
	}
	return nil
}

func (s *Step) set(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.Uint(&s.Tasks)
	case 2:
		return setRoom(f, &s.Room)
	case 3:
		return setMillis(f, &s.Estimate)
	case 4:
		n, err := grow(&s.After)
		if err != nil {
			return err
		}
		return f.Uint(n)
	case 5:
		return f.Text(&s.Label, MaxName)
	case 6:
		return f.Text(&s.Rack, MaxName)
	case 7:
		return f.Uint(&s.PerServer)
	}
	return nil
}

func (t *TaskRecord) set(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.Uint(&t.Index)
	case 2:
		return f.Uint(&t.Attempt)
	case 3:
		return f.Uint(&t.Failures)
	case 4:
		return setBool(f, &t.Done)
	}
	return nil
}

func (m *EndRecord) set(f appender.Field) error {
	switch f.Tag {
	case 1:
		return setRun(f, &m.Run)
	case 2:
		return setSmall(f, &m.Status)
	}
	return nil
}

func (p *Partition) set(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.Uint(&p.Number)
	case 2:
		return f.Uint(&p.Epoch)
	case 3:
		return f.Uint(&p.Previous)
	}
	return nil
}

func addPartition(f appender.Field, list *[]Partition) error {
	p, err := grow(list)
	if err != nil {
		return err
	}
	return nested(f, p.set)
}

func (m *Handover) set(f appender.Field) error {
	switch f.Tag {
	case 1:
		return nested(f, m.Partition.set)
	case 2:
		r, err := grow(&m.Tasks)
		if err != nil {
			return err
		}
		return setRun(f, r)
	}
	return nil
}

func (m *Census) set(f appender.Field) error {
	switch f.Tag {
	case 1:
		return nested(f, m.Partition.set)
	case 2:
		r, err := grow(&m.Runs)
		if err != nil {
			return err
		}
		return setRun(f, r)
	case 3:
		o, err := grow(&m.Ends)
		if err != nil {
			return err
		}
		return nested(f, o.set)
	}
	return nil
}

func (m *Noted) set(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.Uint(&m.Number)
	case 2:
		return setRun(f, &m.Run)
	case 3:
		return setBool(f, &m.Void)
	}
	return nil
}

func (m *Call) set(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.Uint(&m.Number)
	case 2:
		return setSmall(f, &m.Verb)
	case 3:
		return f.Text(&m.Job, MaxName)
	case 4:
		return f.Text(&m.Queue, MaxName)
	case 5:
		b, err := f.Message(maxFrame)
		m.Body = append([]byte(nil), b...)
		return err
	}
	return nil
}

func (m *Reply) set(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.Uint(&m.Number)
	case 2:
		return setSmall(f, &m.Kind)
	case 3:
		return f.Text(&m.Reason, MaxName)
	case 4:
		return setMillis(f, &m.RetryAfter)
	}
	return nil
}

func (m *Waiting) set(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.Text(&m.Queue, MaxName)
	case 2:
		return f.Uint(&m.Jobs)
	}
	return nil
}
