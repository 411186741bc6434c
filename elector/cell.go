package elector

import (
	"strconv"

	"github.com/crocuslb/crocuslb/encoder"
)

// spareEntries is the number of entries beyond the first that a roster has before it gets a second cell. With 3 spares,
// rosters of up to 4 entries have a single owner.
const spareEntries = 3

// Cells returns the number of cells of r. A cell is a share of the submission keys together with a share of the sidecars,
// and has one owner. Sidecars grant credits to the owner of their cell only, so owners never compete for slots.
// One cell serves small rosters, because splitting 88 slots between three owners multiplied the 99th percentile of
// response time by seven (BenchmarkPolicy); larger rosters need more owners for throughput.
func Cells(r encoder.Roster) int {
	return max(1, len(r.Entries)-spareEntries)
}

// Home returns the owner of the cell that the sidecar belongs to. ok is false when r is empty.
func Home(r encoder.Roster, sidecar string) (owner encoder.RosterEntry, ok bool) {
	return cellOwner(r, cellOf(r, "sidecar/"+sidecar))
}

// cellOf returns the cell of a name, by rendezvous hashing over the cells, so that a new cell takes an equal part of each
// old one and nothing else moves.
func cellOf(r encoder.Roster, name string) int {
	best, cell := uint64(0), 0
	for i := range Cells(r) {
		if w := weight(cellName(i), name); w > best {
			best, cell = w, i
		}
	}
	return cell
}

// cellOwner assigns the cells in order, each to the entry of the highest weight that has no cell yet.
func cellOwner(r encoder.Roster, cell int) (owner encoder.RosterEntry, ok bool) {
	var few [16]bool
	taken := few[:]
	if len(r.Entries) > len(few) {
		taken = make([]bool, len(r.Entries))
	}
	for i := 0; i <= cell; i++ {
		best, at := uint64(0), -1
		for j := range r.Entries {
			w := weight(r.Entries[j].Member.ID, cellName(i))
			if !taken[j] && (at < 0 || w > best) {
				best, at = w, j
			}
		}
		if at < 0 {
			return owner, false
		}
		taken[at] = true
		owner = r.Entries[at]
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
