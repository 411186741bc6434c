// Command scorecheck reads the output of a score of one site from standard input and compares the worth of each day with
// the best one so far. Exit status: 0 no day is worse, 1 a day is worse by more than the noise or the gate failed, 2 wrong
// usage or unreadable input.
package main

import (
	"bytes"
	_ "embed"
	"fmt"
	"os"

	"github.com/crocuslb/crocuslb/comparer"
)

const (
	exitRegression = 1
	exitUsage      = 2
)

//go:embed best.txt
var bestScores []byte

func main() {
	best, err := comparer.ReadBest(bytes.NewReader(bestScores))
	exitOnError(err)
	scores, err := comparer.ReadScores(os.Stdin)
	exitOnError(err)
	findings := best.Compare(scores)
	for _, f := range findings {
		fmt.Println(f)
	}
	if len(findings) > 0 {
		os.Exit(exitRegression)
	}
	fmt.Printf("%s: no day is worse than the best so far by more than %.2f\n", scores.Site, comparer.Tolerance)
}

func exitOnError(err error) {
	if err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "scorecheck: %v\n", err) // a failed write to standard error cannot be reported
		os.Exit(exitUsage)
	}
}
