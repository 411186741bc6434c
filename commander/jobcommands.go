package commander

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"os"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/server"
)

const maxInputSize = 4 << 20

// readInput reads the file named by the first argument, or standard input if there is none or it is "-".
func (c invocation) readInput() ([]byte, error) {
	r := c.Stdin
	if len(c.args) > 0 && c.args[0] != "-" {
		f, err := os.Open(c.args[0])
		if err != nil {
			return nil, trace.ConvertSystemError(err)
		}
		defer func() { _ = f.Close() }()
		r = f
	}
	body, err := io.ReadAll(io.LimitReader(r, maxInputSize+1))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(body) > maxInputSize {
		return nil, trace.LimitExceeded("the input is larger than %d bytes", maxInputSize)
	}
	return body, nil
}

func submitJob(ctx context.Context, c invocation) int {
	body, err := c.readInput()
	if err != nil {
		return c.fail(err)
	}
	key := c.values.Text("key")
	if key == "" {
		key = rand.Text()
	}
	if _, findings := server.DecodeJob(key, body); len(findings) > 0 {
		for _, f := range findings {
			c.errorf("%s: %s\n", f.Place, f.Reason)
		}
		return ExitUsage
	}
	client, ctx, cancel := c.client(ctx)
	defer cancel()
	r, err := client.Submit(ctx, key, body)
	if err != nil {
		// A submission with the same key is idempotent, so the user can safely retry with it.
		c.errorf("the outcome of submission %s is not known; submit again with -key %s\n", key, key)
		return c.fail(err)
	}
	return c.printAnswer(r)
}

func getJob(ctx context.Context, c invocation) int {
	client, ctx, cancel := c.client(ctx)
	defer cancel()
	r, err := client.Get(ctx, c.args[0])
	if err != nil {
		return c.fail(err)
	}
	return c.printAnswer(r)
}

func cancelJob(ctx context.Context, c invocation) int {
	client, ctx, cancel := c.client(ctx)
	defer cancel()
	r, err := client.Cancel(ctx, c.args[0])
	if err != nil {
		return c.fail(err)
	}
	return c.printAnswer(r)
}

// printAnswer prints the response to a call on a submission and returns the exit status. Only the HTTP statuses 200 and
// 202 are a success.
func (c invocation) printAnswer(r server.Response) int {
	status := ExitSuccess
	if r.Status != http.StatusOK && r.Status != http.StatusAccepted {
		status = ExitFailure
	}
	if c.jsonRequested() {
		c.printf("%s\n", r.Body)
		return status
	}
	a, err := server.DecodeAnswer(r.Body)
	if err != nil {
		return c.fail(trace.Wrap(err, "status %d", r.Status))
	}
	switch a.State {
	case encoder.JobComplete:
		c.printf("%s complete, %d results\n", a.Key, len(a.Results))
		for i, t := range a.Results {
			c.printf("%d: %s\n", i, t.Body)
		}
	case encoder.JobRunning:
		c.printf("%s running\n", a.Key)
	default:
		c.printf("%s failed (status %d): %s\n", a.Key, r.Status, a.Reason)
		c.printFindings(r.Body)
	}
	return status
}
