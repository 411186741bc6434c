// Command lossreport reads log lines of entries from standard input and prints a table of the lost and late jobs by
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
		_, _ = fmt.Fprintf(os.Stderr, "lossreport: %v\n", err) // a failed write to standard error cannot be reported
		os.Exit(1)
	}
	fmt.Print(a.Report())
}
