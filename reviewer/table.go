package reviewer

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Line returns a line on a result: its play, exit status, duration and the last line that the case printed.
func (r *Result) Line() string {
	lines := strings.Split(strings.TrimSpace(r.Output), "\n")
	return fmt.Sprintf("case %s, disruption %t, run %d: exit %d after %s: %s", r.Play.Case.Name, r.Play.Trouble, r.Play.Number, r.Exit, r.Duration.Round(time.Second), lines[len(lines)-1])
}

// WriteTable writes a table of all results, and returns the number of those that did not hold.
func WriteTable(w io.Writer, results []Result) (failed int, err error) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, err = fmt.Fprintln(t, "case\trule\tdisruption\trun\texit\tseconds")
	for i := range results {
		r := &results[i]
		if !r.Held() {
			failed++
		}
		if err == nil {
			_, err = fmt.Fprintf(t, "%s\t%s\t%t\t%d\t%d\t%.0f\n", r.Play.Case.Name, r.Play.Case.Rule, r.Play.Trouble, r.Play.Number, r.Exit, r.Duration.Seconds())
		}
	}
	if err == nil {
		err = t.Flush()
	}
	return failed, err
}
