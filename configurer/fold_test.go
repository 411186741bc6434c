package configurer

import (
	"bytes"
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/crocuslb/crocuslb/appender"
)

// change is an accepted change in the history of a model.
type change struct {
	at  uint64
	key string
}

// A fixed seed makes runs repeatable; -rapid.seed tries others.
var _ = flag.Set("rapid.seed", "1")

// drawNote draws a note on a few keys, so that notes collide.
func drawNote(t *rapid.T, offset uint64) Note {
	n := Note{Base: rapid.Uint64Range(0, offset).Draw(t, "base")}
	keys := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"domain/a", "domain/b", "team/x", "kind/k", "setting/s"}), 1, 3, rapid.ID).Draw(t, "keys")
	for _, k := range keys {
		e := Entry{Key: k, Value: rapid.SampledFrom([]string{"in", "out"}).Draw(t, "value")}
		if k == "team/x" {
			e.Value = Team{Weight: rapid.Uint32Range(1, 9).Draw(t, "weight")}.String()
		}
		switch rapid.IntRange(0, 2).Draw(t, "operation") {
		case 0:
			n.Added = append(n.Added, e)
		case 1:
			n.Changed = append(n.Changed, e)
		default:
			n.Withdrawn = append(n.Withdrawn, k)
		}
	}
	return n
}

// Guards against a fold that accepts a conflicting note, refuses a good one, or applies a part of a note. The model keeps
// the whole history instead of the last change per key.
func TestFoldMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			s       Snapshot
			values  = map[string]string{}
			history []change
		)
		for offset := range rapid.Uint64Range(1, 40).Draw(t, "records") {
			n := drawNote(t, offset)
			good := true
			touch := func(k string, exists bool) {
				_, ok := values[k]
				good = good && ok == exists && !slices.ContainsFunc(history, func(c change) bool { return c.key == k && c.at > n.Base })
			}
			for _, e := range n.Added {
				touch(e.Key, false)
			}
			for _, e := range n.Changed {
				touch(e.Key, true)
			}
			for _, k := range n.Withdrawn {
				touch(k, true)
			}
			before := s
			check := Check(s, n)
			next, findings := Fold(s, offset, AppendNote(nil, n))
			if got := len(findings) == 0; got != good || len(check) != len(findings) {
				t.Fatalf("offset %d, note %+v: got findings %v, check %v, want accepted %v", offset, n, findings, check, good)
			}
			if !before.Equal(s) || next.Offset() != offset+1 {
				t.Fatalf("fold changed its argument or got offset %d", next.Offset())
			}
			s = next
			if good {
				for _, e := range slices.Concat(n.Added, n.Changed) {
					values[e.Key] = e.Value
					history = append(history, change{at: offset + 1, key: e.Key})
				}
				for _, k := range n.Withdrawn {
					delete(values, k)
					history = append(history, change{at: offset + 1, key: k})
				}
			}
			if s.Len() != len(values) {
				t.Fatalf("got %d keys, want %d", s.Len(), len(values))
			}
			for k, want := range values {
				if got, _, _ := s.Get(k); got != want {
					t.Fatalf("key %s: got %q, want %q", k, got, want)
				}
			}
			for _, d := range []string{"a", "b", "unknown"} {
				if got, want := s.DomainInForce(d), values["domain/"+d] != "out"; got != want {
					t.Fatalf("domain %s in force: got %v, want %v", d, got, want)
				}
			}
		}
	})
}

// Guards against two racing notes on one key that both win or both lose.
func TestRacingNotes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, offset := Snapshot{}, uint64(0)
		apply := func(n Note) bool {
			next, findings := Apply(s, offset, Record{Kind: KindNote, Note: n})
			s, offset = next, offset+1
			return len(findings) == 0
		}
		if rapid.Bool().Draw(t, "exists") {
			apply(Note{Added: []Entry{{"domain/a", "in"}}})
		}
		operations := []Note{{Base: offset, Added: []Entry{{"domain/a", "out"}}}}
		if s.Len() > 0 {
			operations = []Note{{Base: offset, Changed: []Entry{{"domain/a", "out"}}}, {Base: offset, Withdrawn: []string{"domain/a"}}}
		}
		won := 0
		for range rapid.IntRange(2, 5).Draw(t, "operators") {
			if apply(rapid.SampledFrom(operations).Draw(t, "note")) {
				won++
			}
		}
		if won != 1 {
			t.Fatalf("got %d winners, want 1", won)
		}
	})
}

