package elector

import (
	"strconv"

	"github.com/crocuslb/crocuslb/encoder"
)

// spareEntries is the number of entries of a roster, beyond the first, that do not add a cell. With 3, rosters of up to 4
// entries have a single owner.
const spareEntries = 3

// CellCount returns the number of cells of r. A cell is a share of the submission keys together with a share of the sidecars,
// and has one owner. Sidecars grant credits only to the owner of their cell, so owners never compete for slots.
// Small rosters have a single cell, because splitting 88 slots between three owners multiplied the 99th percentile of
// response time by seven (BenchmarkPolicy). Larger rosters need more owners for throughput.
func CellCount(r encoder.Roster) int {
	return max(1, len(r.Entries)-spareEntries)
}

// SidecarOwner returns the owner of the sidecar's cell. ok is false if r is empty.
func SidecarOwner(r encoder.Roster, sidecar string) (owner encoder.RosterEntry, ok bool) {
	return cellOwner(r, cellForName(r, "sidecar/"+sidecar))
}

// cellForName returns the cell of a name by rendezvous hashing over the cells. A new cell takes an equal part of each
// existing one, and no other names move.
func cellForName(r encoder.Roster, name string) int {
	best, cell := uint64(0), 0
	for i := range CellCount(r) {
		if w := rendezvousWeight(cellName(i), name); w > best {
			best, cell = w, i
		}
	}
	return cell
}

// cellOwner returns the owner of a cell. Cells are assigned in order, each to the entry with the highest weight among
// those without a cell.
func cellOwner(r encoder.Roster, cell int) (owner encoder.RosterEntry, ok bool) {
	var buf [16]bool
	taken := buf[:]
	if len(r.Entries) > len(buf) {
		taken = make([]bool, len(r.Entries))
	}
	for i := 0; i <= cell; i++ {
		bestWeight, candidate := uint64(0), -1
		for j := range r.Entries {
			w := rendezvousWeight(r.Entries[j].Member.ID, cellName(i))
			if !taken[j] && (candidate < 0 || w > bestWeight) {
				bestWeight, candidate = w, j
			}
		}
		if candidate < 0 {
			return owner, false
		}
		taken[candidate] = true
		owner = r.Entries[candidate]
	}
	return owner, true
}

func cellName(i int) string {
	if i < len(cellNames) {
		return cellNames[i]
	}
	return "cell-" + strconv.Itoa(i)
}

var cellNames = [...]string{
	"cell-0", "cell-1", "cell-2", "cell-3", "cell-4", "cell-5", "cell-6", "cell-7",
	"cell-8", "cell-9", "cell-10", "cell-11", "cell-12", "cell-13", "cell-14", "cell-15",
}
