package marshaler

import (
	"github.com/crocuslb/crocuslb/appender"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// VerdictRuns means that all tasks of the step would be granted a worker at once.
	VerdictRuns Verdict = iota + 1
	// VerdictWaits means that the step would be queued, with a part of its tasks granted at most.
	VerdictWaits
	// VerdictRefused means that the step, and thus its job, would be refused.
	VerdictRefused
)

type (
	// Verdict is what the placing entry would decide about a resource request.
	Verdict uint8

	// Question asks the placing entry what it would decide about the resource requests of a job that is not submitted.
	Question struct {
		Number   uint64 // chosen by the asking entry
		Requests []ResourceRequest
	}

	// Explanation answers a Question. Failure is set if the entry does not explain the requests.
	Explanation struct {
		Number  uint64
		Failure string
		View    View
		Steps   []StepExplanation
	}

	// View describes the data on which an entry bases its decisions.
	View struct {
		Entry            string
		Version          uint64 // of the configuration
		Offset           uint64 // of the configuration
		NewestOffset     uint64 // latest one that another entry reported
		ConfigurationAge timer.Millis
		LoopDelay        timer.Millis // time that the question waited for the event loop
		SinceTick        timer.Millis // time since the entry last handled its timeouts
		Pause            timer.Millis // duration of the latest pause of the process; 0 for none
		SincePause       timer.Millis // time since that pause ended
	}

	// StepExplanation is what the placing entry would decide about the tasks of one step.
	StepExplanation struct {
		Step       uint64
		Tasks      uint64
		Verdict    Verdict
		Reason     string       // of a refusal or a wait
		RetryAfter timer.Millis // with VerdictRefused
		Late       bool         // the expected response time cannot be met
		Wait       timer.Millis // forecast of the wait for the requests that are ordered before it
		Slack      timer.Millis // time until the latest start that meets the expected response time
		MaxWait    timer.Millis // time until the latest start
		Queued     uint64       // number of requests in the queue
		Ahead      uint64       // number of requests that are ordered before it
		Granted    uint64       // number of tasks that would be granted a worker at once
		Workers    []WorkerExplanation
		Excluded   []ExcludedWorkers
		Known      uint64       // number of known workers of the service
		NewestLoad timer.Millis // age of the newest load report of these workers
		OldestLoad timer.Millis // age of the oldest one
	}

	// WorkerExplanation describes a worker that would get tasks of the step, or that comes next.
	WorkerExplanation struct {
		Name        string
		Domain      string
		Tasks       uint64 // number of tasks that it would get at once
		Reason      string
		Free        Resources // before these tasks
		Speed       uint64    // thousandths of the speed that run time estimates assume
		ExpectedRun timer.Millis
		LoadAge     timer.Millis
	}

	// ExcludedWorkers counts the workers that get no task for the same reason.
	ExcludedWorkers struct {
		Reason  string
		Workers uint64
		Example string // name of one of them
	}
)

// String returns the name that scripts use.
func (v Verdict) String() string {
	names := [...]string{"none", "runs", "waits", "refused"}
	if int(v) < len(names) {
		return names[v]
	}
	return "unknown"
}

// appendExplanation appends messages that explain decisions.
func appendExplanation(dst []byte, m Message) []byte {
	switch m := m.(type) {
	case *Question:
		dst = appender.AppendUint(append(dst, kindQuestion), 1, m.Number)
		for i := range m.Requests {
			dst = appendNested(dst, 2, func(b []byte) []byte { return appendResourceRequest(b, &m.Requests[i]) })
		}
		return dst
	case *Explanation:
		dst = appender.AppendUint(append(dst, kindExplanation), 1, m.Number)
		dst = appender.AppendString(dst, 2, m.Failure)
		dst = appendNested(dst, 3, func(b []byte) []byte { return appendView(b, &m.View) })
		for i := range m.Steps {
			dst = appendNested(dst, 4, func(b []byte) []byte { return appendStepExplanation(b, &m.Steps[i]) })
		}
		return dst
	}
	return appendDurable(dst, m)
}

func appendView(b []byte, v *View) []byte {
	b = appender.AppendString(b, 1, v.Entry)
	b = appender.AppendUint(b, 2, v.Version)
	b = appender.AppendUint(b, 3, v.Offset)
	b = appender.AppendUint(b, 4, v.NewestOffset)
	b = appendZigZag(b, 5, int64(v.ConfigurationAge))
	b = appendZigZag(b, 6, int64(v.LoopDelay))
	b = appendZigZag(b, 7, int64(v.SinceTick))
	b = appendZigZag(b, 8, int64(v.Pause))
	return appendZigZag(b, 9, int64(v.SincePause))
}