// drawStream draws the bodies of a stream with notes, checkpoints of earlier states, and damaged records. It returns the
// state before each record and after the last.
func drawStream(t *rapid.T) (records []appender.Record, states []Snapshot) {
	states = []Snapshot{{}}
	for offset := range rapid.Uint64Range(1, 40).Draw(t, "records") {
		var body []byte
		switch rapid.IntRange(0, 9).Draw(t, "kind") {
		case 0, 1:
			// An appender of a checkpoint may have been slow, so that its state is older than its record.
			body, _ = AppendCheckpoint(nil, states[rapid.IntRange(0, len(states)-1).Draw(t, "state")])
		case 2:
			body = rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "damaged")
		default:
			body = AppendNote(nil, drawNote(t, offset))
		}
		next, _ := Fold(states[offset], offset, body)
		records, states = append(records, appender.Record{Offset: offset, Body: body}), append(states, next)
	}
	return records, states
}

// Guards against readers of the same prefix with different states, against a checkpoint that changes the outcome, and
// against a state that moves back.
func TestReplayFromAnywhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, states := drawStream(t)
		first := rapid.IntRange(0, len(records)-1).Draw(t, "first retained")
		known := rapid.IntRange(0, len(records)).Draw(t, "known offset")
		p := &Replay{}
		p.Adopt(states[known])
		closes := known >= first
		for i, r := range records[first:] {
			before, _ := p.Snapshot()
			p.Add(r)
			after, ok := p.Snapshot()
			c, err := DecodeRecord(r.Body)
			closes = closes || err == nil && c.Kind == KindCheckpoint && c.Checkpoint.Offset() >= uint64(first)
			switch next := max(first+i+1, known); {
			case after.Offset() < before.Offset():
				t.Fatalf("offset went from %d back to %d", before.Offset(), after.Offset())
			case ok != closes:
				t.Fatalf("record %d: got state known %v, want %v", r.Offset, ok, closes)
			case ok && !after.Equal(states[next]):
				t.Fatalf("record %d: got %+v, want %+v", r.Offset, after, states[next])
			}
		}
	})
}

// Guards against processes that write different checkpoints of the same state.
func TestCheckpointBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, states := drawStream(t)
		p := &Replay{}
		for _, r := range records {
			p.Add(r)
		}
		s, _ := p.Snapshot()
		a, errA := AppendCheckpoint(nil, s.WithDomainsOut("local"))
		b, errB := AppendCheckpoint([]byte("x"), states[len(records)])
		if errA != nil || errB != nil || !bytes.Equal(a, b[1:]) {
			t.Fatalf("got checkpoints %x and %x, errors %v, %v", a, b, errA, errB)
		}
		r, err := DecodeRecord(a)
		if err != nil || !r.Checkpoint.Equal(s) {
			t.Fatalf("got %+v, error %v, want %+v", r.Checkpoint, err, s)
		}
	})
}

// Guards against Diff and the With methods that do not lead to the edited state.
func TestDiffLeadsToEdit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		_, states := drawStream(t)
		s := states[len(states)-1]
		edited := s.Without("kind/k").WithDomain("b", rapid.Bool().Draw(t, "in")).With("setting/new", "1")
		n := Diff(s, edited)
		got, findings := Apply(s, s.Offset(), Record{Kind: KindNote, Note: n})
		if len(findings) > 0 || len(Diff(got, edited).Added) > 0 || !slices.Equal(got.Keys(""), edited.Keys("")) {
			t.Fatalf("got %v from note %+v, findings %v, want %v", got.Keys(""), n, findings, edited.Keys(""))
		}
		if _, findings := Apply(edited, s.Offset(), Record{Kind: KindNote, Note: n}); len(findings) == 0 {
			t.Fatal("an edited snapshot was folded on")
		}
	})
}

