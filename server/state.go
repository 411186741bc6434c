package server

import (
	"encoding/json"

	"github.com/crocuslb/crocuslb/timer"
)

type (
	// State is the state of an entry and its view of the other processes.
	State struct {
		ID           string
		Incarnation  uint64
		Version      string
		Epoch        uint64
		ConfigOffset uint64
		Joined       bool
		LogReachable bool
		Attested     bool // the entry has evidence that more than half of the roster cannot reach the log
		Leaving      bool
		Takeover     string // state of the takeover of keys
		Queued       int
		Submissions  int
		Lagging      int // number of processes that are not known to have the configuration
		Counters     Counters
		Entries      []EntryState
		Sidecars     []SidecarState
		Domains      []DomainState
		Members      []MemberState // nil when membership is off
	}

	// Counters holds the numbers of events since the start of the entry.
	Counters struct {
		Submitted, Complete, Failed, Started, Refused, Requeued, Ignored, Forwarded, Takeovers uint64
	}

	// EntryState is an entry in the roster.
	EntryState struct {
		ID          string
		Incarnation uint64
		Address     string
	}

	// SidecarState is the entry's view of a sidecar.
	SidecarState struct {
		ID, Domain, Worker string
		Slots, Credits     uint32
		Running            uint32
		Connected          bool
		Leaving            bool
		DisconnectedFor    timer.Millis // time since its session ended
	}

	// DomainState is the state of a failure domain. PropagationTime is set if the domain is in service.
	DomainState struct {
		Name        string
		InForce     bool
		Provisional bool // withdrawn, not recorded in the log yet
	}

	// MemberState is the state of another process according to failure detection: "alive", "suspect" or "dead".
	MemberState struct {
		Role, ID    string
		Incarnation uint64
		Address     string
		State       string
	}

	stateWire struct {
		ID           string             `json:"id"`
		Incarnation  uint64             `json:"incarnation"`
		Version      string             `json:"version,omitempty"`
		Epoch        uint64             `json:"epoch"`
		ConfigOffset uint64             `json:"configOffset"`
		Joined       bool               `json:"joined"`
		LogReachable bool               `json:"logReachable"`
		Attested     bool               `json:"attested"`
		Leaving      bool               `json:"leaving"`
		Takeover     string             `json:"takeover"`
		Queued       int                `json:"queuedTasks"`
		Submissions  int                `json:"submissions"`
		Lagging      int                `json:"lagging"`
		Counters     countersWire       `json:"counters"`
		Entries      []entryStateWire   `json:"entries"`
		Sidecars     []sidecarStateWire `json:"sidecars"`
		Domains      []domainStateWire  `json:"domains"`
		Members      []memberStateWire  `json:"members,omitzero"`
	}

	entryStateWire struct {
		ID          string `json:"id"`
		Incarnation uint64 `json:"incarnation"`
		Address     string `json:"address"`
	}

	countersWire struct {
		Submitted uint64 `json:"submittedJobs"`
		Complete  uint64 `json:"completeJobs"`
		Failed    uint64 `json:"failedJobs"`
		Started   uint64 `json:"startedTasks"`
		Refused   uint64 `json:"refusedStarts"`
		Requeued  uint64 `json:"requeuedTasks"`
		Ignored   uint64 `json:"ignoredMessages"`
		Forwarded uint64 `json:"forwardedRequests"`
		Takeovers uint64 `json:"takeovers"`
	}

	sidecarStateWire struct {
		ID        string `json:"id"`
		Domain    string `json:"domain"`
		Worker    string `json:"worker"`
		Slots     uint32 `json:"slots"`
		Credits   uint32 `json:"credits"`
		Running   uint32 `json:"running"`
		Connected bool   `json:"connected"`
		Leaving   bool   `json:"leaving"`
		SilentMs  int64  `json:"silentMs"`
	}

	domainStateWire struct {
		Name        string `json:"name"`
		InForce     bool   `json:"inForce"`
		Provisional bool   `json:"provisional"`
	}

	memberStateWire struct {
		Role        string `json:"role"`
		ID          string `json:"id"`
		Incarnation uint64 `json:"incarnation"`
		Address     string `json:"address"`
		State       string `json:"state"`
	}
)

// EncodeState encodes a state as JSON.
func EncodeState(s State) ([]byte, error) {
	w := stateWire{
		ID: s.ID, Incarnation: s.Incarnation, Version: s.Version, Epoch: s.Epoch, ConfigOffset: s.ConfigOffset,
		Joined: s.Joined, LogReachable: s.LogReachable, Attested: s.Attested, Leaving: s.Leaving, Takeover: s.Takeover,
		Queued: s.Queued, Submissions: s.Submissions, Lagging: s.Lagging, Counters: countersWire(s.Counters),
		Entries: []entryStateWire{}, Sidecars: []sidecarStateWire{}, Domains: []domainStateWire{},
	}
	for _, e := range s.Entries {
		w.Entries = append(w.Entries, entryStateWire(e))
	}
	for _, c := range s.Sidecars {
		w.Sidecars = append(w.Sidecars, sidecarStateWire{
			ID: c.ID, Domain: c.Domain, Worker: c.Worker, Slots: c.Slots, Credits: c.Credits, Running: c.Running,
			Connected: c.Connected, Leaving: c.Leaving, SilentMs: int64(c.DisconnectedFor),
		})
	}
	for _, d := range s.Domains {
		w.Domains = append(w.Domains, domainStateWire(d))
	}
	if s.Members != nil {
		w.Members = make([]memberStateWire, 0, len(s.Members))
	}
	for _, m := range s.Members {
		w.Members = append(w.Members, memberStateWire(m))
	}
	return json.Marshal(w)
}
