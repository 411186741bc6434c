package dispatcher

import (
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// answerOverhead is the assumed size of a kept answer beside its key and bodies, in bytes.
const answerOverhead = 300

const (
	// maxAnswerPart leaves room in a frame for the answer's other fields.
	maxAnswerPart  = encoder.MaxFrame / 2
	resultOverhead = 16 // encoding of a result besides its body
)

type (
	// kept holds the answers of ended submissions in the order of their ends. When a bound is reached, the oldest
	// answers shrink to hashes of their keys, so that their tasks cannot start again.
	kept struct {
		byKey     map[string]keptAnswer
		order     []keptKey
		bytes     int
		forgotten keySet
	}

	keptAnswer struct {
		answer encoder.Answer
		digest uint64
		size   int
	}

	keptKey struct {
		key   string
		ended timer.Millis
	}
)

func failure(key string, code encoder.FailureCode, o encoder.Outcome, reason string) encoder.Answer {
	return encoder.Answer{Key: key, State: encoder.JobFailed, Outcome: o, Code: code, Reason: reason}
}

func conflict(key string) encoder.Answer {
	return failure(key, encoder.CodeConflict, encoder.OutcomeNotRun, "the key is in use with other content")
}

// refusal is a failure before the first start. The outcome is "not run" only when no earlier owner can have started
// tasks of the key.
func (c *Core) refusal(key string, code encoder.FailureCode, reason string) encoder.Answer {
	o := encoder.OutcomeNotRun
	if !c.settled(key) || c.known(key) {
		o = encoder.OutcomeUnknown
	}
	return failure(key, code, o, reason)
}

func (c *Core) answer(w waiter, a encoder.Answer) {
	if w.session == 0 {
		c.out = append(c.out, Effect{Kind: EffectAnswer, Request: w.request, Answer: a})
		return
	}
	if c.sessions[w.session] != nil {
		c.sendAnswer(w, a)
	}
}

// sendAnswer sends an answer to the entry that forwarded the request, in parts when its results are too large for a frame.
func (c *Core) sendAnswer(w waiter, a encoder.Answer) {
	if resultBytes(a.Results) <= maxAnswerPart {
		c.send(w.session, &encoder.ForwardAnswer{ID: w.forward, Answer: a})
		return
	}
	for first := 0; first < len(a.Results); {
		part, size := a, 0
		end := first
		for end < len(a.Results) && (end == first || size+len(a.Results[end].Body) <= maxAnswerPart) {
			size += len(a.Results[end].Body)
			end++
		}
		part.Results = a.Results[first:end]
		c.send(w.session, &encoder.ForwardAnswer{
			ID: w.forward, Answer: part, First: uint32(first), Total: uint32(len(a.Results)),
		})
		first = end
	}
}

func resultBytes(results []encoder.TaskResult) int {
	n := 0
	for i := range results {
		n += len(results[i].Body) + resultOverhead
	}
	return n
}

// stateOf answers for a key that this entry owns.
func (c *Core) stateOf(key string) encoder.Answer {
	if c.jobs[key] != nil {
		return encoder.Answer{Key: key, State: encoder.JobRunning}
	}
	if k, ok := c.kept.byKey[key]; ok {
		return k.answer
	}
	return failure(key, encoder.CodeNotFound, encoder.OutcomeUnknown, "the key is not known")
}

// keep stores the answer of an ended submission. A refusal is not kept, so that the caller may try again.
func (c *Core) keep(digest uint64, a encoder.Answer) {
	if a.Outcome == encoder.OutcomeNotRun && a.Code != encoder.CodeCanceled && a.Code != encoder.CodeDeadline {
		return
	}
	k := &c.kept
	if k.byKey == nil {
		k.byKey = map[string]keptAnswer{}
	}
	size := answerOverhead + 2*len(a.Key) + len(a.Reason)
	for i := range a.Results {
		size += 24 + len(a.Results[i].Body)
	}
	k.byKey[a.Key] = keptAnswer{answer: a, digest: digest, size: size}
	k.order = append(k.order, keptKey{a.Key, c.now})
	k.bytes += size
	for len(k.byKey) > c.settings.KeptAnswers || k.bytes > c.settings.KeptBytes {
		k.forgotten.add(c.hash(k.dropOldest()))
	}
}

func (k *kept) dropOldest() string {
	key := k.order[0].key
	k.order = k.order[1:]
	k.bytes -= k.byKey[key].size
	delete(k.byKey, key)
	return key
}

func (k *kept) keys() int { return len(k.byKey) + k.forgotten.size() }

func (c *Core) sweepAnswers() {
	k := &c.kept
	for len(k.order) > 0 && k.order[0].ended+c.settings.KeyRetention < c.now {
		k.dropOldest()
	}
	k.forgotten.sweep(c.now, c.settings.KeyRetention)
}
