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
	// clockTicks is the unit of processor times in /proc, in ticks a second. Linux fixes it for user programs.
	clockTicks = 100
	// The fields are counted from the one after the program's name.
	userField, systemField, residentField = 11, 12, 21
)

// Usage is what one process has used.
type Usage struct {
	Processor time.Duration // user and system time, in steps of 10 ms
	Resident  int64         // bytes of memory
}

// readUsage reads the usage of a process.
func readUsage(pid int) (Usage, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, trace.ConvertSystemError(err)
	}
	return parseUsage(string(b))
}

// parseUsage parses /proc/PID/stat. The name of the program may contain spaces and parentheses.
func parseUsage(stat string) (Usage, error) {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) <= residentField {
		return Usage{}, trace.BadParameter("the process status has %d fields", len(fields))
	}
	var n [3]int64
	for i, f := range []int{userField, systemField, residentField} {
		v, err := strconv.ParseInt(fields[f], 10, 64)
		if err != nil {
			return Usage{}, trace.BadParameter("field %d of the process status: %v", f, err)
		}
		n[i] = v
	}
	return Usage{Processor: time.Duration(n[0]+n[1]) * time.Second / clockTicks, Resident: n[2] * int64(os.Getpagesize())}, nil
}
