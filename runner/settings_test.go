package runner

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestUnfilledSettings guards against a process that starts with a setting that the platform has not filled in, or that ends without a
// word on it: it has to end at once with one line that names the setting.
func TestUnfilledSettings(t *testing.T) {
	values := map[string]string{
		"NodeName": "node", "Zone": "zone", "Ip": "127.0.0.1", "InternalPorts.0": "7720", "platform.Address": "127.0.0.1:1", "ListenAddrs.Front": "127.0.0.1:0",
		"ListenAddrs.ReadyAddr": "127.0.0.1:0", "ListenAddrs.Control": "127.0.0.1:0", "app": "127.0.0.1:1", "platform.parts": "12", "platform.WritesPerS": "800",
		"Seeds": "127.0.0.1:1", "Limits.CpuShare": "0.4", "Limits.MemoryMb": "284", "Limits.MaxFds": "4100",
	}
	mayBeEmpty := []string{"READY_ADDRESS", "SEEDS"} // no readiness checks; no other machine is known
	field := regexp.MustCompile(`(?m)^(\w+)=\{\{(.+)\}\}$`)
	for _, role := range []string{roleEntry, roleSidecar} {
		template, err := os.ReadFile(filepath.Join("..", "deploy", role+".env"))
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range field.FindAllStringSubmatch(string(template), -1) {
			for _, value := range []string{"", "{{" + line[2] + "}}"} {
				if value == "" && slices.Contains(mayBeEmpty, line[1]) {
					continue
				}
				t.Run(fmt.Sprintf("%s %s=%s", role, line[1], value), func(t *testing.T) {
					settings := field.ReplaceAllStringFunc(string(template), func(l string) string {
						parts := field.FindStringSubmatch(l)
						if parts[1] == line[1] {
							return parts[1] + "=" + value
						}
						return parts[1] + "=" + values[parts[2]]
					})
					status, output := runWith(t, role, settings)
					flagName := strings.ReplaceAll(line[1], "_", "") // a required setting is named by its flag
					named := strings.Contains(output, line[1]) || strings.Contains(strings.ToUpper(output), flagName)
					if lines := strings.Count(output, "\n"); status != exitUsage || lines != 1 || !named {
						t.Errorf("got status %d and %d lines, want %d and one line with %s: %s", status, lines, exitUsage, line[1], output)
					}
				})
			}
		}
	}
}

// runWith runs a process with a settings file until it ends, for a second at most.
func runWith(t *testing.T, role, settings string) (status int, output string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	var out bytes.Buffer
	p := Program{Args: []string{role}, Environ: []string{"CROCUSLB_CONFIG=" + path}, Stdout: &out, Stderr: &out}
	status = p.Run(ctx)
	return status, out.String()
}
