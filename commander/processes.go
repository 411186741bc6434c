package commander

import "context"

func runDemo(_ context.Context, c call) int { return c.notWired("demo") }

func (c call) notWired(part string) int {
	c.logger().Error(part + ": the process is not wired yet")
	return ExitFailure
}
