package dispatcher

import (
	"context"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/appender"
	"github.com/crocuslb/crocuslb/configurer"
	"github.com/crocuslb/crocuslb/encoder"
)

// Submit submits a job and waits for its answer. If ctx is done first, the answer has the state running.
func (e *Entry) Submit(ctx context.Context, job encoder.Job) encoder.Answer {
	return e.request(ctx, eventSubmit, job)
}

// Get returns the state of a submission.
func (e *Entry) Get(ctx context.Context, key string) encoder.Answer {
	return e.request(ctx, eventGet, encoder.Job{Key: key})
}

// Cancel cancels a submission and returns its state right after the cancellation. Running tasks may end later.
func (e *Entry) Cancel(ctx context.Context, key string) encoder.Answer {
	return e.request(ctx, eventCancel, encoder.Job{Key: key})
}

func (e *Entry) request(ctx context.Context, kind eventKind, job encoder.Job) encoder.Answer {
	e.init()
	id := e.lastRequest.Add(1)
	answer := make(chan encoder.Answer, 1)
	stopped := failedAnswer(job.Key, encoder.CodeUnavailable, encoder.OutcomeUnknown, "the entry has stopped")
	if !e.post(event{kind: kind, request: id, job: job, answer: answer}) {
		return stopped
	}
	select {
	case a := <-answer:
		return a
	case <-e.stopped:
		return stopped
	case <-ctx.Done():
		e.post(event{kind: eventAbandon, request: id, job: encoder.Job{Key: job.Key}})
		return encoder.Answer{Key: job.Key, State: encoder.JobRunning}
	}
}

// runOnControlLoop calls a function on the control goroutine and waits for it to return.
func (e *Entry) runOnControlLoop(ctx context.Context, run func()) error {
	e.init()
	done := make(chan struct{})
	if !e.post(event{kind: eventCall, call: func() { run(); close(done) }}) {
		return trace.ConnectionProblem(nil, "entry %s has stopped", e.ID)
	}
	select {
	case <-done:
		return nil
	case <-e.stopped:
		return trace.ConnectionProblem(nil, "entry %s has stopped", e.ID)
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	}
}

// Publish checks a configuration change, appends it to the log and waits until it is accepted. With dryRun, the change is
// only checked against the current configuration.
func (e *Entry) Publish(ctx context.Context, n configurer.Note, dryRun bool) (Publication, error) {
	return e.publish(ctx, func() (configurer.Note, string) { return n, "" }, dryRun)
}

// Withdraw takes a failure domain out of service.
func (e *Entry) Withdraw(ctx context.Context, domain, author string) (Publication, error) {
	return e.publish(ctx, func() (configurer.Note, string) { return e.domainNote(domain, author, false), domain }, false)
}

// Return returns a failure domain to service. It is refused while the withdrawal is not recorded in the log yet.
func (e *Entry) Return(ctx context.Context, domain, author string) (Publication, error) {
	var provisional bool
	if err := e.runOnControlLoop(ctx, func() { _, provisional = e.core.domainState.provisional[domain] }); err != nil {
		return Publication{State: PublicationUnknown}, err
	}
	if provisional {
		return Publication{State: PublicationRefused, Findings: []configurer.Finding{{
			Location: "domain/" + domain, Message: "the withdrawal of the domain is not recorded in the log yet",
		}}}, nil
	}
	return e.publish(ctx, func() (configurer.Note, string) { return e.domainNote(domain, author, true), "" }, false)
}

// publish builds the change on the control goroutine, so that it is based on the configuration that it is checked against.
func (e *Entry) publish(ctx context.Context, build func() (configurer.Note, string), dryRun bool) (Publication, error) {
	id := e.lastRequest.Add(1)
	done := make(chan Publication, 1)
	err := e.runOnControlLoop(ctx, func() {
		n, domain := build()
		if n.ID == "" {
			n.ID = appender.NewID()
		}
		if len(n.Added)+len(n.Changed)+len(n.Withdrawn) == 0 && (domain != "" || !dryRun) && n.Comment == domainChangeComment {
			done <- Publication{
				Offset: e.configuration.Offset(), State: PublicationAccepted, Lagging: e.core.lagging(e.configuration.Offset()),
			}
			return
		}
		if findings := configurer.CheckNote(e.configuration, n); len(findings) > 0 || dryRun {
			p := Publication{State: PublicationRefused, Findings: findings}
			if len(findings) == 0 {
				p.State = PublicationAccepted
			}
			done <- p
			return
		}
		e.pendingPublications[id] = done
		e.core.Publish(e.Clock.Now(), id, configurer.AppendNote(nil, n), domain, n.Author)
	})
	if err != nil {
		return Publication{State: PublicationUnknown}, err
	}
	select {
	case p := <-done:
		return p, nil
	case <-e.stopped:
		return Publication{State: PublicationUnknown}, trace.ConnectionProblem(nil, "entry %s has stopped", e.ID)
	case <-ctx.Done():
		_ = e.runOnControlLoop(context.WithoutCancel(ctx), func() { delete(e.pendingPublications, id) })
		return Publication{State: PublicationUnknown}, trace.Wrap(ctx.Err())
	}
}

// domainChangeComment is the comment of changes that withdraw or return a failure domain.
const domainChangeComment = "failure domain"

func (e *Entry) domainNote(domain, author string, inForce bool) configurer.Note {
	s := e.configuration.WithDomainsWithdrawn()
	n := configurer.Note{Base: s.Offset()}
	if s.DomainInService(domain) != inForce {
		n = configurer.Diff(s, s.WithDomain(domain, inForce))
	}
	n.Author, n.Comment = author, domainChangeComment
	return n
}

func (e *Entry) withdrawRecord(domain, author string) []byte {
	if author == "" {
		author = e.ID
	}
	n := e.domainNote(domain, author, false)
	n.ID = appender.NewID()
	return configurer.AppendNote(nil, n)
}

// History returns the latest configuration changes that this entry read from the log, newest first.
func (e *Entry) History(ctx context.Context, limit int) ([]ConfigurationChange, error) {
	var list []ConfigurationChange
	err := e.runOnControlLoop(ctx, func() {
		for i := len(e.history) - 1; i >= 0 && len(list) < limit; i-- {
			list = append(list, e.history[i])
		}
	})
	return list, err
}

// Drain refuses new submissions, leaves the roster, hands over the submissions that the entry owns, and returns when no
// caller is waiting at this entry. It returns an error if ctx is done first.
func (e *Entry) Drain(ctx context.Context) error {
	done := make(chan struct{})
	err := e.runOnControlLoop(ctx, func() {
		e.drained = done
		e.core.Drain(e.Clock.Now())
	})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-e.stopped:
		return nil
	case <-ctx.Done():
		return trace.LimitExceeded("entry %s still had requests in flight at the end of the drain", e.ID)
	}
}
