package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"text/tabwriter"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/server"
)

type errorWire struct {
	Reason   string `json:"reason"`
	Outcome  string `json:"outcome"`
	Findings []struct {
		Place  string `json:"place"`
		Reason string `json:"reason"`
	} `json:"findings"`
}

// printFindings prints the outcome and the findings of an error response, if it has any.
func (c invocation) printFindings(body []byte) {
	var w errorWire
	if json.Unmarshal(body, &w) != nil {
		return
	}
	if w.Outcome != "" {
		c.printf("outcome: %s\n", w.Outcome)
	}
	for _, f := range w.Findings {
		c.printf("%s: %s\n", f.Place, f.Reason)
	}
}

// callEntry sends a request to the operator API and returns the exit status. It prints the response body as it is with
// -json, and with printBody otherwise.
func (c invocation) callEntry(ctx context.Context, send func(server.Client, context.Context) (server.Response, error), printBody func(body []byte) error) int {
	client, ctx, cancel := c.client(ctx)
	defer cancel()
	r, err := send(client, ctx)
	if err != nil {
		return c.fail(err)
	}
	ok := r.Status == http.StatusOK || r.Status == http.StatusAccepted
	status := ExitSuccess
	if !ok {
		status = ExitFailure
	}
	switch {
	case c.jsonRequested():
		c.printf("%s\n", r.Body)
	case !ok:
		var w errorWire
		if json.Unmarshal(r.Body, &w) != nil {
			w.Reason = http.StatusText(r.Status)
		}
		c.errorf("the entry rejected the request (status %d): %s\n", r.Status, w.Reason)
		c.printFindings(r.Body)
	default:
		if err := printBody(r.Body); err != nil {
			return c.fail(err)
		}
	}
	return status
}

func publishNote(ctx context.Context, c invocation) int {
	body, err := c.readInput()
	if err != nil {
		return c.fail(err)
	}
	if _, findings := server.DecodeNote(body); len(findings) > 0 {
		for _, f := range findings {
			c.errorf("%s: %s\n", f.Place, f.Reason)
		}
		return ExitUsage
	}
	return c.callEntry(ctx, func(s server.Client, ctx context.Context) (server.Response, error) {
		return s.Publish(ctx, body, c.values.Bool("dryRun"))
	}, c.printPublication)
}

func withdrawDomain(ctx context.Context, c invocation) int {
	return c.callEntry(ctx, func(s server.Client, ctx context.Context) (server.Response, error) {
		return s.Withdraw(ctx, c.args[0], c.values.Text(authorSetting.Name))
	}, c.printPublication)
}

func returnDomain(ctx context.Context, c invocation) int {
	return c.callEntry(ctx, func(s server.Client, ctx context.Context) (server.Response, error) {
		return s.Return(ctx, c.args[0], c.values.Text(authorSetting.Name))
	}, c.printPublication)
}

func (c invocation) printPublication(body []byte) error {
	p, err := server.DecodePublication(body)
	if err != nil {
		return err
	}
	for _, d := range p.Differences {
		if d.Before != "" {
			c.printf("- %s = %s\n", d.Key, d.Before)
		}
		if d.After != "" {
			c.printf("+ %s = %s\n", d.Key, d.After)
		}
	}
	switch {
	case p.DryRun:
		c.printf("dry run, nothing published\n")
	case p.Provisional:
		c.printf("in force, not yet recorded; %d processes have not applied it yet (%v)\n", p.Lagging, p.Elapsed)
	case p.Accepted && p.Lagging == 0:
		c.printf("accepted at offset %d after %v, in force everywhere after %v\n", p.Offset, p.Elapsed, p.PropagationTime)
	case p.Accepted:
		c.printf("accepted at offset %d after %v, not in force on %d processes yet\n", p.Offset, p.Elapsed, p.Lagging)
	default:
		c.printf("recorded at offset %d, not accepted yet (%v)\n", p.Offset, p.Elapsed)
	}
	if p.Domain != "" && p.Sidecars == 0 {
		c.printf("no sidecar is known in failure domain %s; is the name right?\n", p.Domain)
	}
	return nil
}

func showHistory(ctx context.Context, c invocation) int {
	return c.callEntry(ctx, func(s server.Client, ctx context.Context) (server.Response, error) {
		return s.History(ctx, int(c.values.Count("limit")))
	}, func(body []byte) error {
		records, err := server.DecodeHistory(body)
		if err != nil {
			return err
		}
		for _, r := range records {
			c.printf("%d %s %s: %s\n", r.Offset, r.Note.ID, r.Note.Author, r.Note.Comment)
			if r.Refused != "" {
				c.printf("  refused: %s\n", r.Refused)
			}
			for _, e := range r.Note.Added {
				c.printf("  added %s = %s\n", e.Key, e.Value)
			}
			for _, e := range r.Note.Changed {
				c.printf("  changed %s = %s\n", e.Key, e.Value)
			}
			for _, k := range r.Note.Withdrawn {
				c.printf("  withdrawn %s\n", k)
			}
		}
		return nil
	})
}

func showStatus(ctx context.Context, c invocation) int {
	return c.callEntry(ctx, server.Client.Status, func(body []byte) error {
		s, err := server.DecodeState(body)
		if err != nil {
			return err
		}
		c.printf("entry %s incarnation %d, joined %t, epoch %d, configuration offset %d, log reachable %t, takeover %s, %d tasks queued, %d submissions\n",
			s.ID, s.Incarnation, s.Joined, s.Epoch, s.ConfigOffset, s.LogReachable, s.Takeover, s.Queued, s.Submissions)
		w := tabwriter.NewWriter(c.Stdout, 0, 4, 2, ' ', 0)
		for _, e := range s.Entries {
			_, _ = fmt.Fprintf(w, "entry\t%s\t%s\tincarnation %d\n", e.ID, e.Address, e.Incarnation)
		}
		for _, d := range s.Domains {
			_, _ = fmt.Fprintf(w, "failure domain\t%s\tin force %t\tprovisional %t\n", d.Name, d.InForce, d.Provisional)
		}
		for _, k := range s.Sidecars {
			_, _ = fmt.Fprintf(w, "sidecar\t%s\t%s\t%s\t%d slots\t%d running\tconnected %t\tleaving %t\n",
				k.ID, k.Domain, k.Worker, k.Slots, k.Running, k.Connected, k.Leaving)
		}
		for _, m := range s.Members {
			_, _ = fmt.Fprintf(w, "member\t%s\t%s\t%s\tincarnation %d\t%s\n", m.Role, m.ID, m.Address, m.Incarnation, m.State)
		}
		return trace.Wrap(w.Flush())
	})
}

func showBurn(ctx context.Context, c invocation) int {
	format := c.values.Text("format")
	if c.jsonRequested() {
		format = "json"
	}
	return c.callEntry(ctx, func(s server.Client, ctx context.Context) (server.Response, error) {
		return s.Burn(ctx, format)
	}, func(body []byte) error {
		c.printf("%s", body)
		return nil
	})
}
