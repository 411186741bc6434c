package conductor

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/carrier"
	"github.com/crocuslb/crocuslb/catcher"
	"github.com/crocuslb/crocuslb/marshaler"
	"github.com/crocuslb/crocuslb/platform"
	"github.com/crocuslb/crocuslb/router"
	"github.com/crocuslb/crocuslb/submitter"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	// lingerTime is how long an entry that stops still takes requests on open connections, so that the load balancer
	// and callers can turn away first.
	lingerTime = 2500 * time.Millisecond
	// closeTime is the part of the drain time that is left for answers after the last jobs were given up.
	closeTime = 300 * time.Millisecond
)

// Entry is an entry process on the users' platform.
type Entry struct {
	Options

	loop    *loop
	core    submitter.Submitter
	config  configuration
	members directory
	owner   owner
	node    carrier.Node
	monitor monitor
	links   sessions
	ready   atomic.Bool
	closing atomic.Bool
}

// Run serves until ctx ends, then finishes the work in flight within Options.Drain.
func (e *Entry) Run(ctx context.Context) error {
	incarnation := uint64(time.Now().UnixMilli())
	if e.Advertise == "" {
		e.Advertise = e.Address
	}
	e.loop = newLoop()
	e.monitor.logger, e.monitor.dropped = e.Logger, e.Dropped
	e.loop.panicked = func(err error) { e.monitor.panicked("loop", err) }
	e.core = submitter.Submitter{Name: e.Name, Incarnation: incarnation, Domain: e.Domain, Weight: e.Weight, Report: e.report, Partitions: e.Partitions}
	e.owner = owner{
		logger: e.Logger, store: newStore(e.Store, 0), loop: e.loop, core: &e.core, member: e.Name, nudges: make(chan struct{}, 1),
		budget: budget{rate: writeShare * float64(e.Writes) / float64(max(e.Partitions, 1))},
	}
	e.core.Record, e.core.Redealt = e.owner.record, e.owner.nudge
	e.config = configuration{logger: e.Logger, changed: e.core.SetSnapshot, known: make(chan struct{})}
	e.node = carrier.Node{
		Hello: func() marshaler.Hello {
			return marshaler.Hello{Role: marshaler.RoleEntry, Name: e.Name, Incarnation: incarnation, Domain: e.Domain, Address: e.Advertise, Weight: e.Weight}
		},
	}
	e.members = directory{
		logger: e.Logger, store: newStore(e.Store, entriesWait), connect: e.node.Connect,
		self:   marshaler.Peer{Name: e.Name, Address: e.Advertise, Incarnation: incarnation},
		wanted: func(p marshaler.Peer) bool { return p.Name < e.Name },
	}
	// The process outlives ctx by its drain time.
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	e.members.kept = func(inUse bool) { e.useKept(life, inUse) }
	e.core.WantKept = func() { e.members.announceKept(life) }
	e.links = sessions{
		loop: e.loop, config: &e.config, members: &e.members, up: e.core.OnUp, down: e.core.OnDown, message: e.core.OnMessage,
		panicked: e.monitor.panicked,
	}
	e.links.attach(life, &e.node)
	e.monitor.traffic = &e.node.Traffic
	e.loop.flush = e.core.Flush
	e.loop.tick = func(now timer.Millis) {
		e.core.Tick(now)
		e.ready.Store(e.core.Ready())
	}
	if _, err := e.node.Listen(life, e.Address); err != nil {
		return err
	}
	servers, err := e.listen(life)
	if err != nil {
		return err
	}
	e.members.addSeeds(life, e.Seeds)
	store := newStore(e.Store, configurationWait)
	go e.config.follow(life, e.loop, store)
	go e.members.follow(life, func() { e.links.sendAll(&marshaler.Peers{Peers: e.members.list()}) })
	e.Logger.WithFields(log.Fields{"name": e.Name, "domain": e.Domain, "address": e.Address, "callers": e.Callers}).Info("entry: started")
	broken := make(chan error, 1)
	go func() { broken <- e.loop.run(life) }()
	select {
	case <-ctx.Done():
	case err := <-broken:
		return err
	}
	e.drain(life, servers)
	end()
	closeAll(servers)
	e.node.Wait()
	e.Logger.WithField("name", e.Name).Info("entry: stopped")
	return nil
}

