//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	cancelRounds  = 3
	jobsAtOnce    = 4 // one of them is cancelled
	resetPort     = 8170
	resendDelay   = 1300 * time.Millisecond // ResendMs
	cancelTaskMs  = 3500
	longDeadline  = 20_000 // X-Deadline-Ms of the jobs
	beforeCancel  = time.Second
	cancelledJobs = cancelRounds
)

func init() { cases["cancel"] = playCancel }

// playCancel cancels best-effort jobs. With the disruption, the connection of the cancel is reset, and the client's retry reaches
// another entry.
func playCancel(f *fleet, trouble bool) (violations []string, err error) {
	broken, err := f.listenAndReset()
	if err != nil {
		return nil, err
	}
	acknowledged := 0
	for n := range cancelRounds {
		var clients sync.WaitGroup
		var cancelled jobSpec
		for i := range jobsAtOnce {
			j := jobSpec{id: newID(), steps: []step{{count: 2}, {count: 2, after: []int{0}}, {count: 2, after: []int{1}}}, taskMs: cancelTaskMs, bestEffort: true, deadlineMs: longDeadline}
			if i == 0 {
				cancelled = j
			}
			clients.Go(func() { f.post((n+i)%entryCount, j) })
		}
		time.Sleep(beforeCancel)
		if len(f.rec.runsOf(cancelled.id)) == 0 {
			return nil, fmt.Errorf("job %s has not begun", cancelled.id)
		}
		entry := n % entryCount
		if trouble {
			f.rec.add("client DELETE %s at entry %d: the connection is reset before the request is read", cancelled.id, entry+1)
			if conn, err := net.Dial("tcp", broken); err == nil {
				_, _ = conn.Read(make([]byte, 1))
				_ = conn.Close()
			}
			time.Sleep(resendDelay)
			entry = (entry + 1) % entryCount
		}
		ack := f.delete(entry, cancelled.id)
		clients.Wait()
		if ack.status != http.StatusOK && ack.status != http.StatusGone {
			continue // the cancel was not acknowledged
		}
		acknowledged++
		for _, r := range f.rec.runsOf(cancelled.id) {
			switch limit := ack.at.Add(cancelTime); {
			case r.at.After(limit):
				violations = append(violations, fmt.Sprintf("UNASKED: task %s starts %.2f s after the cancelling of its job was acknowledged with %d", r.task, r.at.Sub(ack.at).Seconds(), ack.status))
			case r.ended.After(limit.Add(stopTimeout)):
				violations = append(violations, fmt.Sprintf("UNASKED: task %s runs on until %.2f s after the cancelling of its job was acknowledged with %d", r.task, r.ended.Sub(ack.at).Seconds(), ack.status))
			}
		}
	}
	f.rec.add("%d of %d cancels were acknowledged", acknowledged, cancelledJobs)
	if acknowledged == 0 {
		return nil, fmt.Errorf("no cancel was acknowledged")
	}
	return violations, nil
}

// listenAndReset accepts connections in place of an entry, and resets them at once. It returns its address.
func (f *fleet) listenAndReset() (string, error) {
	l, err := net.Listen("tcp", f.addr(1, resetPort))
	if err != nil {
		return "", err
	}
	go func() {
		defer func() { _ = l.Close() }()
		for f.ctx.Err() == nil {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String(), nil
}
