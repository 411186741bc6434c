// Package messenger carries messages between crocuslb processes over QUIC. It keeps sessions alive with heartbeats and
// replaces silent ones.
package messenger

import (
	"context"
	"crypto/tls"

	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

type (
	// Node is one process's end of all its sessions. Set the fields before Listen or Connect is called. The functions
	// are called from a session's reader goroutine, in order for one session; they must not block for long.
	Node struct {
		Hello     func() encoder.Hello
		Accept    func(h *encoder.Hello) (encoder.HelloAck, error)
		OnUp      func(s *Session)
		OnMessage func(s *Session, m encoder.Message)
		OnDown    func(s *Session, cause error)
		TLS       *tls.Config
		Heartbeat timer.Millis // period of transport heartbeats; 0 means 250
		Silence   timer.Millis // silence after which a session is replaced; 0 means 1000
	}

	// Session is an open, authenticated connection to another process.
	Session struct{}
)

// Listen accepts sessions on a UDP address until ctx ends. It returns the bound address once it is listening.
func (n *Node) Listen(ctx context.Context, address string) (string, error) { return "", nil }

// Connect keeps a session to address open until ctx ends: it dials, and dials again from a new port after a failure or
// silence. It returns at once.
func (n *Node) Connect(ctx context.Context, address string) {}

// Peer returns the Hello of the other end. For a dialed session only role, member and address are set.
func (s *Session) Peer() encoder.Hello { return encoder.Hello{} }

// Ack returns the HelloAck that the accepting end sent.
func (s *Session) Ack() encoder.HelloAck { return encoder.HelloAck{} }

// Send queues m for the other end. It never blocks. It returns false when the session is closed or its queue is full;
// the message is then lost for sure.
func (s *Session) Send(m encoder.Message) bool { return false }

// Close ends the session. Connect dials again.
func (s *Session) Close() {}
