package commander

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"path"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/crocuslb/crocuslb/emulator"
)

// logBuffer collects the log of a process that runs in the test. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

func (b *logBuffer) contents() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// waitForMatch calls read until its text matches the pattern, and returns the last group of the match.
func waitForMatch(t *testing.T, read func() string, pattern string) string {
	t.Helper()
	for deadline := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
		text := read()
		if match := regexp.MustCompile("(?m)" + pattern).FindStringSubmatch(text); match != nil {
			return match[len(match)-1]
		}
		if time.Now().After(deadline) {
			t.Fatalf("got %s, want a match of %q", text, pattern)
		}
	}
}

// TestMembership guards against processes that do not take part in membership, or that do not detect or report that
// another process has stopped. An entry and a sidecar have the same identifier, and must be told apart by their role.
func TestMembership(t *testing.T) {
	logURL, err := emulator.ServeLog(t.Context(), "127.0.0.1:0", &emulator.Log{})
	if err != nil {
		t.Fatal(err)
	}
	var addresses [2]string
	for i := range addresses {
		if addresses[i], err = freeAddress(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	logs, stops := map[string]*logBuffer{}, map[string]func(){}
	start := func(name, args string) {
		args = path.Dir(name) + " -id " + path.Base(name) + " -secret 0123456789abcdef0123456789abcdef " + args
		ctx, cancel := context.WithCancel(t.Context())
		logs[name] = &logBuffer{}
		p := Program{Args: strings.Fields(args), Stdout: io.Discard, Stderr: logs[name]}
		ended := make(chan int, 1)
		go func() { ended <- p.Run(ctx) }()
		stops[name] = func() {
			if cancel(); <-ended != ExitSuccess {
				t.Errorf("%s: got a failure, want success: %s", name, logs[name].contents())
			}
		}
	}
	sidecar := "-domain d -worker w -backendUrl http://127.0.0.1:1 -entries " + addresses[0] +
		" -memberAddress 127.0.0.1:0 -memberSeeds " + addresses[1]
	start("entry/a", "-httpAddress 127.0.0.1:0 -address "+addresses[0]+" -memberAddress "+addresses[1]+
		" -logUrl "+logURL+" -token "+operatorToken)
	url := "http://" + waitForMatch(t, logs["entry/a"].contents, "HTTP interface is listening address=([^ ]*)")
	start("sidecar/a", sidecar)
	start("sidecar/b", sidecar)
	for name, log := range logs {
		for other := range logs {
			if other != name {
				waitForMatch(t, log.contents, "member: "+other+" is alive")
			}
		}
	}
	stops["sidecar/b"]()
	waitForMatch(t, logs["entry/a"].contents, "member: sidecar/b is dead")
	waitForMatch(t, logs["sidecar/a"].contents, "member: sidecar/b is dead")
	// A pause of the machine may make a live member suspect for a moment, so each output is polled until it is correct.
	environ := []string{"CROCUSLB_ENTRY_URL=" + url, "CROCUSLB_TOKEN=" + operatorToken}
	waitForMatch(t, func() string { _, text, _ := runProgram(t, "status", environ, ""); return text },
		`^member +sidecar +a .* alive\nmember +sidecar +b .* dead$`)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url+"/metrics", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	metrics := func() string {
		r, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(r.Body)
		_ = r.Body.Close() // nothing is left to read
		if err != nil {
			t.Fatal(err)
		}
		return string(body)
	}
	waitForMatch(t, metrics, `members{state="alive"} 1\n.*members{state="dead"} 1\n.*members{state="suspect"} 0$`)
	stops["sidecar/a"]()
	stops["entry/a"]()
}
