package quarantine

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	suspectDuration    = time.Minute     // retention of a record that is not quarantined
	quarantineDuration = 5 * time.Minute // retention of a quarantined record
	toleratedDeaths    = 1               // uncleared deaths above which a fingerprint is quarantined
	maxRecords         = 4096
)

// deathID identifies the loss of one instance.
type deathID string

// record holds what is known about a fingerprint. It is also sent in messages.
type record struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Deaths and Cleared are sets; a death in both doesn't count.
	Deaths  []deathID `cbor:"2,keyasint"`
	Cleared []deathID `cbor:"3,keyasint"`
	// ExpiresMS is when the record expires, in Unix milliseconds.
	ExpiresMS int64 `cbor:"4,keyasint"`
}

// unclearedDeaths returns the number of deaths of which the fingerprint has not
// been cleared.
func (r *record) unclearedDeaths() int {
	n := 0
	for _, d := range r.Deaths {
		if !containsDeath(r.Cleared, d) {
			n++
		}
	}
	return n
}

func (r *record) quarantined() bool { return r.unclearedDeaths() > toleratedDeaths }

func (r *record) suspect() bool { return r.unclearedDeaths() > 0 && !r.quarantined() }

// retention returns how long the record is kept from now on.
func (r *record) retention() time.Duration {
	if r.quarantined() {
		return quarantineDuration
	}
	return suspectDuration
}

func containsDeath(set []deathID, d deathID) bool {
	for _, member := range set {
		if member == d {
			return true
		}
	}
	return false
}

func union(a, b []deathID) []deathID {
	all := append([]deathID(nil), a...)
	for _, d := range b {
		if !containsDeath(all, d) {
			all = append(all, d)
		}
	}
	return all
}

// table holds the records of a node. It is safe for concurrent use. While it is
// empty, a lookup takes no lock.
type table struct {
	size    atomic.Int64
	mu      sync.RWMutex
	records map[uint64]record
}

func newTable() *table {
	return &table{records: map[uint64]record{}}
}

// get returns the record of a fingerprint, or the zero record if there is none.
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

// addDeath adds a death to a fingerprint's record and returns the new record.
func (t *table) addDeath(fingerprint uint64, d deathID, now time.Time) record {
	return t.merge(record{Fingerprint: fingerprint, Deaths: []deathID{d}}, now)
}

// clearDeaths clears a fingerprint of the given deaths and returns the new
// record.
func (t *table) clearDeaths(fingerprint uint64, deaths []deathID, now time.Time) record {
	return t.merge(record{Fingerprint: fingerprint, Deaths: deaths, Cleared: deaths}, now)
}

// merge merges a record into the table and returns the result. Apart from the
// clock, it is commutative, associative and idempotent.
func (t *table) merge(in record, now time.Time) record {
	t.mu.Lock()
	defer t.mu.Unlock()
	existing := t.records[in.Fingerprint]
	if existing.ExpiresMS <= now.UnixMilli() {
		existing = record{}
	}
	out := record{
		Fingerprint: in.Fingerprint,
		Deaths:      union(existing.Deaths, in.Deaths),
		Cleared:     union(existing.Cleared, in.Cleared),
	}
	out.ExpiresMS = expiry(existing, in, out, now)
	t.records[out.Fingerprint] = out
	t.evictExcess()
	t.size.Store(int64(len(t.records)))
	return out
}

// expiry returns the expiry of the merged record out in Unix milliseconds: the
// later of the two expiries, at most the retention from now. A death first seen
// here, or a quarantine that follows only from both records together, starts a
// new retention.
func expiry(existing, in, out record, now time.Time) int64 {
	maxExpiry := now.Add(out.retention()).UnixMilli()
	newDeath := in.ExpiresMS == 0 && len(out.Deaths) > len(existing.Deaths)
	newQuarantine := out.quarantined() && !existing.quarantined() && !in.quarantined()
	if newDeath || newQuarantine {
		return maxExpiry
	}
	expires := max(existing.ExpiresMS, in.ExpiresMS)
	if expires == 0 {
		return maxExpiry
	}
	return min(expires, maxExpiry)
}

// evictExcess drops the records that expire first while there are more than
// maxRecords.
func (t *table) evictExcess() {
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

// dropExpired drops expired records.
func (t *table) dropExpired(now time.Time) {
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

// all returns a copy of all records.
func (t *table) all() []record {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]record, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, r)
	}
	return out
}
