package main

import (
	"fmt"
	"time"
)

// reportStart prints a start. Standard output is a pipe, so the line survives the process.
func reportStart(task string) {
	fmt.Printf("start %d %s\n", time.Now().UnixMilli(), task)
}
