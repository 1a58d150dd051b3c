package quarantine

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	suspectFor    = time.Minute
	quarantineFor = 5 * time.Minute
	deathsAllowed = 1
	maxRecords    = 4096
)

// deathID names the loss of one instance.
type deathID string

// record is what is known about a fingerprint; it is also the message.
type record struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Deaths and Pardoned are sets; a death in both doesn't count.
	Deaths   []deathID `cbor:"2,keyasint"`
	Pardoned []deathID `cbor:"3,keyasint"`
	// ExpiresMS is when the record lapses, in Unix milliseconds.
	ExpiresMS int64 `cbor:"4,keyasint"`
}

// counted returns the number of deaths that haven't been pardoned.
func (r *record) counted() int {
	n := 0
	for _, d := range r.Deaths {
		if !contains(r.Pardoned, d) {
			n++
		}
	}
	return n
}

func (r *record) quarantined() bool { return r.counted() > deathsAllowed }

func (r *record) suspect() bool { return r.counted() > 0 && !r.quarantined() }

// term is how long the record is kept from now on.
func (r *record) term() time.Duration {
	if r.quarantined() {
		return quarantineFor
	}
	return suspectFor
}

func contains(set []deathID, d deathID) bool {
	for _, have := range set {
		if have == d {
			return true
		}
	}
	return false
}

func union(a, b []deathID) []deathID {
	all := append([]deathID(nil), a...)
	for _, d := range b {
		if !contains(all, d) {
			all = append(all, d)
		}
	}
	return all
}

// table holds the records of a node. It is safe for concurrent use; while it
// is empty a look-up takes no lock.
type table struct {
	size    atomic.Int64
	mu      sync.RWMutex
	records map[uint64]record
}

func newTable() *table {
	return &table{records: map[uint64]record{}}
}

// get returns the record of a fingerprint; the zero record means none.
func (t *table) get(fingerprint uint64, now time.Time) record {
	if t.size.Load() == 0 {
		return record{}
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	r := t.records[fingerprint]
	if r.ExpiresMS <= now.UnixMilli() {
		return record{}
	}
	return r
}

// death adds a death to a fingerprint and returns the new record.
func (t *table) death(fingerprint uint64, d deathID, now time.Time) record {
	return t.merge(record{Fingerprint: fingerprint, Deaths: []deathID{d}}, now)
}

// pardon clears a fingerprint of the given deaths.
func (t *table) pardon(fingerprint uint64, deaths []deathID, now time.Time) record {
	return t.merge(record{Fingerprint: fingerprint, Deaths: deaths, Pardoned: deaths}, now)
}

// merge takes in a record and returns the result. It is commutative,
// associative and idempotent but for the clock.
func (t *table) merge(in record, now time.Time) record {
	t.mu.Lock()
	defer t.mu.Unlock()
	have := t.records[in.Fingerprint]
	if have.ExpiresMS <= now.UnixMilli() {
		have = record{}
	}
	out := record{
		Fingerprint: in.Fingerprint,
		Deaths:      union(have.Deaths, in.Deaths),
		Pardoned:    union(have.Pardoned, in.Pardoned),
	}
	out.ExpiresMS = expiry(have, in, out, now)
	t.records[out.Fingerprint] = out
	t.shrink()
	t.size.Store(int64(len(t.records)))
	return out
}

// expiry returns the later of the two expiries, within the longest term. A
// death seen here and a quarantine that follows only from both records
// together start a new term.
func expiry(have, in, out record, now time.Time) int64 {
	latest := now.Add(out.term()).UnixMilli()
	here := in.ExpiresMS == 0 && len(out.Deaths) > len(have.Deaths)
	together := out.quarantined() && !have.quarantined() && !in.quarantined()
	if here || together {
		return latest
	}
	e := max(have.ExpiresMS, in.ExpiresMS)
	if e == 0 {
		return latest
	}
	return min(e, latest)
}

// shrink drops the record that expires first while there are too many.
func (t *table) shrink() {
	for len(t.records) > maxRecords {
		first := uint64(0)
		expires := int64(0)
		for f, r := range t.records {
			if expires == 0 || r.ExpiresMS < expires {
				first, expires = f, r.ExpiresMS
			}
		}
		delete(t.records, first)
	}
}

// expire drops records whose time is over.
func (t *table) expire(now time.Time) {
	if t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, r := range t.records {
		if r.ExpiresMS <= now.UnixMilli() {
			delete(t.records, f)
		}
	}
	t.size.Store(int64(len(t.records)))
}

// all returns a copy of the records.
func (t *table) all() []record {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]record, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, r)
	}
	return out
}
