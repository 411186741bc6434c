package marshaler

import (
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/crocuslb/crocuslb/appender"
)

// appendDurable appends messages and records of durable jobs.
func appendDurable(dst []byte, m Message) []byte {
	switch m := m.(type) {
	case *JobRecord:
		return appendJobRecord(append(dst, kindJobRecord), m)
	case *EndRecord:
		dst = appendRunKey(append(dst, kindEndRecord), 1, &m.Run)
		return appender.AppendUint(dst, 2, uint64(m.Status))
	case *CrashRecord:
		dst = appendRunKey(append(dst, kindCrashRecord), 1, &m.Run)
		dst = appendBool(dst, 2, m.GivenUp)
		return appender.AppendString(dst, 3, m.Sidecar)
	case *OwnerRecord:
		return appender.AppendUint(append(dst, kindOwnerRecord), 1, m.Epoch)
	case *CancelRecord:
		return appender.AppendString(append(dst, kindCancelRecord), 1, m.Job)
	case *OwnedPartitions:
		return appendPartitions(append(dst, kindOwnedPartitions), m.Partitions)
	case *Claim:
		return appendPartitions(append(dst, kindClaim), m.Partitions)
	case *Release:
		return appendPartition(append(dst, kindRelease), 1, m.Partition)
	case *Handover:
		dst = appendPartition(append(dst, kindHandover), 1, m.Partition)
		for i := range m.Tasks {
			dst = appendRunKey(dst, 2, &m.Tasks[i])
		}
		return dst
	case *Census:
		return appendPartitionReport(append(dst, kindCensus), m)
	case *OutcomeAck:
		dst = appender.AppendUint(append(dst, kindOutcomeAck), 1, m.Number)
		dst = appendRunKey(dst, 2, &m.Run)
		return appendBool(dst, 3, m.Void)
	case *Call:
		dst = appender.AppendUint(append(dst, kindCall), 1, m.Number)
		dst = appender.AppendUint(dst, 2, uint64(m.Verb))
		dst = appender.AppendString(dst, 3, m.Job)
		dst = appender.AppendString(dst, 4, m.Queue)
		dst = appendBytes(dst, 5, m.Body)
		return appender.AppendUint(dst, 6, m.Epoch)
	case *Reply:
		dst = appender.AppendUint(append(dst, kindReply), 1, m.Number)
		dst = appender.AppendUint(dst, 2, uint64(m.Kind))
		dst = appendReason(dst, 3, m.Reason)
		return appendZigZag(dst, 4, int64(m.RetryAfter))
	case *QueueBacklog:
		dst = appender.AppendString(append(dst, kindQueueBacklog), 1, m.Queue)
		return appender.AppendUint(dst, 2, m.Jobs)
	}
	return appendJobMessage(dst, m)
}

func appendJobRecord(dst []byte, m *JobRecord) []byte {
	dst = appender.AppendString(dst, 1, m.ID)
	dst = appender.AppendString(dst, 2, m.Queue)
	dst = appender.AppendString(dst, 3, m.Service)
	dst = appender.AppendUint(dst, 4, m.Attempts)
	dst = appender.AppendUint(dst, 5, m.Priority)
	dst = appender.AppendString(dst, 6, m.Spec)
	for i := range m.Steps {
		dst = appendNested(dst, 7, func(b []byte) []byte { return appendStep(b, &m.Steps[i]) })
	}
	for i := range m.Tasks {
		t := &m.Tasks[i]
		dst = appendNested(dst, 8, func(b []byte) []byte {
			b = appender.AppendUint(b, 1, t.Index)
			b = appender.AppendUint(b, 2, t.Attempt)
			b = appender.AppendUint(b, 3, t.Failures)
			b = appendBool(b, 4, t.Done)
			for n := range t.Crashes {
				b = appendNested(b, 5, t.Crashes[n].append)
			}
			b = appendBool(b, 6, t.GivenUp)
			return appendUints(b, 7, t.FailedAttempts)
		})
	}
	return appendBool(dst, 9, m.Cancelled)
}

