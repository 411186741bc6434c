package router

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/crocuslb/crocuslb/appender"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	maxTextLen    = 4096    // bytes
	maxMessageLen = 4 << 20 // bytes, of an encoded queue or service
)

// Append appends the encoded snapshot to b. Processes use this format to forward the configuration to each other.
func (s *Snapshot) Append(b []byte) []byte {
	b = appender.AppendUint(b, 1, s.Offset)
	b = appender.AppendUint(b, 2, s.Version)
	b = appender.AppendUint(b, 3, s.Limits.HeaderBytesLimit)
	b = appender.AppendUint(b, 4, s.Limits.BodyBytesLimit)
	for i := range s.queues {
		b = appendMessage(b, 5, s.queues[i].append(nil))
	}
	for _, v := range s.services {
		body := appender.AppendString(nil, 1, v.Name)
		body = appender.AppendUint(body, 2, protowire.EncodeBool(v.EnforcesCapacity))
		body = appender.AppendUint(body, 3, protowire.EncodeBool(v.Standby))
		b = appendMessage(b, 6, body)
	}
	for domain := range s.withdrawn {
		b = appendMessage(b, 7, []byte(domain))
	}
	return b
}

// Decode decodes a snapshot encoded by Append. It ignores unknown fields.
func Decode(b []byte) (Snapshot, error) {
	var (
		s        Snapshot
		queues   []Queue
		services []Service
	)
	err := appender.RangeFields(b, func(f appender.Field) error {
		switch f.Tag {
		case 1:
			return f.StoreUint(&s.Offset)
		case 2:
			return f.StoreUint(&s.Version)
		case 3:
			return f.StoreUint(&s.Limits.HeaderBytesLimit)
		case 4:
			return f.StoreUint(&s.Limits.BodyBytesLimit)
		case 5:
			q, err := decodeQueue(f)
			queues = append(queues, q)
			return err
		case 6:
			v, err := decodeService(f)
			services = append(services, v)
			return err
		case 7:
			var domain string
			err := f.StoreString(&domain, maxTextLen)
			s = s.WithDomain(domain, true)
			return err
		}
		return nil
	})
	if err != nil {
		return Snapshot{}, err
	}
	return s.WithConfiguration(s.Version, queues, services, s.Limits), nil
}

func (q *Queue) append(b []byte) []byte {
	b = appender.AppendString(b, 1, q.Name)
	b = appender.AppendString(b, 2, q.Host)
	b = appender.AppendString(b, 3, q.URLPrefix)
	b = appender.AppendString(b, 4, q.Service)
	b = appender.AppendUint(b, 5, q.Priority)
	b = appender.AppendUint(b, 6, q.AttemptLimit)
	b = appender.AppendUint(b, 7, math.Float64bits(q.Stretch))
	b = appender.AppendUint(b, 8, uint64(q.ResponseAllowance))
	b = appender.AppendUint(b, 9, protowire.EncodeBool(q.UsesAdvice))
	return appender.AppendUint(b, 10, uint64(q.Timeout))
}

func decodeQueue(f appender.Field) (q Queue, err error) {
	body, err := f.BytesValue(maxMessageLen)
	if err != nil {
		return q, err
	}
	var stretch, target, advised, timeout uint64
	err = appender.RangeFields(body, func(f appender.Field) error {
		switch f.Tag {
		case 1:
			return f.StoreString(&q.Name, maxTextLen)
		case 2:
			return f.StoreString(&q.Host, maxTextLen)
		case 3:
			return f.StoreString(&q.URLPrefix, maxTextLen)
		case 4:
			return f.StoreString(&q.Service, maxTextLen)
		case 5:
			return f.StoreUint(&q.Priority)
		case 6:
			return f.StoreUint(&q.AttemptLimit)
		case 7:
			return f.StoreUint(&stretch)
		case 8:
			return f.StoreUint(&target)
		case 9:
			return f.StoreUint(&advised)
		case 10:
			return f.StoreUint(&timeout)
		}
		return nil
	})
	q.Timeout = timer.Millis(timeout)
	q.Stretch, q.ResponseAllowance, q.UsesAdvice = math.Float64frombits(stretch), timer.Millis(target), advised != 0
	return q, err
}

func decodeService(f appender.Field) (v Service, err error) {
	body, err := f.BytesValue(maxMessageLen)
	if err != nil {
		return v, err
	}
	var guarded, standby uint64
	err = appender.RangeFields(body, func(f appender.Field) error {
		switch f.Tag {
		case 1:
			return f.StoreString(&v.Name, maxTextLen)
		case 2:
			return f.StoreUint(&guarded)
		case 3:
			return f.StoreUint(&standby)
		}
		return nil
	})
	v.EnforcesCapacity, v.Standby = guarded != 0, standby != 0
	return v, err
}

func appendMessage(b []byte, tag protowire.Number, body []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, tag, protowire.BytesType), body)
}
