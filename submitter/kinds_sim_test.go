package submitter

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/crocuslb/crocuslb/marshaler"
)

// kindDraws draws the labels and services of backend servers, and the labels that jobs require. A server that starts again
// may be of another kind. It has a random source of its own, so that the other draws of a seed remain as they are.
type kindDraws struct {
	random   *rand.Rand
	required map[string]string // label by job
}

// drawKinds gives the backend servers kinds and lets jobs require labels. The first server always has all labels, so that
// each job can run.
func (w *simulation) drawKinds() {
	w.kinds = &kindDraws{random: rand.New(rand.NewPCG(w.seed, 2)), required: map[string]string{}}
	for _, s := range w.sidecars {
		s.backend.drawKind()
	}
}

// drawKind draws the kind of a backend server that starts.
func (b *fakeBackend) drawKind() {
	k := b.w.kinds
	if k == nil {
		return
	}
	b.service, b.labels = testQueue.Service, []string{"a", "b"}
	first, last := b.w.sidecars[0].backend, b.w.sidecars[len(b.w.sidecars)-1].backend
	if b == first {
		return
	}
	b.labels = [][]string{{"a"}, {"b"}, {"a", "b"}, nil}[k.random.IntN(4)]
	if b == last && k.random.IntN(3) == 0 {
		b.service = otherService
	}
}

// requireLabel lets a quarter of the jobs require a label. Those with a limit of tasks on one server do not: one server may be
// the only one with the label.
func (w *simulation) requireLabel(id string) {
	if w.kinds != nil && w.serverLimit[id] == 0 && w.kinds.random.IntN(4) == 0 {
		w.kinds.required[id] = []string{"a", "b"}[w.kinds.random.IntN(2)]
	}
}

// requiredLabel returns the label that a job requires, or "".
func (w *simulation) requiredLabel(id string) string {
	if w.kinds == nil {
		return ""
	}
	return w.kinds.required[id]
}

// checkKind checks that a task may run on a backend server of its present kind.
func (b *fakeBackend) checkKind(key marshaler.RunKey) {
	if b.w.kinds == nil {
		return
	}
	label := b.w.requiredLabel(key.Job)
	allowed := b.service == testQueue.Service || b.w.queueMoved && b.service == otherService
	if !allowed || label != "" && !slices.Contains(b.labels, label) {
		b.w.t.Errorf("at %d ms, task %s, which requires service %s and label %q, starts on %s, which has %s and %q; faults: %v; decisions: %s", b.w.now, taskOf(key),
			testQueue.Service, label, b.id, b.service, b.labels, b.w.faults, strings.Join(b.w.decisions[key.Job], "\n"))
	}
}
