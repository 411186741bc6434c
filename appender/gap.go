package appender

// maxGapBytes bounds the memory of a Gap, bodies only. It is a quarter of the 32 MB that a process may use for control.
const maxGapBytes = 8 << 20

// Gap holds contiguous records that cannot be folded yet, because records before them are missing. When they are too
// many, the oldest are dropped: a newer checkpoint needs only the newer ones. The zero value is empty.
type Gap struct {
	records []Record
	size    int
}

// Add holds the record. A record that does not follow the last one drops what is held.
func (g *Gap) Add(r Record) {
	if n := len(g.records); n > 0 && g.records[n-1].Offset+1 != r.Offset {
		*g = Gap{}
	}
	g.records = append(g.records, r)
	g.size += recordMemory(r)
	n := 0
	for g.size > maxGapBytes && n < len(g.records)-1 {
		g.size -= recordMemory(g.records[n])
		g.records[n] = Record{}
		n++
	}
	g.records = g.records[n:]
}

// Open reports whether records are held.
func (g *Gap) Open() bool { return len(g.records) > 0 }

// Close empties the gap and returns the held records from the offset on. ok is false, and the gap stays as it is, when
// records are missing between a state at the offset and the held ones.
func (g *Gap) Close(offset uint64) (rest []Record, ok bool) {
	if len(g.records) > 0 && g.records[0].Offset > offset {
		return nil, false
	}
	rest = g.records
	*g = Gap{}
	for len(rest) > 0 && rest[0].Offset < offset {
		rest = rest[1:]
	}
	return rest, true
}

// recordSize counts the body and what the record itself takes.
func recordMemory(r Record) int { return len(r.Body) + len(r.ID) + 64 }
