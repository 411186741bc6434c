//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	holdMaxMs       = 1000 // HoldMaxMs
	heartbeatPeriod = 1500 * time.Millisecond
	maxStopDelayMs  = 40 // below StopTimeoutMs
	firstClockMs    = 480_000
	minLate         = 2 * time.Second // of an order that gets no answer
	maxLate         = 12 * time.Second
)

type (
	// executor is a sound executor with admission control, which keeps to PROTOCOL.md. The work of its tasks is in their Spec.
	executor struct {
		machine, zone, service string
		address, control       string
		cpu                    int64
		rec                    *recorder

		mu    sync.Mutex
		life  *life // nil while the executor is down
		boots int
		// late is the share of the orders that get no answer and are carried out minLate to maxLate later.
		late float64
		// unguarded says that starts beyond the capacity are carried out. The capacity counts as shrunk from shrunkFrom on.
		unguarded  bool
		formerCPU  int64
		shrunkFrom time.Time
		// hangs says that runs make no progress.
		hangs bool
	}

	// life is one incarnation of an executor.
	life struct {
		id         string
		server     *http.Server
		cancel     context.CancelFunc
		born       time.Time
		sequence   int
		leaseUntil int64
		runs       map[string]*run
		fenced     map[string]uint64
		ends       []*end
		lastEnd    uint64
		changed    chan struct{}
	}

	run struct {
		task    string
		number  uint64
		spec    spec
		started time.Time
		stopped bool
	}

	// end is an entry of the list of ended runs. lapsed says that the lease has lapsed since, so that it counts as not taken
	// note of.
	end struct {
		number uint64
		task   string
		run    uint64
		how    string
		lapsed bool
	}

	// spec is what a client writes into Spec: the work of a task, the room it needs, the index of the task that always fails, and
	// whether its tasks crash each executor that starts them.
	spec struct {
		ms        int
		cpu       int64
		failIndex int // -1: none
		deadly    bool
	}

	order struct {
		Task       string
		Run        uint64
		Spec       string
		DeadlineMs int64
		LastSeen   uint64
		WaitMs     int64
	}
)

func (s spec) String() string {
	return fmt.Sprintf("ms=%d cpu=%d fail=%d deadly=%t", s.ms, s.cpu, s.failIndex, s.deadly)
}

func parseSpec(text string) (s spec) {
	s.failIndex = -1
	_, _ = fmt.Sscanf(text, "ms=%d cpu=%d fail=%d deadly=%t", &s.ms, &s.cpu, &s.failIndex, &s.deadly)
	return s
}

// boot begins a new life at the same address.
func (x *executor) boot() error {
	listener, err := net.Listen("tcp", x.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	x.mu.Lock()
	x.boots++
	l := &life{
		id: fmt.Sprintf("i-%s-%d", x.machine, x.boots), cancel: cancel, born: time.Now(), runs: map[string]*run{}, fenced: map[string]uint64{},
		changed: make(chan struct{}),
	}
	l.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { x.serve(l, w, r) })}
	x.life = l
	x.mu.Unlock()
	go func() { _ = l.server.Serve(listener) }()
	go x.work(ctx, l)
	go x.announce(ctx, l)
	x.rec.add("executor %s up as %s", x.machine, l.id)
	return nil
}

// crash ends the present life without a word.
func (x *executor) crash() {
	x.mu.Lock()
	defer x.mu.Unlock()
	l := x.life
	if l == nil {
		return
	}
	x.life = nil
	l.cancel()
	_ = l.server.Close()
	tasks := make([]string, 0, len(l.runs))
	for task := range l.runs {
		tasks = append(tasks, task)
	}
	x.rec.add("executor %s crashes, running %v", x.machine, tasks)
	for _, task := range tasks {
		x.rec.gone(x.machine, task, l.runs[task].number)
	}
}

// bootAgain begins a new life after a crash.
func (x *executor) bootAgain() {
	if err := x.boot(); err != nil {
		x.rec.add("executor %s does not come back: %v", x.machine, err)
	}
}

