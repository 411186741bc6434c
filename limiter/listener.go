package limiter

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/crocuslb/crocuslb/timer"
)

const (
	// socketBufferBytes bounds the bytes that a socket receives before the process reads them. The kernel doubles the value.
	socketBufferBytes = 16 << 10
	// refusalTimeout bounds the time to tell a client that its connection is refused, and refusalSlots the clients that are
	// told at the same time. A connection that is closed while bytes are unread is reset, and the client may lose the response.
	refusalTimeout = 500 * time.Millisecond
	refusalSlots   = 32
	maxRefusedRead = 64 << 10 // bytes

	noRoomResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Type: application/json\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}"
)

const (
	// LimitConnections is the maximum number of connections.
	LimitConnections Limit = "connections"
	// LimitMemory is the maximum memory that clients hold.
	LimitMemory Limit = "memory"
	// LimitJobs is the maximum memory that clients hold, met by a job.
	LimitJobs Limit = "jobs"
	// LimitRuns is the maximum memory that clients hold, met by a run of a task.
	LimitRuns Limit = "runs"
	// LimitHead is the maximum size of a request's head.
	LimitHead Limit = "head"
	// LimitBody is the maximum size of a request's body.
	LimitBody Limit = "body"
	// LimitAnswer is the maximum time in which a client does not take its response.
	LimitAnswer Limit = "answer"
	// LimitBodyProgress is the maximum time in which no byte of a body arrives.
	LimitBodyProgress Limit = "bodyProgress"
)

const (
	// ActionEvict closes a connection to make room for another client.
	ActionEvict Action = "evict"
	// ActionRefuse answers that the request is not served.
	ActionRefuse Action = "refuse"
	// ActionClose closes the connection that met the limit.
	ActionClose Action = "close"
)

type (
	// Limit names a limit that a client met.
	Limit string

	// Action is what was done with a client that met a limit.
	Action string

	// Event is a client's meeting with a limit.
	Event struct {
		Port   string
		Limit  Limit
		Action Action
	}

	// Listener accepts connections of clients and charges them to a budget.
	Listener struct {
		net.Listener
		Budget *Budget
		// Port names the listener in events.
		Port string
		// Privileged is set for a port whose few clients have room that the others cannot use.
		Privileged bool
		// HeadBytes returns the maximum size of a head. If it is nil or returns 0, DefaultHeadBytes applies.
		HeadBytes func() uint64
		// AnswerTimeout is how long a response may wait for its client to take it; 0 means DefaultAnswerTimeout.
		AnswerTimeout timer.Millis
		// Report must not block, and may be nil.
		Report func(e Event)

		refusals chan struct{}
	}
)

// Listen listens on a TCP address with small receive buffers, because the bytes in them are charged to the machine's memory.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBufferBytes)
		})
		return errors.Join(err, failed)
	}}
	return config.Listen(ctx, "tcp", address)
}

// Accept implements net.Listener. It returns only connections for which there is room. It must not be called concurrently.
func (l *Listener) Accept() (net.Conn, error) {
	if l.refusals == nil {
		l.refusals = make(chan struct{}, refusalSlots)
	}
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := accepted.(*net.TCPConn)
		if !ok {
			return accepted, nil
		}
		if c := l.open(tcp); c != nil {
			return c, nil
		}
		l.refuse(tcp)
	}
}

// open returns the connection with its account, or nil if there is no room for it.
func (l *Listener) open(tcp *net.TCPConn) *Conn {
	account, ok := l.Budget.Open(l.Privileged, func() {
		l.report(Event{Limit: LimitMemory, Action: ActionEvict})
		_ = tcp.Close() // the connection is over even if this fails
	})
	if !ok {
		return nil
	}
	return &Conn{TCPConn: tcp, account: account, port: l}
}

// refuse answers a connection for which there is no room without reading a request, and closes it.
func (l *Listener) refuse(tcp *net.TCPConn) {
	l.report(Event{Limit: LimitConnections, Action: ActionRefuse})
	select {
	case l.refusals <- struct{}{}:
	default:
		_ = tcp.Close() // too many refusals at once
		return
	}
	go func() {
		defer func() { <-l.refusals }()
		defer func() { _ = tcp.Close() }()                  // the client has its answer, or does not read it
		_ = tcp.SetDeadline(time.Now().Add(refusalTimeout)) // a failure surfaces in the calls below
		_, _ = io.WriteString(tcp, noRoomResponse)          // as above
		_ = tcp.CloseWrite()                                // as above
		_, _ = io.CopyN(io.Discard, tcp, maxRefusedRead)    // unread bytes would reset the connection
	}()
}

func (l *Listener) maxHead() int64 {
	if l.HeadBytes != nil {
		if n := l.HeadBytes(); n > 0 {
			return int64(min(n, maxHeadBytes))
		}
	}
	return DefaultHeadBytes
}

func (l *Listener) report(e Event) {
	if l.Report != nil {
		e.Port = l.Port
		l.Report(e)
	}
}

// Configure sets the parts of an HTTP server that tell the connections of the listener about its requests. find returns the
// Conn below a connection of the server.
func (l *Listener) Configure(server *http.Server, find func(c net.Conn) *Conn) {
	server.MaxHeaderBytes = maxHeadBytes
	connContext := server.ConnContext
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, find(c))
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if conn := find(c); conn != nil && state == http.StateIdle {
			conn.EndRequest()
		}
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			handler.ServeHTTP(w, r)
			return
		}
		err := c.BeginRequest(r)
		if err == nil {
			handler.ServeHTTP(w, r)
		}
		if err != nil || c.account.Evicted() {
			panic(http.ErrAbortHandler) // lets the connection go at once; net/http would wait for a moment
		}
	})
}

// connKey is the key of a request's Conn in its context.
type connKey struct{}

func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}