// listen starts the HTTP servers. The first one serves callers.
func (e *Entry) listen(ctx context.Context) ([]*http.Server, error) {
	callers := &platform.Callers{
		Snapshot: func(deadline timer.Millis, gone <-chan struct{}) (*router.Snapshot, timer.Millis) {
			return e.config.await(e.loop.clock, submitter.Patience(deadline), gone)
		},
		Submit: func(j submitter.Job, gone <-chan struct{}) submitter.Answer { return e.submit(ctx, j, gone) },
		Cancel: func(queue, id string, gone <-chan struct{}) submitter.Answer {
			return e.call(ctx, gone, func(now timer.Millis, answer func(a submitter.Answer)) { e.core.Cancel(now, queue, id, answer) })
		},
		State: func(queue, id string, gone <-chan struct{}) submitter.Answer {
			return e.call(ctx, gone, func(now timer.Millis, answer func(a submitter.Answer)) { e.core.State(now, queue, id, answer) })
		},
		Waiting: func(queue string) (waiting int) {
			e.ask(ctx, func(timer.Millis) bool { waiting = e.core.Waiting(queue); return true })
			return waiting
		},
		Refused: func(id, queue, reason string, status int) {
			e.report(submitter.Event{Kind: "refuse", Job: id, Queue: queue, Detail: "callers " + reason, Value: int64(status)})
		},
		Closing: e.closing.Load,
	}
	ready := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready.Load() || e.closing.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return serveAll(ctx, &e.monitor, []endpoint{
		{e.Callers, callers}, {e.Ready, ready}, {e.Metrics, e.monitor.handler()},
	})
}

// ask calls f in the loop and waits for its result.
func (e *Entry) ask(ctx context.Context, f func(now timer.Millis) bool) bool {
	result := make(chan bool, 1)
	e.loop.do(ctx, func(now timer.Millis) {
		ok := false
		defer func() { result <- ok }() // also when f panics
		ok = f(now)
	})
	select {
	case ok := <-result:
		return ok
	case <-ctx.Done():
		return false
	}
}

// call calls f in the loop and waits for the answer that follows, or until the caller leaves.
func (e *Entry) call(ctx context.Context, gone <-chan struct{}, f func(now timer.Millis, answer func(a submitter.Answer))) submitter.Answer {
	answer, give := newAnswer()
	e.loop.do(ctx, func(now timer.Millis) { e.guard(give, func() { f(now, give) }) })
	select {
	case a := <-answer:
		return a
	case <-gone:
		return submitter.Answer{Kind: submitter.AnswerGaveUp, Reason: "caller left"}
	case <-ctx.Done():
		return submitter.Answer{Kind: submitter.AnswerGaveUp, Reason: "the entry ended"}
	}
}

// newAnswer returns a channel that takes the first answer, and the function that gives it.
func newAnswer() (answer chan submitter.Answer, give func(a submitter.Answer)) {
	answer = make(chan submitter.Answer, 1)
	return answer, func(a submitter.Answer) {
		select {
		case answer <- a:
		default: // answered already
		}
	}
}

// guard calls f. If it panics, the caller is told that the job's outcome is open, because some of it may have run.
func (e *Entry) guard(give func(a submitter.Answer), f func()) {
	if err := catcher.Catch(f); err != nil {
		e.monitor.panicked("caller", err)
		give(submitter.Answer{Kind: submitter.AnswerGaveUp, Reason: "internal error"})
	}
}

// useKept takes what the store says of kept jobs. This entry owns some of their partitions from then on.
func (e *Entry) useKept(ctx context.Context, inUse bool) {
	e.loop.do(ctx, func(now timer.Millis) { e.core.SetKept(now, inUse) })
	if inUse {
		e.owner.start(ctx)
	}
}

