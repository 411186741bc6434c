package server

import (
	"encoding/json"

	"github.com/crocuslb/crocuslb/timer"
)

type (
	// State is what an entry knows of itself and of the other processes.
	State struct {
		ID           string
		Incarnation  uint64
		Version      string
		Epoch        uint64
		ConfigOffset uint64
		LogReachable bool
		Attested     bool // the log outage is attested by more than half of the roster
		Leaving      bool
		Queued       int
		Submissions  int
		Entries      []EntryState
		Sidecars     []SidecarState
		Domains      []DomainState
	}

	// EntryState is a member of the roster.
	EntryState struct {
		ID          string
		Incarnation uint64
		Address     string
		Reachable   bool
	}

	// SidecarState is a sidecar as the entry sees it.
	SidecarState struct {
		ID, Domain, Worker string
		Slots, Credits     uint32
		Running            uint32
		Leaving            bool
		Silent             timer.Millis // time since its last message
	}

	// DomainState says whether a failure domain is in force.
	DomainState struct {
		Name        string
		InForce     bool
		Provisional bool // withdrawn, not recorded in the log yet
	}

	stateWire struct {
		ID           string             `json:"id"`
		Incarnation  uint64             `json:"incarnation"`
		Version      string             `json:"version,omitempty"`
		Epoch        uint64             `json:"epoch"`
		ConfigOffset uint64             `json:"configOffset"`
		LogReachable bool               `json:"logReachable"`
		Attested     bool               `json:"attested"`
		Leaving      bool               `json:"leaving"`
		Queued       int                `json:"queuedTasks"`
		Submissions  int                `json:"submissions"`
		Entries      []entryStateWire   `json:"entries"`
		Sidecars     []sidecarStateWire `json:"sidecars"`
		Domains      []domainStateWire  `json:"domains"`
	}

	entryStateWire struct {
		ID          string `json:"id"`
		Incarnation uint64 `json:"incarnation"`
		Address     string `json:"address"`
		Reachable   bool   `json:"reachable"`
	}

	sidecarStateWire struct {
		ID       string `json:"id"`
		Domain   string `json:"domain"`
		Worker   string `json:"worker"`
		Slots    uint32 `json:"slots"`
		Credits  uint32 `json:"credits"`
		Running  uint32 `json:"running"`
		Leaving  bool   `json:"leaving"`
		SilentMs int64  `json:"silentMs"`
	}

	domainStateWire struct {
		Name        string `json:"name"`
		InForce     bool   `json:"inForce"`
		Provisional bool   `json:"provisional"`
	}
)

// EncodeState maps a state to JSON.
func EncodeState(s State) ([]byte, error) {
	w := stateWire{
		ID: s.ID, Incarnation: s.Incarnation, Version: s.Version, Epoch: s.Epoch, ConfigOffset: s.ConfigOffset,
		LogReachable: s.LogReachable, Attested: s.Attested, Leaving: s.Leaving, Queued: s.Queued, Submissions: s.Submissions,
		Entries: []entryStateWire{}, Sidecars: []sidecarStateWire{}, Domains: []domainStateWire{},
	}
	for _, e := range s.Entries {
		w.Entries = append(w.Entries, entryStateWire(e))
	}
	for _, c := range s.Sidecars {
		w.Sidecars = append(w.Sidecars, sidecarStateWire{
			ID: c.ID, Domain: c.Domain, Worker: c.Worker, Slots: c.Slots, Credits: c.Credits, Running: c.Running,
			Leaving: c.Leaving, SilentMs: int64(c.Silent),
		})
	}
	for _, d := range s.Domains {
		w.Domains = append(w.Domains, domainStateWire(d))
	}
	return json.Marshal(w)
}
