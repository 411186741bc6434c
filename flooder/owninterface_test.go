package flooder

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/launcher"
	"github.com/crocuslb/crocuslb/server"
)

const (
	// ownMemoryMb bounds the memory of an entry of the product's own interface, and ownDescriptors its descriptors.
	ownMemoryMb    = 160
	ownDescriptors = 300
	ownBodyBytes   = 4 << 20
	ownHeaderBytes = 16 << 10
)

// TestOwnInterface guards the HTTP port of the product's own interface against the same crowds, with its own limits.
func TestOwnInterface(t *testing.T) {
	t.Setenv("CROCUSLB_CONNECTIONS", "200")
	t.Setenv("CROCUSLB_CLIENT_MEMORY_MB", "32")
	const request = "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nIdempotency-Key: k\r\n"
	body := bytes.Repeat([]byte(" "), ownBodyBytes-1)
	crowds := []crowd{
		{name: "connections that send nothing", connections: 400, payload: fixed(nil)},
		{name: "heads of legal size without their end", connections: 400, payload: fixed(fill(request, ownHeaderBytes-1000, differentLine))},
		{name: "bodies of legal size without their last byte", connections: 100, payload: fixed(append([]byte(request+fmt.Sprintf("Content-Length: %d\r\n\r\n", ownBodyBytes)), body...))},
		{name: "bodies over the limit", connections: 100, payload: fixed(append([]byte(request+fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*ownBodyBytes)), body...))},
	}
	for _, c := range crowds {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			f := &launcher.Fleet{ProgramDir: filepath.Dir(program), Entries: 1, Backends: 1, Domains: 1, Slots: 4}
			defer f.Close()
			if err := f.Launch(ctx); err != nil {
				t.Fatal(err)
			}
			await(t, "the first job", func() bool { return submitOwn(ctx, f) })
			m := &monitor{name: "entry", process: f.Process(launcher.EntryName(0)), stop: make(chan struct{}), done: make(chan struct{}), memoryMb: ownMemoryMb, descriptors: ownDescriptors}
			go m.run()
			crowdCtx, leave := context.WithCancel(ctx)
			defer leave()
			c.press(crowdCtx, strings.TrimPrefix(f.EntryURL(0), "http://"))
			await(t, "an ordinary job beside the crowd", func() bool { return submitOwn(ctx, f) })
			leave()
			await(t, "an ordinary job after the crowd", func() bool { return submitOwn(ctx, f) })
			m.check(t)
		})
	}
}

// submitOwn submits a job and reports whether it is complete.
func submitOwn(ctx context.Context, f *launcher.Fleet) bool {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	client := server.Client{URL: f.EntryURL(0), HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	answer, err := client.Submit(ctx, fmt.Sprint("key-", rand.Uint64()), []byte(`{"team":"a","waitMs":3000,"tasks":[{"kind":"quote","payload":"{\"runMs\":5}"}]}`))
	if err != nil {
		return false
	}
	decoded, err := server.DecodeAnswer(answer.Body)
	return err == nil && decoded.State == encoder.JobComplete
}
