// Command lossreport reads log lines of entries and prints a table of the jobs that were lost or late, by cause. It reads
// the files that its arguments name, or standard input. Exit status: 0 success, 1 unreadable input.
package main

import (
	"fmt"
	"os"

	"github.com/crocuslb/crocuslb/auditor"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(paths []string) int {
	var a auditor.Auditor
	if len(paths) == 0 {
		paths = []string{"/dev/stdin"}
	}
	for _, path := range paths {
		if err := readFile(&a, path); err != nil {
			_, _ = fmt.Fprintf(os.Stderr, "lossreport: %s: %v\n", path, err) // there is nowhere else to report to
			return 1
		}
	}
	fmt.Print(a.Report())
	return 0
}

func readFile(a *auditor.Auditor, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // it was only read
	return a.Read(f)
}
