//go:build review

package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// parts is the number of partitions of each topic.
	parts = 12
	// ttlMin is the shortest duration of a membership, in milliseconds.
	ttlMin = 1000
)

type (
	// dealer is the part of the platform's store that distributes partitions among the members of a group. Unlike that of the
	// project's stand-in, it can reassign all of them at once. Other calls go to the stand-in.
	dealer struct {
		next   http.Handler
		record *recorder

		mu         sync.Mutex
		generation uint64
		away       string               // the member that is turned away
		members    map[string]time.Time // when the membership ends
		partitions [parts]dealt
	}

	// dealt is a partition: owner is the member for which it is meant, holder the one that holds it until it has released it.
	dealt struct {
		owner, holder string
		changed       uint64 // generation of the last change of owner
	}

	joinRequest struct {
		Group      string `json:"group"` //nolint:tagliatelle // the platform's spelling
		Member     string
		Topics     []string
		TtlMs      int //nolint:revive // the platform's spelling
		Generation uint64
	}
)

func (d *dealer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/log-join", "/log-leave":
		var m joinRequest
		if err := json.NewDecoder(r.Body).Decode(&m); err != nil || m.Member == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		answer := map[string]any{}
		if r.URL.Path == "/log-join" {
			answer = d.join(&m)
		} else {
			d.remove(m.Member)
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer) // a caller that has left asks again
	case "/log-owners":
		d.mu.Lock()
		defer d.mu.Unlock()
		rows := [][]any{}
		for number, p := range d.partitions {
			if p.holder != "" {
				rows = append(rows, []any{"", number, p.holder, 0})
			}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(rows) // a caller that has left asks again
	default:
		d.next.ServeHTTP(w, r)
	}
}

// forMember returns the store as a member meets it.
func (d *dealer) forMember(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		away := d.away == name
		d.mu.Unlock()
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		d.ServeHTTP(w, r)
	})
}

func (d *dealer) join(m *joinRequest) map[string]any {
	now := time.Now()
	for name, until := range d.members {
		if now.After(until) {
			d.remove(name)
		}
	}
	_, known := d.members[m.Member]
	d.members[m.Member] = now.Add(time.Duration(max(m.TtlMs, ttlMin)) * time.Millisecond)
	if !known {
		d.deal(false)
	}
	rows, list := [][]any{}, []int{}
	for number := range d.partitions {
		p := &d.partitions[number]
		if p.holder == m.Member && p.owner != m.Member && m.Generation >= p.changed || p.holder == "" {
			p.holder = p.owner
		}
		if p.owner == m.Member && p.holder == m.Member {
			rows, list = append(rows, []any{m.Topics[0], number, 0}), append(list, number)
		}
	}
	d.record.add("store: %s joins with generation %d, gets generation %d and partitions %v", m.Member, m.Generation, d.generation, list)
	return map[string]any{"Generation": d.generation, "TtlMs": m.TtlMs, "parts": rows}
}

func (d *dealer) remove(name string) {
	delete(d.members, name)
	for number := range d.partitions {
		if p := &d.partitions[number]; p.holder == name {
			p.holder = ""
		}
	}
	d.deal(false)
}

// deal distributes the partitions evenly. atOnce says that present holders are not waited for.
func (d *dealer) deal(atOnce bool) {
	d.generation++
	names := slices.DeleteFunc(slices.Sorted(maps.Keys(d.members)), func(name string) bool { return name == d.away })
	for number := range d.partitions {
		p, owner := &d.partitions[number], ""
		if len(names) > 0 {
			owner = names[number%len(names)]
		}
		if p.owner != owner {
			p.owner, p.changed = owner, d.generation
		}
		if atOnce {
			p.holder = owner
		}
	}
}

// turnAway lets the store answer a member with 503, and gives its partitions to the others at once.
func (d *dealer) turnAway(member string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away = member
	d.deal(true)
	d.record.add("store: turns %s away, and gives its partitions to the others at once (generation %d)", member, d.generation)
}

// rebalance lets the store serve all members again, and reassigns all partitions at once.
func (d *dealer) rebalance() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.away = ""
	d.deal(true)
	d.record.add("store: serves all, and reassigns all partitions at once (generation %d)", d.generation)
}
