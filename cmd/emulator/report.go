package main

import (
	"fmt"
	"time"
)

// printStart prints the start of a task. In tests standard output is a pipe, so the line is not lost if the process is
// killed.
func printStart(task string) {
	fmt.Printf("start %d %s\n", time.Now().UnixMilli(), task)
}
