package driver

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

const (
	// ticksPerSecond is the unit of CPU times in /proc. Linux fixes it at 100 for user space (USER_HZ).
	ticksPerSecond = 100
	// Indexes of the fields of /proc/PID/stat, counted from the field after the program name.
	utimeField, stimeField, rssField = 11, 12, 21
)

// Usage is the resource usage of a process.
type Usage struct {
	CPUTime       time.Duration // user and system time, in steps of 10 ms
	ResidentBytes int64         // resident memory
}

func readUsage(pid int) (Usage, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, trace.ConvertSystemError(err)
	}
	return parseUsage(string(b))
}

// parseUsage parses the contents of /proc/PID/stat. The program name may contain spaces and parentheses.
func parseUsage(stat string) (Usage, error) {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= rssField {
		return Usage{}, trace.BadParameter("process status has only %d fields after the program name", len(fields))
	}
	var values [3]int64
	for i, f := range []int{utimeField, stimeField, rssField} {
		v, err := strconv.ParseInt(fields[f], 10, 64)
		if err != nil {
			return Usage{}, trace.BadParameter("field %d of the process status: %v", f, err)
		}
		values[i] = v
	}
	return Usage{CPUTime: time.Duration(values[0]+values[1]) * time.Second / ticksPerSecond, ResidentBytes: values[2] * int64(os.Getpagesize())}, nil
}
