package membership

import "github.com/gooseberryflow/gooseberryflow/state"

// Limits on the records kept for peers that are behind.
const (
	maxTailRecords = 4096
	maxTailBytes   = 4 << 20
)

// wireRecord is a record of the log as relayed between nodes.
type wireRecord struct {
	Offset uint64 `cbor:"1,keyasint"`
	Data   []byte `cbor:"2,keyasint"`
}

// recordTail holds the latest records, contiguous up to the fold's offset.
type recordTail struct {
	records []wireRecord
	bytes   int
	// hashBefore is the hash of the record before the first one held; zero means
	// unknown.
	hashBefore uint64
}

// add appends the next record; hashBefore is the hash of the record preceding it.
func (t *recordTail) add(r wireRecord, hashBefore uint64) {
	if len(t.records) == 0 {
		t.hashBefore = hashBefore
	}
	t.records = append(t.records, r)
	t.bytes += len(r.Data)
	for len(t.records) > maxTailRecords || t.bytes > maxTailBytes {
		t.dropFirst()
	}
}

func (t *recordTail) dropFirst() {
	first := t.records[0]
	t.hashBefore = state.RecordHash(first.Data)
	t.bytes -= len(first.Data)
	t.records[0] = wireRecord{}
	t.records = t.records[1:]
}

func (t *recordTail) reset() { *t = recordTail{} }

// lookupResult is the result of recordTail.recordsFrom.
type lookupResult uint8

const (
	// lookupFound means that the records follow the requester's last one.
	lookupFound lookupResult = iota
	// lookupTooOld means that records the requester needs are no longer kept.
	lookupTooOld
	// lookupDiverged means that the requester's last record differs from this
	// node's record at the same offset.
	lookupDiverged
)

// recordsFrom returns at least one and at most maxBytes of the records from an
// offset on. prevHash is the hash of the requester's record before the offset;
// zero means that it has none to compare.
func (t *recordTail) recordsFrom(offset, prevHash uint64, maxBytes int) ([]wireRecord, lookupResult) {
	if len(t.records) == 0 || offset < t.records[0].Offset {
		return nil, lookupTooOld
	}
	i := int(offset - t.records[0].Offset)
	if i >= len(t.records) {
		return nil, lookupFound
	}
	hashBefore := t.hashBefore
	if i > 0 {
		hashBefore = state.RecordHash(t.records[i-1].Data)
	}
	if prevHash != 0 && hashBefore != 0 && prevHash != hashBefore {
		return nil, lookupDiverged
	}
	end, size := i, 0
	for end < len(t.records) && (end == i || size+len(t.records[end].Data) <= maxBytes) {
		size += len(t.records[end].Data)
		end++
	}
	return t.records[i:end:end], lookupFound
}
