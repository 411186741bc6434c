package auditor

import "strings"

// cause describes why a job was lost or late.
type cause struct {
	// pattern is a substring that identifies the cause. It occurs in the answer or in the end of the attempt before the
	// latest requeue.
	pattern     string
	cause       string
	improvement string
}

var (
	// answerCauses are the causes that the answer identifies.
	answerCauses = []cause{
		{"no configuration", "refused: the entry had no configuration", "a configuration from another process; nothing when all were restarted while the store was unavailable"},
		{"no such queue", "refused: no such queue", "the caller"},
		{"no backend server of the service", "refused: no worker was known", "faster reconnection and announcement after a restart"},
		{"no worker is large enough", "refused: larger than any worker", "capacity"},
		{"no answer from the placing entry", "refused: the placing entry did not answer", "faster detection of a lost placing entry"},
		{"no room in time", "refused: no room within the caller's patience", "capacity; the order of the queue"},
		{"queue is too long", "refused on arrival: the queue was too long", "capacity; the order of the queue"},
		{"queue is full", "refused on arrival: the queue was full", "capacity"},
		{"no owner at present", "refused: a kept job's partition had no owner", "faster takeover of partitions"},
		{"owner did not answer", "open: a kept job's owner did not answer", "faster takeover of partitions"},
		{"store did not answer", "open: the store did not take a kept job's record in time", "the store"},
		{"failed as often", "failed: a task failed as often as allowed", "another worker for the retries; nothing when the job itself is faulty"},
		{"crashed under a task", "failed: a task crashed its backend servers", "the job"},
		{"crash backend servers", "refused: the queue is confined, because its tasks crash backend servers", "the jobs of the queue"},
		{"internal error", "open: the handling of the request panicked", "a fix of the panic that the log shows"},
		{"the entry ends", "open: the entry stopped before the job ended", "a longer drain time"},
	}
	// requeueCauses are the causes that the end of the attempt before the latest requeue identifies.
	requeueCauses = []cause{
		{"no answer to the start", "an order to a backend server had no answer", "faster confirmation that the order has ended"},
		{"stalled", "a task stood still on its worker", "no placement on a worker as soon as it stops responding"},
		{"sidecar was lost", "a sidecar was lost with a task", "faster confirmation that its lease has expired"},
		{"not held by the sidecar", "a sidecar was restarted or reached late with a task", "a second run on another worker if the job allows it"},
		{"crashed", "a backend server crashed with a task", "faster detection that it does not respond; tasks that crash servers run apart"},
		{"backend server", "a backend server was lost with a task", "faster detection that it does not respond"},
		{"no room", "a task was granted room that was taken", "a single consistent view of the free capacity"},
		{"failed", "a task failed and was repeated", "no placement on a failing worker"},
		{"entry is lost", "a sidecar did not hear the entry", "failure detection that distinguishes a slow process from a lost one"},
	}
)

// causeOf returns why a job was lost or late.
func causeOf(j *job) cause {
	if j.done {
		c := matchCause(requeueCauses, j.requeueDetail, cause{cause: "the job waited for room or ran longer than estimated", improvement: "capacity; the order of the queue"})
		c.cause = "late by its estimated run time: " + c.cause
		return c
	}
	if c := matchCause(answerCauses, j.answerDetail, cause{}); c.cause != "" {
		return c
	}
	c := matchCause(requeueCauses, j.requeueDetail, cause{})
	switch {
	case strings.Contains(j.answerDetail, "caller left") && c.cause == "":
		return cause{cause: "the caller left", improvement: "nothing, unless the job waited for long"}
	case strings.Contains(j.answerDetail, "caller left"):
		c.cause = "the caller left, after " + c.cause
		return c
	case j.answerDetail != "" && c.cause != "":
		c.cause = "deadline passed, after " + c.cause
		return c
	case j.answerDetail != "":
		return cause{cause: "deadline passed", improvement: "an earlier first start; the log lines of the job show the longest wait"}
	case j.granted:
		return cause{cause: "no answer: the entry was lost with the job", improvement: "nothing when the machine failed; a planned stop hands jobs over"}
	}
	return cause{cause: "no answer: the entry was lost before the job got room", improvement: "nothing when the machine failed; a planned stop hands jobs over"}
}

func matchCause(causes []cause, text string, fallback cause) cause {
	for _, c := range causes {
		if strings.Contains(text, c.pattern) {
			return c
		}
	}
	return fallback
}
