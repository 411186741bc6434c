package runner

import (
	"bytes"
	"strings"
	"testing"

	"github.com/crocuslb/crocuslb/placer"
	"github.com/crocuslb/crocuslb/submitter"
)

// TestCountRefusal guards against metric names that the metrics library rejects, and against a label for each priority.
func TestCountRefusal(t *testing.T) {
	var m monitor
	m.countRefusal(submitter.Event{Kind: "reject", Took: 12, Refusal: placer.Refusal{Reason: "queue is too long", Priority: 900, Size: "large"}})
	var out bytes.Buffer
	m.metrics.Write(&out)
	for _, want := range []string{
		`crocuslb_refused_requests_total{reason="queue is too long",priority="7",size="large"} 1`, `crocuslb_refusal_wait_seconds_count{reason="queue is too long"} 1`,
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("got no line %q", want)
		}
	}
}

// TestAdmissionSetting guards against an unknown policy that is accepted, and against another default than cost.
func TestAdmissionSetting(t *testing.T) {
	cases := []struct {
		args  []string
		want  placer.Admission
		valid bool
	}{
		{nil, placer.AdmissionCost, true}, {[]string{"-admission", "deadline"}, placer.AdmissionDeadline, true}, {[]string{"-admission", "dear"}, 0, false},
	}
	required := []string{"-name", "a", "-domain", "d", "-ip", "127.0.0.1", "-storeAddress", "127.0.0.1:1", "-callersAddress", "127.0.0.1:2"}
	for _, c := range cases {
		options, _, err := LoadOptions(roleEntry, append(c.args, required...), nil)
		if options.Admission != c.want || (err == nil) != c.valid || err != nil && !strings.Contains(err.Error(), "-admission") {
			t.Errorf("%v: got %s and error %v, want %s", c.args, options.Admission, err, c.want)
		}
	}
}