// submit passes a job to the core and waits for its answer.
func (e *Entry) submit(ctx context.Context, j submitter.Job, gone <-chan struct{}) submitter.Answer {
	answer, give := newAnswer()
	j.Answer = give
	e.loop.do(ctx, func(now timer.Millis) { e.guard(give, func() { e.core.Submit(now, j) }) })
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return submitter.Answer{Kind: submitter.AnswerGaveUp, Reason: "the entry ended"}
	case <-gone:
	}
	if j.Kind.Kept { // it may be in the store
		return submitter.Answer{Kind: submitter.AnswerGaveUp, Reason: "caller left"}
	}
	e.loop.do(ctx, func(now timer.Millis) { e.guard(give, func() { e.core.Drop(now, j.ID, "caller left") }) })
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return submitter.Answer{Kind: submitter.AnswerGaveUp, Reason: "the entry ended"}
	}
}

// drain ends the process: callers are turned away first, then the jobs in work end, then what is left is given up.
func (e *Entry) drain(ctx context.Context, servers []*http.Server) {
	e.closing.Store(true)
	e.owner.leave(ctx)
	e.loop.do(ctx, e.core.Leave)
	e.Logger.WithField("drain", e.Drain.String()).Info("entry: stopping")
	started := time.Now()
	limit := e.Drain.Duration()
	time.Sleep(min(lingerTime, limit))
	finish, cancel := context.WithTimeout(ctx, limit-time.Since(started)-closeTime)
	defer cancel()
	err := servers[0].Shutdown(finish)
	if errors.Is(err, context.DeadlineExceeded) {
		e.ask(ctx, func(now timer.Millis) bool { e.core.DropAll(now, "the entry ends"); return true })
		time.Sleep(closeTime) // the answers are on their way
	}
}

func (e *Entry) report(v submitter.Event) {
	detail, _, _ := strings.Cut(v.Detail, " ")
	if v.Kind == "reject" || v.Kind == "release" || v.Kind == "sidecarLost" || v.Kind == "entryLost" {
		detail = ""
	}
	e.monitor.count(v.Kind, detail)
	if v.Kind == "answer" {
		e.monitor.metrics.Observe(`crocuslb_job_response_seconds{answer="`+detail+`"}`, v.Took)
	}
	fields := log.Fields{"detail": v.Detail, "value": v.Value}
	if v.Job != "" {
		fields["job"], fields["queue"] = v.Job, v.Queue
	}
	if v.Peer != "" {
		fields["peer"] = v.Peer
	}
	if v.Took != 0 {
		fields["tookMs"] = int64(v.Took)
	}
	if v.Expected != 0 {
		fields["expectedMs"], fields["deadlineMs"] = int64(v.Expected), int64(v.Deadline)
	}
	s := e.config.current()
	fields["version"] = s.Version
	e.Logger.WithFields(fields).Info("entry: " + v.Kind)
}

// closeAll ends the servers of a process that has answered what it could.
func closeAll(servers []*http.Server) {
	for _, server := range servers {
		_ = server.Close() // the process ends in any case
	}
}

// endpoint is a listen address with its handler.
type endpoint struct {
	address string
	handler http.Handler
}

// serveAll starts a server for each endpoint with an address.
func serveAll(ctx context.Context, m *monitor, endpoints []endpoint) ([]*http.Server, error) {
	var servers []*http.Server
	for _, p := range endpoints {
		if p.address == "" {
			continue
		}
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", p.address)
		if err != nil {
			return servers, trace.ConnectionProblem(err, "cannot listen on %q: %v", p.address, err)
		}
		server := &http.Server{Handler: m.guarded(p), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		servers = append(servers, server)
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				m.logger.WithError(err).WithField("address", p.address).Error("http: listener ended")
			}
		}()
	}
	return servers, nil
}
