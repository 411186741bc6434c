package submitter

import (
	"testing"

	"github.com/crocuslb/crocuslb/marshaler"
)

// TestGrantsBeyondLimit guards against two tasks of a step on one backend server although its limit is one: the placing entry
// grants the server twice, because it does not count a grant that is still on its way when the next request was sent.
func TestGrantsBeyondLimit(t *testing.T) {
	f := newFixture()
	f.core.Submit(f.now, Job{
		ID: "job", Queue: testQueue, Deadline: 2000, Answer: func(Answer) {},
		Steps: []marshaler.Step{{Tasks: 2, Resources: marshaler.Resources{CPU: 3000}, Estimate: 100, ServerTaskLimit: 1}},
	})
	f.core.onGrant(&marshaler.Grant{Job: "job", Sidecars: []string{"side-a"}})
	f.core.onGrant(&marshaler.Grant{Job: "job", Sidecars: []string{"side-a"}})
	if len(f.starts) != 1 {
		t.Errorf("got starts %v, want one on side-a", f.starts)
	}
	f.load("side-a")
	f.load("side-b")
	f.core.Flush(f.now)
	if len(f.starts) != 2 || f.starts[1].sidecar != "side-b" {
		t.Errorf("got starts %v, want the second on side-b", f.starts)
	}
}