func (x *executor) announce(ctx context.Context, l *life) {
	acknowledged := false
	for ctx.Err() == nil {
		x.mu.Lock()
		l.sequence++
		body, _ := json.Marshal(map[string]any{
			"Backend": x.service, "Address": x.address, "Zone": x.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
			"Capacity": map[string]int64{"Cpu": x.cpu, "MemMb": 131072, "Gpu": 0}, "Labels": []string{"a", "r1-1"}, "ClockMs": l.clock(),
			"Sequence": l.sequence, "born": l.born.UnixMilli(),
		})
		x.mu.Unlock()
		call, cancel := context.WithTimeout(ctx, time.Second)
		r, _ := http.NewRequestWithContext(call, http.MethodPost, "http://"+x.control+"/Instances.Heartbeat/"+l.id, bytes.NewReader(body))
		r.Header.Set("Content-Type", "application/json")
		if response, err := http.DefaultClient.Do(r); err == nil {
			acknowledged = acknowledged || response.StatusCode/100 == 2
			_ = response.Body.Close()
		}
		cancel()
		pause := heartbeatPeriod
		if !acknowledged {
			pause = 300 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func (l *life) clock() int64 { return firstClockMs + time.Since(l.born).Milliseconds() }

// work ends the runs that are due, and all of them once the lease has lapsed.
func (x *executor) work(ctx context.Context, l *life) {
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		x.mu.Lock()
		x.checkLease(l)
		for _, task := range l.tasks() {
			r := l.runs[task]
			if x.hangs {
				r.started = r.started.Add(2 * time.Millisecond)
			}
			if time.Since(r.started) < time.Duration(r.spec.ms)*time.Millisecond {
				continue
			}
			if r.spec.failIndex >= 0 && strings.HasSuffix(task, fmt.Sprintf(".%d", r.spec.failIndex)) {
				x.end(l, r, "failed")
			} else {
				x.end(l, r, "done")
			}
		}
		x.mu.Unlock()
	}
}

func (l *life) tasks() (tasks []string) {
	for task := range l.runs {
		tasks = append(tasks, task)
	}
	sort.Strings(tasks)
	return tasks
}

func (x *executor) checkLease(l *life) {
	if l.clock() < l.leaseUntil {
		return
	}
	for _, e := range l.ends {
		e.lapsed = true
	}
	for _, task := range l.tasks() {
		x.end(l, l.runs[task], "lapsed")
	}
}

func (x *executor) end(l *life, r *run, how string) {
	delete(l.runs, r.task)
	l.fenced[r.task] = max(l.fenced[r.task], r.number)
	l.lastEnd++
	l.ends = append(l.ends, &end{number: l.lastEnd, task: r.task, run: r.number, how: how})
	x.rec.ended(x.machine, r.task, r.number, how)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (x *executor) serve(l *life, w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(io.LimitReader(r.Body, 1<<20)).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != l.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if x.answersLate() {
		path := r.URL.Path
		time.AfterFunc(minLate+rand.N(maxLate-minLate), func() { x.carryOut(context.Background(), l, &noWriter{http.Header{}}, path, &o) })
		panic(http.ErrAbortHandler)
	}
	x.carryOut(r.Context(), l, w, r.URL.Path, &o)
}

func (x *executor) lives(l *life) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.life == l
}

func (x *executor) answersLate() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return rand.Float64() < x.late
}

func (x *executor) setLate(share float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.late = share
}

// setCPU changes the capacity. A smaller one counts ContactMs and one heartbeat later.
func (x *executor) setCPU(cpu int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if cpu == x.cpu {
		return
	}
	x.rec.add("executor %s has room %d", x.machine, cpu)
	x.formerCPU, x.cpu, x.shrunkFrom = x.cpu, cpu, time.Now().Add(contactTime+heartbeatPeriod)
}

func (x *executor) setHangs(hangs bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.hangs = hangs
}

// noWriter takes the answer to an order that gets none.
type noWriter struct{ header http.Header }

func (w *noWriter) Header() http.Header         { return w.header }
func (w *noWriter) Write(b []byte) (int, error) { return len(b), nil }
func (w *noWriter) WriteHeader(int)             {}

func (x *executor) carryOut(ctx context.Context, l *life, w http.ResponseWriter, path string, o *order) {
	if !x.lives(l) {
		return // the executor crashed before a late order was carried out
	}
	switch path {
	case "/run-start":
		status, reason := x.start(l, o)
		if status == http.StatusOK && parseSpec(o.Spec).deadly {
			x.crash()
			time.AfterFunc(crashTime, x.bootAgain)
			return
		}
		x.reply(w, l, status, map[string]any{"Reason": reason})
	case "/run-stop":
		x.stop(l, o)
		x.reply(w, l, http.StatusOK, map[string]any{})
	case "/hold":
		x.hold(ctx, l, o, w)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (x *executor) reply(w http.ResponseWriter, l *life, status int, body map[string]any) {
	body["ClockMs"], body["born"] = l.clock(), l.born.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (l *life) extend(deadline int64) {
	l.leaseUntil = max(l.leaseUntil, min(deadline, l.clock()+holdMaxMs))
}

func (x *executor) start(l *life, o *order) (int, string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.checkLease(l)
	if o.DeadlineMs <= l.clock() {
		return http.StatusConflict, "late"
	}
	l.extend(o.DeadlineMs)
	if r := l.runs[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, ""
	}
	if l.fenced[o.Task] >= o.Run || l.runs[o.Task] != nil {
		return http.StatusConflict, "old"
	}
	s := parseSpec(o.Spec)
	used := s.cpu
	for _, r := range l.runs {
		used += r.spec.cpu
	}
	if used > x.cpu && !x.unguarded {
		return http.StatusConflict, "room"
	}
	if used > x.cpu && (time.Now().After(x.shrunkFrom) || used > x.formerCPU) {
		x.rec.violation("LIMIT: run %d of %s starts on %s, which then uses %d of %d", o.Run, o.Task, x.machine, used, x.cpu)
	}
	l.runs[o.Task] = &run{task: o.Task, number: o.Run, spec: s, started: time.Now()}
	x.rec.started(x.machine, o.Task, o.Run)
	return http.StatusOK, ""
}

func (x *executor) stop(l *life, o *order) {
	x.mu.Lock()
	defer x.mu.Unlock()
	l.fenced[o.Task] = max(l.fenced[o.Task], o.Run)
	r := l.runs[o.Task]
	if r == nil || r.number != o.Run || r.stopped {
		return
	}
	r.stopped = true
	time.AfterFunc(time.Duration(rand.IntN(maxStopDelayMs))*time.Millisecond, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		if l.runs[o.Task] == r && x.life == l {
			x.end(l, r, "stopped")
		}
	})
}

func (x *executor) hold(ctx context.Context, l *life, o *order, w http.ResponseWriter) {
	x.mu.Lock()
	x.checkLease(l)
	kept := l.ends[:0]
	for _, e := range l.ends {
		if e.number > o.LastSeen {
			kept = append(kept, e)
			continue
		}
		x.rec.noted(x.machine, e)
	}
	l.ends = kept
	l.extend(o.DeadlineMs)
	if len(l.ends) == 0 && o.WaitMs > 0 {
		changed := l.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		case <-ctx.Done():
			return
		}
		x.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, task := range l.tasks() {
		r := l.runs[task]
		percent := 0
		if r.spec.ms > 0 {
			percent = int(min(100, 100*time.Since(r.started).Milliseconds()/int64(r.spec.ms)))
		}
		running = append(running, []any{task, r.number, "", percent, r.spec.cpu})
	}
	for _, e := range l.ends[:min(len(l.ends), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	x.mu.Unlock()
	x.reply(w, l, http.StatusOK, map[string]any{"Running": running, "Ended": ended})
}
