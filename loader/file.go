package loader

import (
	"os"
	"strings"

	"github.com/gravitational/trace"
)

const maxFile = 256 << 10 // bytes of a settings file

// ReadFile reads a settings file: one NAME=value pair on each line, with the names of the environment variables. Empty
// lines and lines that begin with # are skipped. A line without = is a finding of Load, which names it.
func ReadFile(path string) ([]string, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the path is the operator's own setting
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if len(data) > maxFile {
		return nil, trace.LimitExceeded("settings file %s has %d bytes, more than %d", path, len(data), maxFile)
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
