// Command scorecheck reads what a score of one site printed from standard input and compares each day with the best worth so
// far. Exit status: 0 nothing is worse, 1 a day is worse by more than the noise or the gate is not passed, 2 wrong usage or
// unreadable input.
package main

import (
	"bytes"
	_ "embed"
	"fmt"
	"os"

	"github.com/crocuslb/crocuslb/comparer"
)

const (
	exitWorse = 1
	exitUsage = 2
)

//go:embed best.txt
var bestScores []byte

func main() {
	best, err := comparer.ReadBest(bytes.NewReader(bestScores))
	exitOn(err)
	scores, err := comparer.ReadScores(os.Stdin)
	exitOn(err)
	findings := best.Compare(scores)
	for _, f := range findings {
		fmt.Println(f)
	}
	if len(findings) > 0 {
		os.Exit(exitWorse)
	}
	fmt.Printf("%s: no day is worse than the best so far by more than %.2f\n", scores.Site, comparer.Tolerance)
}

func exitOn(err error) {
	if err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "scorecheck: %v\n", err) // there is nowhere else to report to
		os.Exit(exitUsage)
	}
}