func (c *TaskCrash) append(b []byte) []byte {
	b = appender.AppendUint(b, 1, c.Attempt)
	return appender.AppendString(b, 2, c.Sidecar)
}

func appendStep(b []byte, s *Step) []byte {
	b = appender.AppendUint(b, 1, s.Tasks)
	b = appendResources(b, 2, s.Resources)
	b = appendZigZag(b, 3, int64(s.Estimate))
	b = appendUints(b, 4, s.After)
	b = appender.AppendString(b, 5, s.Label)
	b = appender.AppendString(b, 6, s.Rack)
	return appender.AppendUint(b, 7, s.ServerTaskLimit)
}

func appendUints(b []byte, tag protowire.Number, list []uint64) []byte {
	for _, n := range list {
		b = protowire.AppendVarint(protowire.AppendTag(b, tag, protowire.VarintType), n)
	}
	return b
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

func appendPartitionReport(dst []byte, m *Census) []byte {
	dst = appendPartition(dst, 1, m.Partition)
	for i := range m.Runs {
		dst = appendRunKey(dst, 2, &m.Runs[i])
	}
	for i := range m.Ends {
		dst = appendNested(dst, 3, func(b []byte) []byte { return appendOutcome(b, &m.Ends[i]) })
	}
	for i := range m.Crashes {
		dst = appendNested(dst, 4, func(b []byte) []byte { return appendOutcome(b, &m.Crashes[i]) })
	}
	return dst
}

// durableDecoder implements decoder for messages and records of durable jobs.
func durableDecoder(kind byte) (Message, func(f appender.Field) error) {
	switch kind {
	case kindJobRecord:
		m := &JobRecord{}
		return m, m.setField
	case kindEndRecord:
		m := &EndRecord{}
		return m, m.setField
	case kindCrashRecord:
		m := &CrashRecord{}
		return m, m.setField
	case kindCancelRecord:
		m := &CancelRecord{}
		return m, func(f appender.Field) error { return f.StoreString(&m.Job, MaxNameLen) }
	case kindOwnedPartitions:
		m := &OwnedPartitions{}
		return m, func(f appender.Field) error { return appendDecodedPartition(f, &m.Partitions) }
	case kindClaim:
		m := &Claim{}
		return m, func(f appender.Field) error { return appendDecodedPartition(f, &m.Partitions) }
	case kindRelease:
		m := &Release{}
		return m, func(f appender.Field) error { return decodeNested(f, m.Partition.setField) }
	case kindHandover:
		m := &Handover{}
		return m, m.setField
	case kindCensus:
		m := &Census{}
		return m, m.setField
	case kindOutcomeAck:
		m := &OutcomeAck{}
		return m, m.setField
	case kindCall:
		m := &Call{}
		return m, m.setField
	case kindReply:
		m := &Reply{}
		return m, m.setField
	case kindOwnerRecord:
		m := &OwnerRecord{}
		return m, func(f appender.Field) error { return f.StoreUint(&m.Epoch) }
	case kindQueueBacklog:
		m := &QueueBacklog{}
		return m, m.setField
	}
	return jobHandoverDecoder(kind)
}

func (m *JobRecord) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreString(&m.ID, MaxNameLen)
	case 2:
		return f.StoreString(&m.Queue, MaxNameLen)
	case 3:
		return f.StoreString(&m.Service, MaxNameLen)
	case 4:
		return f.StoreUint(&m.Attempts)
	case 5:
		return f.StoreUint(&m.Priority)
	case 6:
		return f.StoreString(&m.Spec, MaxSpecLen)
	case 7:
		s, err := appendZero(&m.Steps)
		if err != nil {
			return err
		}
		return decodeNested(f, s.setField)
	case 8:
		t, err := appendZero(&m.Tasks)
		if err != nil {
			return err
		}
		return decodeNested(f, t.setField)
	case 9:
		return setBool(f, &m.Cancelled)
	}
	return nil
}

