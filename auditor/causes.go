package auditor

import "strings"

// cause explains the loss of a job.
type cause struct {
	// in is a text within the answer, or within the end of the latest repeated attempt, that shows the cause.
	in     string
	cause  string
	better string
}

var (
	// answers are the causes that the answer itself shows.
	answers = []cause{
		{"no configuration", "refused: the entry had no configuration", "a configuration from another process; nothing when all were restarted and the store is away"},
		{"no such queue", "refused: no such queue", "the caller"},
		{"no backend server of the service", "refused: no worker was known", "sooner sessions and announcements after a restart"},
		{"no worker is large enough", "refused: larger than any worker", "capacity"},
		{"no answer from the placing entry", "refused: the placing entry did not answer", "sooner detection of a lost placing entry"},
		{"no room in time", "refused: no room within the caller's patience", "capacity; the order of the queue"},
		{"queue is too long", "refused on arrival: the queue was too long", "capacity; the order of the queue"},
		{"queue is full", "refused on arrival: the queue was full", "capacity"},
		{"no owner at present", "refused: a kept job's partition had no owner", "sooner take-over of partitions"},
		{"owner did not answer", "open: a kept job's owner did not answer", "sooner take-over of partitions"},
		{"store did not answer", "open: the store did not take a kept job's record in time", "the store"},
		{"failed as often", "failed: a task failed as often as allowed", "another worker for the repeated attempts; nothing when the job is at fault"},
		{"internal error", "open: the handling of the request panicked", "a fix of the fault in the log"},
		{"the entry ends", "open: the entry stopped before the job ended", "a longer drain time"},
	}
	// attempts are the causes that the end of the latest repeated attempt shows.
	attempts = []cause{
		{"no answer to the start", "an order to a backend server had no answer", "a certain end of that order found sooner"},
		{"stalled", "a task stood still on its worker", "work kept off a worker from its first sign of silence"},
		{"sidecar was lost", "a sidecar was lost with a task", "sooner certainty about the end of its lease"},
		{"not held by the sidecar", "a sidecar was restarted or reached late with a task", "a second run elsewhere where the job allows it"},
		{"backend server", "a backend server was lost with a task", "sooner detection of its silence"},
		{"no room", "a task was granted room that was taken", "one view of the room at a time"},
		{"failed", "a task failed and was repeated", "work kept off a worker that fails"},
		{"entry is lost", "a sidecar did not hear the entry", "detection that tells a slow process from a lost one"},
	}
)

// causeOf returns why a job was lost or late.
func causeOf(j *job) cause {
	if j.done {
		c := find(attempts, j.requeue, cause{cause: "the job waited for room or ran longer than estimated", better: "capacity; the order of the queue"})
		c.cause = "late by its estimated run time: " + c.cause
		return c
	}
	if c := find(answers, j.answer, cause{}); c.cause != "" {
		return c
	}
	c := find(attempts, j.requeue, cause{})
	switch {
	case strings.Contains(j.answer, "caller left") && c.cause == "":
		return cause{cause: "the caller left", better: "nothing, unless it waited for long"}
	case strings.Contains(j.answer, "caller left"):
		c.cause = "the caller left, after " + c.cause
		return c
	case j.answer != "" && c.cause != "":
		c.cause = "deadline passed, after " + c.cause
		return c
	case j.answer != "":
		return cause{cause: "deadline passed", better: "an earlier first start; the log lines of the job tell which wait was the longest"}
	case j.granted:
		return cause{cause: "no answer: the entry was lost with the job", better: "nothing when the machine went; a planned stop hands over"}
	}
	return cause{cause: "no answer: the entry was lost before the job got room", better: "nothing when the machine went; a planned stop hands over"}
}

func find(causes []cause, text string, otherwise cause) cause {
	for _, c := range causes {
		if strings.Contains(text, c.in) {
			return c
		}
	}
	return otherwise
}
