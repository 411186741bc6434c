package runner

import (
	"context"
	"net/http"
	"time"

	"github.com/crocuslb/crocuslb/explainer"
	"github.com/crocuslb/crocuslb/platform"
	"github.com/crocuslb/crocuslb/submitter"
	"github.com/crocuslb/crocuslb/timer"
)

// explainWait bounds an explanation. It covers the wait for the placing entry and a busy event loop.
const explainWait = 2 * time.Second

// metricsHandler serves the metrics and the explanations.
func (e *Entry) metricsHandler() http.Handler {
	metrics, explain := e.monitor.metricsHandler(), explainer.NewServer(e.config.current, e.explain)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == platform.PathExplain {
			explain.ServeHTTP(w, r)
			return
		}
		metrics.ServeHTTP(w, r)
	})
}

// explain asks the core about a job. It returns false if the core does not answer in time.
func (e *Entry) explain(r *http.Request, j submitter.Job) (submitter.Explanation, bool) {
	ctx, cancel := context.WithTimeout(r.Context(), explainWait)
	defer cancel()
	answer := make(chan submitter.Explanation, 1)
	asked := e.loop.clock.Now()
	ok := e.query(ctx, func(now timer.Millis) bool {
		e.core.Explain(now, asked, j, func(x submitter.Explanation) { answer <- x })
		return true
	})
	if !ok {
		return submitter.Explanation{}, false
	}
	select {
	case x := <-answer:
		return x, true
	case <-ctx.Done():
		return submitter.Explanation{}, false
	}
}