func (s *Step) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreUint(&s.Tasks)
	case 2:
		return setResources(f, &s.Resources)
	case 3:
		return setMillis(f, &s.Estimate)
	case 4:
		return storeNextUint(f, &s.After)
	case 5:
		return f.StoreString(&s.Label, MaxNameLen)
	case 6:
		return f.StoreString(&s.Rack, MaxNameLen)
	case 7:
		return f.StoreUint(&s.ServerTaskLimit)
	}
	return nil
}

// storeNextUint appends an unsigned integer to a list.
func storeNextUint(f appender.Field, list *[]uint64) error {
	n, err := appendZero(list)
	if err != nil {
		return err
	}
	return f.StoreUint(n)
}

func (t *TaskRecord) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreUint(&t.Index)
	case 2:
		return f.StoreUint(&t.Attempt)
	case 3:
		return f.StoreUint(&t.Failures)
	case 4:
		return setBool(f, &t.Done)
	case 5:
		c, err := appendZero(&t.Crashes)
		if err != nil {
			return err
		}
		return decodeNested(f, c.setField)
	case 6:
		return setBool(f, &t.GivenUp)
	case 7:
		return storeNextUint(f, &t.FailedAttempts)
	}
	return nil
}

func (c *TaskCrash) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreUint(&c.Attempt)
	case 2:
		return f.StoreString(&c.Sidecar, MaxNameLen)
	}
	return nil
}

func (m *EndRecord) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return setRunKey(f, &m.Run)
	case 2:
		return setUint8(f, &m.Status)
	}
	return nil
}

func (m *CrashRecord) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return setRunKey(f, &m.Run)
	case 2:
		return setBool(f, &m.GivenUp)
	case 3:
		return f.StoreString(&m.Sidecar, MaxNameLen)
	}
	return nil
}

func (p *Partition) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreUint(&p.Number)
	case 2:
		return f.StoreUint(&p.Epoch)
	case 3:
		return f.StoreUint(&p.Previous)
	}
	return nil
}

func appendDecodedPartition(f appender.Field, list *[]Partition) error {
	p, err := appendZero(list)
	if err != nil {
		return err
	}
	return decodeNested(f, p.setField)
}

func (m *Handover) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return decodeNested(f, m.Partition.setField)
	case 2:
		r, err := appendZero(&m.Tasks)
		if err != nil {
			return err
		}
		return setRunKey(f, r)
	}
	return nil
}

func (m *Census) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return decodeNested(f, m.Partition.setField)
	case 2:
		r, err := appendZero(&m.Runs)
		if err != nil {
			return err
		}
		return setRunKey(f, r)
	case 3:
		o, err := appendZero(&m.Ends)
		if err != nil {
			return err
		}
		return decodeNested(f, o.setField)
	case 4:
		o, err := appendZero(&m.Crashes)
		if err != nil {
			return err
		}
		return decodeNested(f, o.setField)
	}
	return nil
}

func (m *OutcomeAck) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreUint(&m.Number)
	case 2:
		return setRunKey(f, &m.Run)
	case 3:
		return setBool(f, &m.Void)
	}
	return nil
}

func (m *Call) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreUint(&m.Number)
	case 2:
		return setUint8(f, &m.Verb)
	case 3:
		return f.StoreString(&m.Job, MaxNameLen)
	case 4:
		return f.StoreString(&m.Queue, MaxNameLen)
	case 5:
		b, err := f.BytesValue(maxNestedLen)
		m.Body = append([]byte(nil), b...)
		return err
	case 6:
		return f.StoreUint(&m.Epoch)
	}
	return nil
}

func (m *Reply) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreUint(&m.Number)
	case 2:
		return setUint8(f, &m.Kind)
	case 3:
		return f.StoreString(&m.Reason, MaxNameLen)
	case 4:
		return setMillis(f, &m.RetryAfter)
	}
	return nil
}

func (m *QueueBacklog) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreString(&m.Queue, MaxNameLen)
	case 2:
		return f.StoreUint(&m.Jobs)
	}
	return nil
}
