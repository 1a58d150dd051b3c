package state

// Incarnation identifies one run of an instance.
type Incarnation struct {
	ID string `cbor:"1,keyasint" json:"id"`
	// StartedMS is the start in Unix milliseconds; zero if it isn't known.
	StartedMS int64 `cbor:"2,keyasint,omitempty" json:"started_ms,omitempty"`
}

// Same reports whether a and b are the same run, as far as is known: an instance
// may restart under its old ID.
func (a Incarnation) Same(b Incarnation) bool {
	return a.ID == b.ID && (a.StartedMS == b.StartedMS || a.StartedMS == 0 || b.StartedMS == 0)
}
