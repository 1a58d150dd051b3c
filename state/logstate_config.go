package state

import (
	"fmt"

	"github.com/gooseberryflow/gooseberryflow/config"
)

// Parse parses an operators' file. It must be a pure function, since every node
// applies it to the same records.
type Parse func(file []byte) (*config.Config, error)

// applyConfig decides on a configuration record. It returns the parsed file if the
// record came into force.
func (s *logState) applyConfig(offset uint64, r ConfigRecord, parse Parse) (*config.Config, error) {
	if !s.VersionKnown {
		s.deferConfig(offset, r)
		return nil, fmt.Errorf("change %s waits until the version is known", r.ChangeID)
	}
	return s.decide(r, parse)
}

func (s *logState) deferConfig(offset uint64, r ConfigRecord) {
	if len(s.Pending) == maxPending {
		s.ContiguousFrom = s.Pending[0].Offset + 1
		s.Pending = s.Pending[1:]
	}
	s.Pending = append(s.Pending, pendingConfig{Offset: offset, Record: r})
}

func (s *logState) decide(r ConfigRecord, parse Parse) (*config.Config, error) {
	if r.Base != s.Version {
		return nil, s.reject(r, fmt.Errorf("it is based on version %d, but version %d is in force", r.Base, s.Version))
	}
	cfg, err := parse(r.File)
	if err != nil {
		return nil, s.reject(r, fmt.Errorf("invalid file: %w", err))
	}
	s.Version++
	s.ChangeID = r.ChangeID
	s.File = r.File
	s.recordDecision(Decision{ChangeID: r.ChangeID, Version: s.Version})
	return cfg, nil
}

// reject records that a change is void. A second record of an accepted change is
// void as well, but the change stays accepted.
func (s *logState) reject(r ConfigRecord, reason error) error {
	if d, ok := s.decision(r.ChangeID); ok && d.Accepted() {
		return fmt.Errorf("change %s is already version %d", r.ChangeID, d.Version)
	}
	s.recordDecision(Decision{ChangeID: r.ChangeID, Reason: reason.Error()})
	return fmt.Errorf("change %s is void: %w", r.ChangeID, reason)
}

func (s *logState) recordDecision(d Decision) {
	if len(s.Decisions) == maxDecisions {
		s.Decisions = s.Decisions[1:]
	}
	s.Decisions = append(s.Decisions, d)
}

// decision returns the latest stored decision on a change.
func (s *logState) decision(changeID string) (Decision, bool) {
	for i := len(s.Decisions) - 1; i >= 0; i-- {
		if s.Decisions[i].ChangeID == changeID {
			return s.Decisions[i], true
		}
	}
	return Decision{}, false
}

// applyRefresh applies a repeated configuration. A known version never decreases.
// An unknown version becomes known if this node has all configuration records
// from the writer's offset on; the pending ones are decided then.
func (s *logState) applyRefresh(r RefreshRecord, parse Parse) (*config.Config, error) {
	if !s.VersionKnown && r.AsOfOffset < s.ContiguousFrom {
		return nil, fmt.Errorf("refresh of version %d as of offset %d is too old", r.Version, r.AsOfOffset)
	}
	var cfg *config.Config
	if r.Version > s.Version {
		parsed, err := parse(r.File)
		if err != nil {
			return nil, fmt.Errorf("refresh of version %d: %w", r.Version, err)
		}
		cfg = parsed
		s.Version = r.Version
		s.ChangeID = r.ChangeID
		s.File = r.File
		s.recordDecision(Decision{ChangeID: r.ChangeID, Version: r.Version})
	}
	if s.VersionKnown {
		return cfg, nil
	}
	s.VersionKnown = true
	return s.decidePending(r.AsOfOffset, cfg, parse), nil
}

func (s *logState) decidePending(asOfOffset uint64, cfg *config.Config, parse Parse) *config.Config {
	for _, p := range s.Pending {
		if p.Offset < asOfOffset {
			continue
		}
		if decided, err := s.decide(p.Record, parse); err == nil {
			cfg = decided
		}
	}
	s.Pending = nil
	return cfg
}
