package flooder

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/crocuslb/crocuslb/platform/platformtest"
)

const (
	// dials is how many times a member connects before it stays away.
	dials = 3
	// pieceBytes and pieceGap are the speed of the members that send slowly.
	pieceBytes = 20_000
	pieceGap   = 100 * time.Millisecond
	// holdTime is how long a crowd presses before the ordinary request. It stays connected until the end of the test.
	holdTime = 2 * time.Second
)

// crowd is a number of clients that each send the same kind of bytes on one connection, and leave it open.
type crowd struct {
	name        string
	connections int
	payload     func(member int) []byte
	slow        bool // sends in pieces
	deaf        bool // reads no answers
}

// press starts the members and returns after holdTime. They end with ctx.
func (c *crowd) press(ctx context.Context, address string) {
	var members sync.WaitGroup
	context.AfterFunc(ctx, members.Wait)
	for member := range c.connections {
		members.Go(func() {
			payload := c.payload(member)
			for range dials {
				if ctx.Err() == nil {
					c.connect(ctx, address, payload)
				}
			}
		})
	}
	select {
	case <-ctx.Done():
	case <-time.After(holdTime):
	}
}

// connect sends a payload on one connection and returns when the process has closed it.
func (c *crowd) connect(ctx context.Context, address string, payload []byte) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return // refused
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer func() { _ = conn.Close() }()
	closed := make(chan struct{})
	if !c.deaf {
		go func() {
			_, _ = io.Copy(io.Discard, conn) // ends with the connection
			close(closed)
		}()
	}
	if c.send(conn, payload) == nil {
		select {
		case <-ctx.Done():
		case <-closed:
		}
	}
}

func (c *crowd) send(conn net.Conn, payload []byte) (err error) {
	for c.slow && len(payload) > pieceBytes && err == nil {
		_, err = conn.Write(payload[:pieceBytes])
		payload = payload[pieceBytes:]
		time.Sleep(pieceGap)
	}
	if err == nil {
		_, err = conn.Write(payload)
	}
	return err
}

// fixed returns a payload that all members share.
func fixed(payload []byte) func(int) []byte { return func(int) []byte { return payload } }

const requestLine = "POST " + prefix + "0000000000000001 HTTP/1.1\r\nHost: " + platformtest.Host + "\r\n"

// fill repeats the lines of next up to a size.
func fill(start string, size int, next func(n int) string) []byte {
	var b bytes.Buffer
	b.WriteString(start)
	for n := 0; ; n++ {
		line := next(n)
		if b.Len()+len(line) > size {
			return b.Bytes()
		}
		b.WriteString(line)
	}
}

func same(line string) func(int) string { return func(int) string { return line } }

// differentLine returns short header lines with a name of their own and no value.
func differentLine(n int) string { return fmt.Sprintf("%x:\r\n", n) }

// head returns a complete head of a size: a start, the lines of next unless it is nil, and a line that fills the rest.
func head(start string, size int, next func(n int) string) []byte {
	const last, end = "z:", "\r\n\r\n"
	b := []byte(start)
	if next != nil {
		b = fill(start, size-len(last)-len(end), next)
	}
	b = append(b, last...)
	b = append(b, strings.Repeat("0", size-len(b)-len(end))...)
	return append(b, end...)
}

// bodyOf returns a body of a size: a start, as many items as fit, an end and spaces.
func bodyOf(size int, start, item, end string) []byte {
	items := (size - len(start) - len(end)) / len(item)
	return []byte(start + strings.Repeat(item, items) + end + strings.Repeat(" ", size-len(start)-items*len(item)-len(end)))
}

// post returns a request that submits a job of its own with a body.
func post(member int, body []byte) []byte {
	h := fmt.Sprintf("POST %s%016x HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", prefix, member+1<<32, platformtest.Host, len(body))
	return append([]byte(h), body...)
}

func posts(body []byte) func(member int) []byte {
	return func(member int) []byte { return post(member, body) }
}

// withoutEnd leaves out the last bytes of each payload.
func withoutEnd(payload func(int) []byte, bytes int) func(int) []byte {
	return func(member int) []byte {
		p := payload(member)
		return p[:len(p)-bytes]
	}
}

// chunked returns a request whose body comes in chunks of a size.
func chunked(size, chunk int, extension string) []byte {
	line := fmt.Sprintf("%x%s\r\n%s\r\n", chunk, extension, strings.Repeat("x", chunk))
	return fill(requestLine+"Transfer-Encoding: chunked\r\n\r\n", size*len(line)/chunk, same(line))
}

const taskCount = 10_000

