package appender

// maxGapBytes bounds the memory of a RecordBuffer as counted by recordMemory. It is a quarter of the 32 MB that a process may use for
// control state.
const maxGapBytes = 8 << 20

// RecordBuffer buffers contiguous records that cannot be applied yet, because records before them are missing. Beyond maxGapBytes
// the oldest records are dropped: a later checkpoint covers them. The zero value is empty.
type RecordBuffer struct {
	records []Record
	size    int
}

// Add buffers the record. If it does not follow the last one, the buffered records are dropped first.
func (g *RecordBuffer) Add(r Record) {
	if n := len(g.records); n > 0 && g.records[n-1].Offset+1 != r.Offset {
		*g = RecordBuffer{}
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

// HasRecords reports whether records are buffered.
func (g *RecordBuffer) HasRecords() bool { return len(g.records) > 0 }

// TakeFrom empties the buffer and returns its records from the offset on. If records between the offset and the first buffered
// one are missing, ok is false and the buffer is unchanged.
func (g *RecordBuffer) TakeFrom(offset uint64) (rest []Record, ok bool) {
	if len(g.records) > 0 && g.records[0].Offset > offset {
		return nil, false
	}
	rest = g.records
	*g = RecordBuffer{}
	for len(rest) > 0 && rest[0].Offset < offset {
		rest = rest[1:]
	}
	return rest, true
}

// recordMemory returns the approximate memory of a record: body, identifier, and 64 bytes for the struct.
func recordMemory(r Record) int { return len(r.Body) + len(r.ID) + 64 }
