package dispatcher

import (
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// answerOverhead is the assumed size in bytes of a cached answer without its key and bodies.
const answerOverhead = 300

const (
	// maxAnswerPartBytes bounds the results in one part of an answer. It leaves room in the frame for the other fields.
	maxAnswerPartBytes = encoder.MaxFrameSize / 2
	resultOverhead     = 16 // encoded size of a result without its body, in bytes
)

type (
	// answerCache holds the answers of ended submissions, oldest first. When a bound is reached, the oldest answers are
	// evicted and only the hashes of their keys are kept, so that their tasks cannot start again.
	answerCache struct {
		byKey   map[string]cachedAnswer
		order   []cachedKey
		bytes   int
		evicted keySet
	}

	cachedAnswer struct {
		answer encoder.Answer
		digest uint64
		size   int
	}

	cachedKey struct {
		key     string
		endedAt timer.Millis
	}
)

func failedAnswer(key string, code encoder.FailureCode, o encoder.Outcome, reason string) encoder.Answer {
	return encoder.Answer{Key: key, State: encoder.JobFailed, Outcome: o, Code: code, Reason: reason}
}

func conflictAnswer(key string) encoder.Answer {
	return failedAnswer(key, encoder.CodeConflict, encoder.OutcomeNotRun, "the key is in use with other content")
}

// refusalAnswer returns the answer to a submission that fails before this entry started a task. The outcome is "not run"
// only if no former owner may have started tasks of the key.
func (c *Core) refusalAnswer(key string, code encoder.FailureCode, reason string) encoder.Answer {
	o := encoder.OutcomeNotRun
	if !c.isSettled(key) || c.formerOwnerMayHaveStarted(key) {
		o = encoder.OutcomeUnknown
	}
	return failedAnswer(key, code, o, reason)
}

func (c *Core) answer(w waiter, a encoder.Answer) {
	if w.session == 0 {
		c.effects = append(c.effects, Effect{Kind: EffectAnswer, Request: w.request, Answer: a})
		return
	}
	if c.sessions[w.session] != nil {
		c.sendForwardAnswer(w, a)
	}
}

// sendForwardAnswer sends an answer to the entry that forwarded the request. The answer is split into parts if its results
// do not fit into one frame.
func (c *Core) sendForwardAnswer(w waiter, a encoder.Answer) {
	if resultBytes(a.Results) <= maxAnswerPartBytes {
		c.send(w.session, &encoder.ForwardAnswer{ID: w.forward, Answer: a})
		return
	}
	for first := 0; first < len(a.Results); {
		part, size := a, 0
		end := first
		for end < len(a.Results) && (end == first || size+len(a.Results[end].Body) <= maxAnswerPartBytes) {
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

// submissionAnswer returns the current answer for a key that this entry owns.
func (c *Core) submissionAnswer(key string) encoder.Answer {
	if c.submissions[key] != nil {
		return encoder.Answer{Key: key, State: encoder.JobRunning}
	}
	if k, ok := c.answerCache.byKey[key]; ok {
		return k.answer
	}
	return failedAnswer(key, encoder.CodeNotFound, encoder.OutcomeUnknown, "the key is not known")
}

// cacheAnswer stores the answer of an ended submission. A refusal is not stored, so that the caller may submit again.
func (c *Core) cacheAnswer(digest uint64, a encoder.Answer) {
	if a.Outcome == encoder.OutcomeNotRun && a.Code != encoder.CodeCanceled && a.Code != encoder.CodeDeadline {
		return
	}
	k := &c.answerCache
	if k.byKey == nil {
		k.byKey = map[string]cachedAnswer{}
	}
	size := answerOverhead + 2*len(a.Key) + len(a.Reason)
	for i := range a.Results {
		size += 24 + len(a.Results[i].Body)
	}
	k.byKey[a.Key] = cachedAnswer{answer: a, digest: digest, size: size}
	k.order = append(k.order, cachedKey{a.Key, c.now})
	k.bytes += size
	for len(k.byKey) > c.settings.MaxCachedAnswers || k.bytes > c.settings.MaxCachedAnswerBytes {
		k.evicted.add(c.hashKey(k.evictOldest()))
	}
}

func (k *answerCache) evictOldest() string {
	key := k.order[0].key
	k.order = k.order[1:]
	k.bytes -= k.byKey[key].size
	delete(k.byKey, key)
	return key
}

func (k *answerCache) knownKeys() int { return len(k.byKey) + k.evicted.size() }

func (c *Core) removeExpiredAnswers() {
	k := &c.answerCache
	for len(k.order) > 0 && k.order[0].endedAt+c.settings.KeyRetention < c.now {
		k.evictOldest()
	}
	k.evicted.rotateIfDue(c.now, c.settings.KeyRetention)
}