func largeJob(durable bool) []byte {
	return fmt.Appendf(nil, `{"Spec":"2000","BestEffort":%t,"Steps":[{"Count":%d,"EstimateMs":2000}]}`, !durable, taskCount)
}

// crowds are the crowds that every port must bear. Only complete requests to the callers' port are jobs.
func crowds() []crowd {
	const mb = 1 << 20
	padding := strings.Repeat("x", maxBodyBytes)
	legalBody := []byte(`{"Spec":"5","Padding":"` + padding[:maxBodyBytes-25] + `"}`)
	wholeHead := func(next func(int) string) []byte {
		return head(requestLine+"Content-Length: 262144\r\n", maxHeaderBytes, next)
	}
	return []crowd{
		{name: "connections that send nothing", connections: 800, payload: fixed(nil)},
		{name: "heads without end, of different empty lines", connections: 30, payload: fixed(fill(requestLine, mb, differentLine))},
		{name: "heads without end, of the same empty line", connections: 60, payload: fixed(fill(requestLine, mb, same("a:\r\n")))},
		{name: "heads of legal size without their end, of the same empty line", connections: 800, payload: fixed(fill(requestLine, maxHeaderBytes-1000, same("a:\r\n")))},
		{name: "heads of legal size without their end, of different empty lines", connections: 800, payload: fixed(fill(requestLine, maxHeaderBytes-1000, differentLine))},
		{name: "whole heads of legal size without a body, of the same empty line", connections: 800, payload: fixed(wholeHead(same("a:\r\n")))},
		{name: "whole heads of legal size without a body, of different empty lines", connections: 800, payload: fixed(wholeHead(differentLine))},
		{name: "second heads of legal size without their end", connections: 800, payload: func(int) []byte {
			first := requestLine + "Content-Length: 2\r\n\r\n{}"
			return append([]byte(first), fill(requestLine, maxHeaderBytes-1000, differentLine)...)
		}},
		{name: "empty lines without end", connections: 60, payload: fixed(fill("", 4*mb, same("\r\n")))},
		{name: "request lines without end", connections: 60, payload: fixed(fill("POST "+prefix, 4*mb, same("x")))},
		{name: "paths of 900 kB", connections: 150, payload: fixed(append(fill("GET /", 900_000, same("x")), " HTTP/1.1\r\nHost: a\r\n\r\n"...))},
		{name: "bodies of legal size without their last byte", connections: 500, payload: withoutEnd(posts(legalBody), 1)},
		{name: "bodies of legal size without their last byte, sent slowly", connections: 500, payload: withoutEnd(posts(legalBody), 1), slow: true},
		{name: "bodies in chunks of 8 bytes without their end", connections: 500, payload: fixed(chunked(maxBodyBytes-8, 8, ""))},
		{name: "bodies in chunks with long extensions", connections: 100, payload: fixed(chunked(maxBodyBytes-8, 8, ";"+strings.Repeat("y", 100)))},
		{name: "trailers without end", connections: 60, payload: fixed(fill(requestLine+"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n", mb, differentLine))},
		{name: "bodies that are announced and not sent", connections: 800, payload: fixed([]byte(requestLine + "Content-Length: 262144\r\nExpect: 100-continue\r\n\r\n"))},
		{name: "bodies over the limit", connections: 100, payload: posts(bytes.Repeat([]byte(" "), 2*mb))},
		{name: "whole bodies of legal size", connections: 500, payload: posts(legalBody)},
		{name: "jobs of 80,000 empty steps", connections: 20, payload: posts(bodyOf(maxBodyBytes, `{"Spec":"5","BestEffort":true,"Steps":[{}`, `,{}`, `]}`))},
		{name: "jobs whose step waits for 120,000 others", connections: 60, payload: posts(bodyOf(maxBodyBytes, `{"Spec":"5","BestEffort":true,"Steps":[{"Count":1,"After":[0`, `,0`, `]}]}`))},
		{name: "bodies of nested lists", connections: 60, payload: posts([]byte(`{"Steps":` + strings.Repeat("[", maxBodyBytes-9)))},
		{name: "numbers of 200,000 digits", connections: 60, payload: posts(bodyOf(maxBodyBytes, `{"Spec":"5","Steps":[{"Count":1`, `0`, `}]}`))},
		{name: "jobs of 10,000 tasks", connections: 60, payload: posts(largeJob(false))},
		{name: "durable jobs of 10,000 tasks", connections: 60, payload: posts(largeJob(true))},
		{name: "requests without end whose answers are not read", connections: 300, payload: fixed(bytes.Repeat([]byte("GET "+prefix+" HTTP/1.1\r\nHost: "+platformtest.Host+"\r\n\r\n"), 12_000)), deaf: true},
	}
}