func appendStepExplanation(b []byte, s *StepExplanation) []byte {
	b = appender.AppendUint(b, 1, s.Step)
	b = appender.AppendUint(b, 2, s.Tasks)
	b = appender.AppendUint(b, 3, uint64(s.Verdict))
	b = appender.AppendString(b, 4, s.Reason)
	b = appendZigZag(b, 5, int64(s.RetryAfter))
	b = appendBool(b, 6, s.Late)
	b = appendZigZag(b, 7, int64(s.Wait))
	b = appendZigZag(b, 8, int64(s.Slack))
	b = appendZigZag(b, 9, int64(s.MaxWait))
	b = appender.AppendUint(b, 10, s.Queued)
	b = appender.AppendUint(b, 11, s.Ahead)
	b = appender.AppendUint(b, 12, s.Granted)
	for i := range s.Workers {
		b = appendNested(b, 13, func(b []byte) []byte { return appendWorkerExplanation(b, &s.Workers[i]) })
	}
	for i := range s.Excluded {
		e := &s.Excluded[i]
		b = appendNested(b, 14, func(b []byte) []byte {
			b = appender.AppendString(b, 1, e.Reason)
			b = appender.AppendUint(b, 2, e.Workers)
			return appender.AppendString(b, 3, e.Example)
		})
	}
	b = appender.AppendUint(b, 15, s.Known)
	b = appendZigZag(b, 16, int64(s.NewestLoad))
	return appendZigZag(b, 17, int64(s.OldestLoad))
}

func appendWorkerExplanation(b []byte, w *WorkerExplanation) []byte {
	b = appender.AppendString(b, 1, w.Name)
	b = appender.AppendString(b, 2, w.Domain)
	b = appender.AppendUint(b, 3, w.Tasks)
	b = appender.AppendString(b, 4, w.Reason)
	b = appendResources(b, 5, w.Free)
	b = appender.AppendUint(b, 6, w.Speed)
	b = appendZigZag(b, 7, int64(w.ExpectedRun))
	return appendZigZag(b, 8, int64(w.LoadAge))
}

// explanationDecoder implements decoder for messages that explain decisions.
func explanationDecoder(kind byte) (Message, func(f appender.Field) error) {
	switch kind {
	case kindQuestion:
		m := &Question{}
		return m, m.setField
	case kindExplanation:
		m := &Explanation{}
		return m, m.setField
	}
	return durableDecoder(kind)
}

func (m *Question) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreUint(&m.Number)
	case 2:
		r, err := appendZero(&m.Requests)
		if err != nil {
			return err
		}
		return decodeNested(f, r.setField)
	}
	return nil
}

func (m *Explanation) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreUint(&m.Number)
	case 2:
		return f.StoreString(&m.Failure, MaxNameLen)
	case 3:
		return decodeNested(f, m.View.setField)
	case 4:
		s, err := appendZero(&m.Steps)
		if err != nil {
			return err
		}
		return decodeNested(f, s.setField)
	}
	return nil
}

func (v *View) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreString(&v.Entry, MaxNameLen)
	case 2:
		return f.StoreUint(&v.Version)
	case 3:
		return f.StoreUint(&v.Offset)
	case 4:
		return f.StoreUint(&v.NewestOffset)
	case 5:
		return setMillis(f, &v.ConfigurationAge)
	case 6:
		return setMillis(f, &v.LoopDelay)
	case 7:
		return setMillis(f, &v.SinceTick)
	case 8:
		return setMillis(f, &v.Pause)
	case 9:
		return setMillis(f, &v.SincePause)
	}
	return nil
}

func (s *StepExplanation) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreUint(&s.Step)
	case 2:
		return f.StoreUint(&s.Tasks)
	case 3:
		return setUint8(f, &s.Verdict)
	case 4:
		return f.StoreString(&s.Reason, MaxNameLen)
	case 5:
		return setMillis(f, &s.RetryAfter)
	case 6:
		return setBool(f, &s.Late)
	case 7:
		return setMillis(f, &s.Wait)
	case 8:
		return setMillis(f, &s.Slack)
	case 9:
		return setMillis(f, &s.MaxWait)
	case 10:
		return f.StoreUint(&s.Queued)
	case 11:
		return f.StoreUint(&s.Ahead)
	case 12:
		return f.StoreUint(&s.Granted)
	case 15:
		return f.StoreUint(&s.Known)
	case 16:
		return setMillis(f, &s.NewestLoad)
	case 17:
		return setMillis(f, &s.OldestLoad)
	}
	return s.setListField(f)
}

func (s *StepExplanation) setListField(f appender.Field) error {
	switch f.Tag {
	case 13:
		w, err := appendZero(&s.Workers)
		if err != nil {
			return err
		}
		return decodeNested(f, w.setField)
	case 14:
		e, err := appendZero(&s.Excluded)
		if err != nil {
			return err
		}
		return decodeNested(f, e.setField)
	}
	return nil
}

func (w *WorkerExplanation) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreString(&w.Name, MaxNameLen)
	case 2:
		return f.StoreString(&w.Domain, MaxNameLen)
	case 3:
		return f.StoreUint(&w.Tasks)
	case 4:
		return f.StoreString(&w.Reason, MaxNameLen)
	case 5:
		return setResources(f, &w.Free)
	case 6:
		return f.StoreUint(&w.Speed)
	case 7:
		return setMillis(f, &w.ExpectedRun)
	case 8:
		return setMillis(f, &w.LoadAge)
	}
	return nil
}

func (e *ExcludedWorkers) setField(f appender.Field) error {
	switch f.Tag {
	case 1:
		return f.StoreString(&e.Reason, MaxNameLen)
	case 2:
		return f.StoreUint(&e.Workers)
	case 3:
		return f.StoreString(&e.Example, MaxNameLen)
	}
	return nil
}
