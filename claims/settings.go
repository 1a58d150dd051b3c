package claims

import (
	"errors"
	"time"
)

// Settings are the parameters of the plug-in. Margin and Skew must be equal
// on all nodes of a failure domain.
type Settings struct {
	// Margin is how long after its last confirmed contact an owner grants new
	// keys. Unless the owner hands over, the range of its successor starts
	// Margin + Skew after the change of owner.
	Margin time.Duration
	// Limit is how long after its last contact with the log an owner grants
	// new keys when a majority of its failure domain confirms the roster. The
	// range of its successor starts Limit + Skew after the change of owner if too
	// few members can be reached. If it is zero, only the log confirms the roster.
	Limit time.Duration
	// Skew bounds the difference between the clocks of any two nodes.
	Skew time.Duration
	// MaxAhead bounds how far in the future a key may have been minted, by
	// the clock of the node that takes the call.
	MaxAhead time.Duration
	// Retention is how long a key is retained after its minting time.
	Retention time.Duration
	// MaxEntries bounds the number of keys retained by a node.
	MaxEntries int64
	// ClaimTimeout bounds the time that an entry node spends on a claim.
	ClaimTimeout time.Duration
}

// DefaultSettings returns the settings used unless others are given.
func DefaultSettings() Settings {
	return Settings{
		Margin:       10 * time.Second,
		Limit:        5 * time.Minute,
		Skew:         time.Second,
		MaxAhead:     5 * time.Second,
		Retention:    15 * time.Minute,
		MaxEntries:   200_000,
		ClaimTimeout: 500 * time.Millisecond,
	}
}

// Validate returns an error for settings under which the plug-in can't work.
func (s Settings) Validate() error {
	switch {
	case s.Margin <= 0 || s.Skew <= 0 || s.MaxAhead < 0:
		return errors.New("claims: margin and skew must be positive, max-ahead not negative")
	case s.Limit != 0 && s.Limit < s.Margin:
		return errors.New("claims: limit must not be below margin")
	case s.Retention < 2*(s.Margin+s.Skew+s.MaxAhead):
		return errors.New("claims: retention must be at least twice margin, skew and max-ahead together")
	case s.MaxEntries <= 0:
		return errors.New("claims: max-entries must be positive")
	case s.ClaimTimeout <= 0:
		return errors.New("claims: claim timeout must be positive")
	}
	return nil
}
