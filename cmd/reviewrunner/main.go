// Command reviewrunner builds the stand-ins of the review cases and plays the cases, with and without their disruptions. It exits with
// status 1 if a case did not hold or could not run to its end.
//
//	go run ./cmd/reviewrunner
//	go run ./cmd/reviewrunner -cases 2,9 -repeat 5 -disruption on
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/reviewer"
)

func main() {
	names := flag.String("cases", "", "names of the cases to play, separated by commas; all when empty")
	repeat := flag.Int("repeat", 1, "number of runs of each case")
	parallel := flag.Int("parallel", 2, "cases that are played at a time; each has about 15 processes")
	disruption := flag.String("disruption", "both", "with the disruptions (on), without (off), or both")
	root := flag.String("root", ".", "directory of the repository")
	records := flag.String("records", "", "directory that gets the records of the cases that did not hold; none when empty")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	failed, err := play(ctx, *root, strings.FieldsFunc(*names, func(c rune) bool { return c == ',' }), *disruption, *repeat, *parallel, *records)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "reviewrunner:", err)
	}
	if err != nil || failed > 0 {
		os.Exit(1)
	}
}

func play(ctx context.Context, root string, names []string, disruption string, repeat, parallel int, records string) (failed int, err error) {
	troubles := map[string][]bool{"on": {true}, "off": {false}, "both": {true, false}}[disruption]
	if troubles == nil {
		return 0, trace.BadParameter("-disruption is %q, want on, off or both", disruption)
	}
	root, err = filepath.Abs(root)
	if err != nil {
		return 0, err
	}
	cases, err := reviewer.Cases(root)
	if err != nil {
		return 0, err
	}
	if cases, err = reviewer.Select(cases, names); err != nil {
		return 0, err
	}
	if err := reviewer.Build(ctx, root); err != nil {
		return 0, err
	}
	results := reviewer.Run(ctx, root, reviewer.Plays(cases, troubles, repeat), parallel, func(r reviewer.Result) {
		fmt.Println(r.Line())
		if err := keepRecord(records, &r); err != nil {
			fmt.Fprintln(os.Stderr, "reviewrunner: the record is lost:", err)
		}
	})
	return reviewer.WriteTable(os.Stdout, results)
}

// keepRecord writes the record of a case that did not hold.
func keepRecord(dir string, r *reviewer.Result) error {
	if dir == "" || r.Held() {
		return nil
	}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	name := fmt.Sprintf("%s-%t-%d.txt", r.Play.Case.Name, r.Play.Trouble, r.Play.Number)
	return os.WriteFile(filepath.Join(dir, name), []byte(r.Output+"\n"+r.Record), 0o600)
}