// Guards against wrong or missing findings, and against a late note that revives a withdrawn key.
func TestFindings(t *testing.T) {
	s, _ := Apply(Snapshot{}, 0, Record{Kind: KindNote, Note: Note{Added: []Entry{{"domain/a", "in"}, {"team/x", "weight=1"}, {"setting/s", ""}}}})
	s, _ = Apply(s, 1, Record{Kind: KindNote, Note: Note{Base: 1, Changed: []Entry{{"team/x", "weight=2"}}, Withdrawn: []string{"setting/s"}}})
	long := string(make([]byte, MaxKey))
	many := Note{Base: 2}
	for i := range MaxEntries + 1 {
		many.Withdrawn = append(many.Withdrawn, fmt.Sprint("kind/", i))
	}
	for _, c := range []struct {
		name string
		note Note
		want []string // places
	}{
		{"good", Note{Base: 2, Changed: []Entry{{"domain/a", "out"}}}, nil},
		{"empty", Note{Base: 2}, []string{""}},
		{"base ahead", Note{Base: 3, Changed: []Entry{{"domain/a", "out"}}}, []string{"base"}},
		{"untouched key may be older", Note{Base: 1, Changed: []Entry{{"domain/a", "out"}}}, nil},
		{"changed after base", Note{Base: 1, Changed: []Entry{{"team/x", "weight=3"}}}, []string{"changed[0].key"}},
		{"withdrawn after base", Note{Base: 1, Added: []Entry{{"setting/s", "1"}}}, []string{"added[0].key"}},
		{"added again", Note{Base: 2, Added: []Entry{{"setting/s", "1"}}}, nil},
		{"exists", Note{Base: 2, Added: []Entry{{"kind/k", ""}, {"team/x", "weight=1"}}}, []string{"added[1].key"}},
		{"missing", Note{Base: 2, Changed: []Entry{{"kind/k", ""}}, Withdrawn: []string{"kind/j"}}, []string{"changed[0].key", "withdrawn[0]"}},
		{"duplicate", Note{Base: 2, Changed: []Entry{{"team/x", "weight=1"}}, Withdrawn: []string{"team/x"}}, []string{"withdrawn[0]"}},
		{"domain value", Note{Base: 2, Changed: []Entry{{"domain/a", "maybe"}}}, []string{"changed[0].value"}},
		{"team value", Note{Base: 2, Changed: []Entry{{"team/x", "weight=0 quota=1"}}}, []string{"changed[0].value"}},
		{"group", Note{Base: 2, Added: []Entry{{"rack/r", "1"}, {"kind/", ""}, {"kind/a b", ""}}}, []string{"added[0].key", "added[1].key", "added[2].key"}},
		{"too long", Note{ID: long, Base: 2, Added: []Entry{{"kind/" + long, ""}, {"kind/k", string(make([]byte, MaxValue+1))}}}, []string{"id", "added[0].key", "added[1].value"}},
		{"too many", many, []string{""}},
	} {
		var got []string
		for _, f := range Check(s, c.note) {
			got = append(got, f.Place)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: got places %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards against memory that grows with withdrawn keys, and against notes older than what is remembered.
func TestBaseWindow(t *testing.T) {
	s, _ := Apply(Snapshot{}, 0, Record{Kind: KindNote, Note: Note{Added: []Entry{{"kind/k", "1"}}}})
	s, _ = Apply(s, 1, Record{Kind: KindNote, Note: Note{Base: 1, Withdrawn: []string{"kind/k"}}})
	for s.Offset() < BaseWindow+2 {
		if late := Check(s, Note{Base: 1, Added: []Entry{{"kind/k", "1"}}}); len(late) == 0 {
			t.Fatalf("offset %d: a note that had not seen the withdrawal was accepted", s.Offset())
		}
		s, _ = Apply(s, s.Offset(), Record{})
	}
	if len(s.gone) != 0 || s.size != 0 {
		t.Errorf("got %d withdrawn keys of size %d, want none", len(s.gone), s.size)
	}
	if got := Check(s, Note{Base: 1, Added: []Entry{{"kind/k", "1"}}}); len(got) != 1 || got[0].Place != "base" {
		t.Errorf("got %v, want one finding at base", got)
	}
}

// Guards against records that are folded twice, too early, or from a false checkpoint.
func TestOffsets(t *testing.T) {
	add := func(key string, offset uint64) appender.Record {
		return appender.Record{Offset: offset, Body: AppendNote(nil, Note{Base: offset, Added: []Entry{{key, ""}}})}
	}
	checkpoint := func(s Snapshot, offset uint64) appender.Record {
		b, _ := AppendCheckpoint(nil, s)
		return appender.Record{Offset: offset, Body: b}
	}
	old, _ := Fold(Snapshot{}, 0, add("kind/a", 0).Body)
	later, _ := Fold(old, 1, add("kind/b", 1).Body)
	falsely, _ := Fold(old, 1, add("kind/false", 1).Body)
	for _, c := range []struct {
		name     string
		add      appender.Record
		findings int
		want     Snapshot
	}{
		{"next", add("kind/b", 1), 0, later},
		{"folded already", add("kind/b", 0), 0, old},
		{"too early", add("kind/b", 2), 1, old},
		{"false checkpoint", checkpoint(falsely, 2), 1, old},
	} {
		if got, findings := Fold(old, c.add.Offset, c.add.Body); len(findings) != c.findings || !got.Equal(c.want) {
			t.Errorf("%s: got %+v, findings %v, want %+v", c.name, got, findings, c.want)
		}
	}
	if _, findings := Fold(later, 2, checkpoint(falsely, 2).Body); len(findings) != 1 {
		t.Errorf("checkpoint that differs: got findings %v", findings)
	}
	p := &Replay{state: old.WithDomainsOut("zone")}
	p.Add(add("kind/c", 5))
	p.Add(checkpoint(Snapshot{offset: 8}, 6))
	if s, ok := p.Snapshot(); ok || !s.Equal(old) {
		t.Errorf("checkpoint from the future: got %+v, %v", s, ok)
	}
	p.Add(checkpoint(Snapshot{offset: 5}, 7))
	if s, ok := p.Snapshot(); !ok || s.Offset() != 8 || s.DomainInForce("zone") || p.SinceCheckpoint() != 0 {
		t.Errorf("got offset %d, %v, %d records since the checkpoint", s.Offset(), ok, p.SinceCheckpoint())
	}
	if p.Add(add("kind/d", 8)); p.SinceCheckpoint() != 1 {
		t.Errorf("got %d records since the checkpoint, want 1", p.SinceCheckpoint())
	}
}

// Guards against a configuration whose checkpoint does not fit into a record.
func TestSizeBound(t *testing.T) {
	var s Snapshot
	for full := false; !full; {
		n := Note{Base: s.Offset()}
		for i := range MaxEntries {
			n.Added = append(n.Added, Entry{Key: fmt.Sprintf("setting/%d-%d", s.Offset(), i), Value: string(bytes.Repeat([]byte("v"), 500))})
		}
		var findings []Finding
		s, findings = Apply(s, s.Offset(), Record{Kind: KindNote, Note: n})
		full = len(findings) > 0
	}
	b, err := AppendCheckpoint(nil, s)
	if err != nil || len(b) > appender.MaxBody || s.Len() < 1000 {
		t.Errorf("got %d keys, checkpoint of %d bytes, error %v", s.Len(), len(b), err)
	}
	if _, err := DecodeRecord(b); err != nil {
		t.Error(err)
	}
}
