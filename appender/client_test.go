package appender_test

import (
	"testing"

	"github.com/crocuslb/crocuslb/appender"
	"github.com/crocuslb/crocuslb/emulator"
)

// Guards against a client and a log that do not agree on the published protocol over real connections.
func TestLoopback(t *testing.T) {
	url, err := emulator.ServeLog(t.Context(), "127.0.0.1:0", &emulator.Log{})
	if err != nil {
		t.Fatal(err)
	}
	c := &appender.Client{URL: url}
	for i, body := range []string{"a", "", "c"} {
		got, err := c.Append(t.Context(), "roster", appender.NewID(), []byte(body))
		if err != nil || got != uint64(i) {
			t.Fatalf("append %d: got offset %d, error %v", i, got, err)
		}
	}
	p, err := c.Read(t.Context(), "roster", 1, 10, 0)
	if err != nil || p.First != 0 || p.Next != 3 || len(p.Records) != 2 || string(p.Records[1].Body) != "c" {
		t.Fatalf("got page %+v, error %v", p, err)
	}
}
