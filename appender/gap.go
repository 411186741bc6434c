package appender

// maxGapBytes bounds the memory of a Gap as counted by recordMemory. It is a quarter of the 32 MB that a process may use for
// control state.
const maxGapBytes = 8 << 20

// Gap buffers contiguous records that cannot be applied yet, because records before them are missing. Beyond maxGapBytes
// the oldest records are dropped: a later checkpoint covers them. The zero value is empty.
type Gap struct {
	records []Record
	size    int
}

// Add buffers the record. If it does not follow the last one, the buffered records are dropped first.
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

// Open reports whether records are buffered.
func (g *Gap) Open() bool { return len(g.records) > 0 }

// Close empties the buffer and returns its records from the offset on. If records between the offset and the first buffered
// one are missing, ok is false and the buffer is unchanged.
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

// recordMemory returns the approximate memory of a record: body, identifier, and 64 bytes for the struct.
func recordMemory(r Record) int { return len(r.Body) + len(r.ID) + 64 }
