package explainer

import (
	"fmt"
	"strings"

	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/timer"
)

// recentPause is how long after a pause an entry's data counts as old.
const recentPause = 2 * timer.Second

// text returns an explanation for people.
func text(d *document) string {
	var b strings.Builder
	fmt.Fprintf(&b, "queue %s, service %s: %s\n", d.Queue, d.Service, map[string]string{
		marshaler.VerdictRuns.String(): "the job would run now", marshaler.VerdictWaits.String(): "the job would be admitted and wait",
		marshaler.VerdictRefused.String(): "the job would be refused",
	}[d.Verdict])
	if d.Refusal != "" {
		fmt.Fprintf(&b, "refused by %s: %s; retry after %d ms\n", d.Asked.Entry, d.Refusal, d.RetryAfter)
	}
	for i := range d.Steps {
		writeStep(&b, &d.Steps[i])
	}
	if d.LaterSteps > 0 {
		fmt.Fprintf(&b, "%d more steps request resources when the steps before them are done; they are not refused then\n", d.LaterSteps)
	}
	if d.Durable {
		b.WriteString("the job is durable: the owner of its partition requests the resources\n")
	}
	b.WriteString("data\n")
	if d.Forwarded {
		fmt.Fprintf(&b, "  %s was asked, %s places tasks and decided\n", d.Asked.Entry, d.Placing.Entry)
		writeView(&b, &d.Placing)
	}
	writeView(&b, &d.Asked)
	if len(d.WithdrawnDomains) > 0 {
		fmt.Fprintf(&b, "  withdrawn failure domains: %s\n", strings.Join(d.WithdrawnDomains, ", "))
	}
	return b.String()
}

func writeStep(b *strings.Builder, s *stepDocument) {
	fmt.Fprintf(b, "step %d: %s", s.Step, s.Verdict)
	if s.Reason != "" {
		fmt.Fprintf(b, ": %s", s.Reason)
	}
	if s.Verdict == marshaler.VerdictRefused.String() {
		fmt.Fprintf(b, "; retry after %d ms", s.RetryAfter)
	}
	fmt.Fprintf(b, "\n  tasks that get a worker at once: %d of %d\n", s.Granted, s.Tasks)
	fmt.Fprintf(b, "  queue: %d of %d requests are ordered before it; forecast wait %d ms\n", s.Ahead, s.Queued, s.Wait)
	fmt.Fprintf(b, "  latest start: in %d ms to meet the expected response time%s, in %d ms at all\n", s.Slack, map[bool]string{true: " (cannot be met)"}[s.Late], s.MaxWait)
	if len(s.Workers) > 0 {
		b.WriteString("  workers that come first\n")
	}
	for i, w := range s.Workers {
		free := fmt.Sprintf("%d millicores, %d MB", w.CPU, w.MemoryMB)
		if w.Accelerators > 0 {
			free += fmt.Sprintf(", %d accelerators", w.Accelerators)
		}
		fmt.Fprintf(b, "    %d. %s in %s: tasks %d; free %s; %s; a task ends %d ms after its start; load report %d ms old\n",
			i+1, w.Name, w.Domain, w.Tasks, free, w.Reason, w.ExpectedRun, w.LoadAge)
	}
	if len(s.Excluded) > 0 {
		b.WriteString("  other workers\n")
	}
	for _, e := range s.Excluded {
		fmt.Fprintf(b, "    %d: %s (%s)\n", e.Workers, e.Reason, e.Example)
	}
	if s.Known > 0 {
		fmt.Fprintf(b, "  load reports of the %d workers of the service: %d to %d ms old\n", s.Known, s.NewestLoad, s.OldestLoad)
	}
}

func writeView(b *strings.Builder, v *viewDocument) {
	fmt.Fprintf(b, "  %s: configuration version %d, offset %d, in force for %d ms; timeouts handled %d ms ago\n", v.Entry, v.Version, v.Offset, v.ConfigurationAge, v.SinceTick)
	if v.Offset < v.NewestOffset {
		fmt.Fprintf(b, "  warning: %s is behind: another entry has the configuration of offset %d\n", v.Entry, v.NewestOffset)
	}
	if delay := max(v.LoopDelay, v.SinceTick); delay >= marshaler.PauseThreshold {
		fmt.Fprintf(b, "  warning: %s is behind: its event loop is %d ms late, so its data is at least as old\n", v.Entry, delay)
	}
	if v.Pause > 0 && v.SincePause < recentPause {
		fmt.Fprintf(b, "  warning: %s was paused for %d ms, until %d ms ago; its data may be that old\n", v.Entry, v.Pause, v.SincePause)
	}
}
