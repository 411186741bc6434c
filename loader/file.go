package loader

import (
	"os"
	"strings"

	"github.com/gravitational/trace"
)

const maxFileBytes = 256 << 10

// ReadFile reads a settings file with one NAME=value pair per line, where NAME is that of the environment variable with
// or without its prefix. Empty lines and lines that begin with # are skipped. Lines without = are passed on to Load, which
// reports them.
func ReadFile(path string) ([]string, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the path is the operator's own setting
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if len(data) > maxFileBytes {
		return nil, trace.LimitExceeded("settings file %s has %d bytes, want at most %d", path, len(data), maxFileBytes)
	}
	var pairs []string
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if !strings.HasPrefix(line, variablePrefix) {
			line = variablePrefix + line
		}
		pairs = append(pairs, line)
	}
	return pairs, nil
}
