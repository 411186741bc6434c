package commander

import (
	"errors"
	"strings"
	"testing"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

// TestIdealResponses guards against wrong ideal response times, which would make the ratios of the demo meaningless. The
// expected values were calculated by hand.
func TestIdealResponses(t *testing.T) {
	tests := []struct {
		name   string
		jobs   []demoJob
		slots  int
		outage outage
		want   []timer.Millis
	}{
		{"one task", []demoJob{{arrival: 5, runTimes: []timer.Millis{50}}}, 1, outage{}, []timer.Millis{50}},
		{"parallel tasks", []demoJob{{runTimes: []timer.Millis{50, 70}}}, 2, outage{}, []timer.Millis{70}},
		{"tasks in a row", []demoJob{{runTimes: []timer.Millis{50, 70}}}, 1, outage{}, []timer.Millis{120}},
		{"second job waits", []demoJob{{runTimes: []timer.Millis{50}}, {arrival: 10, runTimes: []timer.Millis{50}}}, 1, outage{}, []timer.Millis{50, 90}},
		{"outage delays the start", []demoJob{{arrival: 10, runTimes: []timer.Millis{50}}}, 1, outage{5, 100, 1}, []timer.Millis{140}},
		{"running task goes on", []demoJob{{runTimes: []timer.Millis{50}}}, 1, outage{5, 100, 1}, []timer.Millis{50}},
		{"other slots go on", []demoJob{{arrival: 10, runTimes: []timer.Millis{50, 50}}}, 2, outage{5, 100, 1}, []timer.Millis{100}},
	}
	for _, tc := range tests {
		got := idealResponses(tc.jobs, tc.slots, tc.outage)
		for i := range tc.want {
			if got[i] != tc.want[i] {
				t.Errorf("%s: got %v, want %v", tc.name, got, tc.want)
				break
			}
		}
	}
}

// TestReportDetectsViolations guards against violated guarantees that the report of the demo does not list.
func TestReportDetectsViolations(t *testing.T) {
	validRun := func() *demo {
		d := &demo{
			jobs: []demoJob{{key: "a", runTimes: []timer.Millis{50, 60}, resubmitEntry: -1}}, cluster: &demoCluster{},
			withdrawRequested: 100, withdrawAccepted: 110, returnRequested: 9000, returnAccepted: 9010, propagationTime: 300,
		}
		d.submissions = []demoSubmission{{job: &d.jobs[0], status: 200, elapsed: 61, answer: encoder.Answer{
			Key: "a", State: encoder.JobComplete,
			Results: []encoder.TaskResult{{Body: []byte(d.jobs[0].result(0))}, {Body: []byte(d.jobs[0].result(1))}},
		}}}
		d.cluster.starts.records = []startRecord{
			{"a", "a/0", "north", 20}, {"a", "a/1", demoWithdrawnDomain, 21}, {"b", "b/0", demoWithdrawnDomain, 3110}, {"b", "b/1", demoWithdrawnDomain, 9020},
		}
		return d
	}
	withAnswer := func(a encoder.Answer) func(d *demo) { return func(d *demo) { d.submissions[0].answer = a } }
	tests := []struct {
		name   string
		modify func(d *demo)
		want   string // substring of the violations; empty for none
	}{
		{"sound", func(*demo) {}, ""},
		{"started twice", func(d *demo) {
			d.cluster.starts.records = append(d.cluster.starts.records, startRecord{"a", "a/0", "west", 30})
		}, "started twice"},
		{"late start", func(d *demo) { d.cluster.starts.records[2].time = 3111 }, "after the withdrawal"},
		{"not in force", func(d *demo) { d.propagationTime = 0 }, "not in force everywhere"},
		{"no return", func(d *demo) { d.cluster.starts.records[3].domain = "west" }, "after its return"},
		{"no answer", func(d *demo) { d.submissions[0].err = errors.New("cut off") }, "no complete answer"},
		{"answer to another", func(d *demo) { d.submissions[0].answer.Key = "b" }, `the answer to "b"`},
		{"partial answer", func(d *demo) { d.submissions[0].answer.Results = d.submissions[0].answer.Results[:1] }, "complete with 1 results"},
		{"results swapped", func(d *demo) { r := d.submissions[0].answer.Results; r[0], r[1] = r[1], r[0] }, "result 0 is"},
		{"complete without a start", func(d *demo) { d.cluster.starts.records[0].job = "c" }, "1 starts for 2 tasks"},
		{"still running", withAnswer(encoder.Answer{Key: "a", State: encoder.JobRunning}), "no answer within"},
		{"untrue refusal", withAnswer(encoder.Answer{Key: "a", State: encoder.JobFailed, Outcome: encoder.OutcomeNotRun}), "says not run"},
		{"nothing complete", withAnswer(encoder.Answer{Key: "a", State: encoder.JobFailed, Outcome: encoder.OutcomeUnknown}), "no job is complete"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			d := validRun()
			tc.modify(d)
			got := strings.Join(d.report().Violations, "\n")
			if tc.want == "" && got != "" || !strings.Contains(got, tc.want) {
				t.Errorf("got violations %q, want %q", got, tc.want)
			}
		})
	}
}
