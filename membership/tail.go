package membership

import "github.com/gooseberryflow/gooseberryflow/state"

// Bounds of the records kept for peers that are behind.
const (
	maxTailRecords = 4096
	maxTailBytes   = 4 << 20
)

// wireRecord is a record of the log as relayed between nodes.
type wireRecord struct {
	Offset uint64 `cbor:"1,keyasint"`
	Data   []byte `cbor:"2,keyasint"`
}

// tail holds the latest records, contiguous up to the fold's offset.
type tail struct {
	records []wireRecord
	bytes   int
	// before is the hash of the record just before the first one; zero means
	// unknown.
	before uint64
}

// add appends the next record; before is the hash of the one preceding it.
func (t *tail) add(r wireRecord, before uint64) {
	if len(t.records) == 0 {
		t.before = before
	}
	t.records = append(t.records, r)
	t.bytes += len(r.Data)
	for len(t.records) > maxTailRecords || t.bytes > maxTailBytes {
		t.dropFirst()
	}
}

func (t *tail) dropFirst() {
	first := t.records[0]
	t.before = state.RecordHash(first.Data)
	t.bytes -= len(first.Data)
	t.records[0] = wireRecord{}
	t.records = t.records[1:]
}

func (t *tail) reset() { *t = tail{} }

// lookup is the result of tail.from.
type lookup uint8

const (
	// lookupFound means that the records follow the asker's last one.
	lookupFound lookup = iota
	// lookupTooOld means that records the asker needs are no longer kept.
	lookupTooOld
	// lookupDiverged means that the asker's last record is another one.
	lookupDiverged
)

// from returns the records at and after an offset, up to a number of bytes but
// at least one. last is the hash of the asker's record before the offset; zero
// means that it has none to compare.
func (t *tail) from(offset, last uint64, maxBytes int) ([]wireRecord, lookup) {
	if len(t.records) == 0 || offset < t.records[0].Offset {
		return nil, lookupTooOld
	}
	i := int(offset - t.records[0].Offset)
	if i >= len(t.records) {
		return nil, lookupFound
	}
	before := t.before
	if i > 0 {
		before = state.RecordHash(t.records[i-1].Data)
	}
	if last != 0 && before != 0 && last != before {
		return nil, lookupDiverged
	}
	end, size := i, 0
	for end < len(t.records) && (end == i || size+len(t.records[end].Data) <= maxBytes) {
		size += len(t.records[end].Data)
		end++
	}
	return t.records[i:end:end], lookupFound
}
