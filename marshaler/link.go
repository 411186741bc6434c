package marshaler

// Link is the sending end of a session. Its functions never block.
type Link struct {
	Remote Hello
	Send   func(m Message)
	// Close ends the session.
	Close func(cause error)
}
