// Command lossreport reads log lines of entries from standard input and prints a table of the jobs that were lost or late, by
// cause. Exit status: 0 success, 1 unreadable input.
package main

import (
	"fmt"
	"os"

	"github.com/crocuslb/crocuslb/auditor"
)

func main() {
	var a auditor.Auditor
	if err := a.Read(os.Stdin); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "lossreport: %v\n", err) // there is nowhere else to report to
		os.Exit(1)
	}
	fmt.Print(a.Report())
}
