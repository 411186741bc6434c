package comparer

import (
	"slices"
	"strings"
	"testing"
)

const scoreOutput = `built in 2.6 s; 30363 lines in 198 files
7 days, 4 at a time
score on the standard days of some-site (set 03843676): 0.853
day                  own/srv  score  worth served refused failed  weakest part
quiet-1                 15/0   0.58  0.963  1.000   0.000  0.000  whole day 1.00; prices 0.037, most for machine-seconds
trouble-1               15/0   0.85  0.685  0.955   0.014  0.020  worst windows 0.47
fresh-0fa2              15/0   0.91  0.694  0.955   0.011  0.025  nines 0.48
GATE passed
`

// TestCompare guards against regressions that are not reported.
func TestCompare(t *testing.T) {
	cases := []struct {
		name        string
		scoreOutput string
		best        string
		want        []string
	}{
		{"as good", scoreOutput, "some-site quiet-1 0.963\nsome-site trouble-1 0.700", nil},
		{"within the noise", scoreOutput, "some-site trouble-1 0.715", nil},
		{"worse", scoreOutput, "# best\n\nsome-site trouble-1 0.716", []string{"some-site trouble-1: worth 0.685, best so far 0.716"}},
		{"day is missing", scoreOutput, "some-site scale-1 0.8", []string{"some-site scale-1: missing from the scores"}},
		{"gate", strings.Replace(scoreOutput, "passed", "failed", 1), "some-site quiet-1 0.9", []string{"some-site: the gate was not passed"}},
		{"unknown site", scoreOutput, "other quiet-1 0.9", []string{"some-site: there are no best scores to compare with"}},
	}
	for _, c := range cases {
		s, err := ReadScores(strings.NewReader(c.scoreOutput))
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		b, err := ReadBest(strings.NewReader(c.best))
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		if got := b.Compare(s); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

// TestMalformed guards against malformed input that is accepted as an empty set of scores.
func TestMalformed(t *testing.T) {
	if _, err := ReadScores(strings.NewReader("fleetbench: no such site\n")); err == nil {
		t.Error("got no error for an output without a score, want one")
	}
	for _, text := range []string{"site day", "site day high"} {
		if _, err := ReadBest(strings.NewReader(text)); err == nil {
			t.Errorf("got no error for %q, want one", text)
		}
	}
}
