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

// output keeps the log of a process that runs in the test.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(line []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(line)
}

func (o *output) read() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// until reads a text until it matches, and returns the first group.
func until(t *testing.T, read func() string, pattern string) string {
	t.Helper()
	for limit := time.Now().Add(time.Minute); ; time.Sleep(time.Millisecond) {
		text := read()
		if found := regexp.MustCompile("(?m)" + pattern).FindStringSubmatch(text); found != nil {
			return found[len(found)-1]
		}
		if time.Now().After(limit) {
			t.Fatalf("got %s, want a match of %q", text, pattern)
		}
	}
}

// Guards against processes that do not take part in membership, or do not notice or report that another one has ended.
// An entry and a sidecar have the same identifier, which must not confuse the others.
func TestMembers(t *testing.T) {
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
	logs, stops := map[string]*output{}, map[string]func(){}
	start := func(name, args string) {
		args = path.Dir(name) + " -id " + path.Base(name) + " -secret 0123456789abcdef0123456789abcdef " + args
		ctx, cancel := context.WithCancel(t.Context())
		logs[name] = &output{}
		p := Program{Args: strings.Fields(args), Stdout: io.Discard, Stderr: logs[name]}
		ended := make(chan int, 1)
		go func() { ended <- p.Run(ctx) }()
		stops[name] = func() {
			if cancel(); <-ended != ExitSuccess {
				t.Errorf("%s: got a failure, want success: %s", name, logs[name].read())
			}
		}
	}
	sidecar := "-domain d -worker w -backendUrl http://127.0.0.1:1 -entries " + addresses[0] +
		" -memberAddress 127.0.0.1:0 -memberSeeds " + addresses[1]
	start("entry/a", "-httpAddress 127.0.0.1:0 -address "+addresses[0]+" -memberAddress "+addresses[1]+
		" -logUrl "+logURL+" -token "+operatorToken)
	url := "http://" + until(t, logs["entry/a"].read, "HTTP interface is listening address=([^ ]*)")
	start("sidecar/a", sidecar)
	start("sidecar/b", sidecar)
	for name, log := range logs {
		for other := range logs {
			if other != name {
				until(t, log.read, "member: "+other+" is alive")
			}
		}
	}
	stops["sidecar/b"]()
	until(t, logs["entry/a"].read, "member: sidecar/b is dead")
	until(t, logs["sidecar/a"].read, "member: sidecar/b is dead")
	// A pause of the machine may make a live member suspect for a moment, so each view is read until it is right.
	environ := []string{"CROCUSLB_ENTRY_URL=" + url, "CROCUSLB_TOKEN=" + operatorToken}
	until(t, func() string { _, text, _ := run(t, "status", environ, ""); return text },
		`^member +sidecar +a .* alive\nmember +sidecar +b .* dead$`)
	q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url+"/metrics", nil)
	if err != nil {
		t.Fatal(err)
	}
	q.Header.Set("Authorization", "Bearer "+operatorToken)
	metrics := func() string {
		r, err := http.DefaultClient.Do(q)
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
	until(t, metrics, `members{state="alive"} 1\n.*members{state="dead"} 1\n.*members{state="suspect"} 0$`)
	stops["sidecar/a"]()
	stops["entry/a"]()
}
