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
func (c *logState) applyConfig(offset uint64, r ConfigRecord, parse Parse) (*config.Config, error) {
	if !c.VersionKnown {
		c.deferConfig(offset, r)
		return nil, fmt.Errorf("change %s waits until the version is known", r.ChangeID)
	}
	return c.decide(r, parse)
}

func (c *logState) deferConfig(offset uint64, r ConfigRecord) {
	if len(c.Pending) == maxPending {
		c.ContiguousFrom = c.Pending[0].Offset + 1
		c.Pending = c.Pending[1:]
	}
	c.Pending = append(c.Pending, pendingConfig{Offset: offset, Record: r})
}

func (c *logState) decide(r ConfigRecord, parse Parse) (*config.Config, error) {
	if r.Base != c.Version {
		return nil, c.reject(r, fmt.Errorf("it is based on version %d, but version %d is in force", r.Base, c.Version))
	}
	cfg, err := parse(r.File)
	if err != nil {
		return nil, c.reject(r, fmt.Errorf("invalid file: %w", err))
	}
	c.Version++
	c.ChangeID = r.ChangeID
	c.File = r.File
	c.recordDecision(Decision{ChangeID: r.ChangeID, Version: c.Version})
	return cfg, nil
}

// reject records that a change is void. A second record of an accepted change is
// void as well, but the change stays accepted.
func (c *logState) reject(r ConfigRecord, reason error) error {
	if d, ok := c.decision(r.ChangeID); ok && d.Accepted() {
		return fmt.Errorf("change %s is already version %d", r.ChangeID, d.Version)
	}
	c.recordDecision(Decision{ChangeID: r.ChangeID, Reason: reason.Error()})
	return fmt.Errorf("change %s is void: %w", r.ChangeID, reason)
}

func (c *logState) recordDecision(d Decision) {
	if len(c.Decisions) == maxDecisions {
		c.Decisions = c.Decisions[1:]
	}
	c.Decisions = append(c.Decisions, d)
}

// decision returns the latest stored decision on a change.
func (c *logState) decision(changeID string) (Decision, bool) {
	for i := len(c.Decisions) - 1; i >= 0; i-- {
		if c.Decisions[i].ChangeID == changeID {
			return c.Decisions[i], true
		}
	}
	return Decision{}, false
}

// applyRefresh applies a repeated configuration. A known version never decreases.
// An unknown version becomes known if this node has all configuration records
// from the writer's offset on; the pending ones are decided then.
func (c *logState) applyRefresh(r RefreshRecord, parse Parse) (*config.Config, error) {
	if !c.VersionKnown && r.AsOfOffset < c.ContiguousFrom {
		return nil, fmt.Errorf("refresh of version %d as of offset %d is too old", r.Version, r.AsOfOffset)
	}
	var cfg *config.Config
	if r.Version > c.Version {
		parsed, err := parse(r.File)
		if err != nil {
			return nil, fmt.Errorf("refresh of version %d: %w", r.Version, err)
		}
		cfg = parsed
		c.Version = r.Version
		c.ChangeID = r.ChangeID
		c.File = r.File
		c.recordDecision(Decision{ChangeID: r.ChangeID, Version: r.Version})
	}
	if c.VersionKnown {
		return cfg, nil
	}
	c.VersionKnown = true
	return c.decidePending(r.AsOfOffset, cfg, parse), nil
}

func (c *logState) decidePending(asOfOffset uint64, cfg *config.Config, parse Parse) *config.Config {
	for _, p := range c.Pending {
		if p.Offset < asOfOffset {
			continue
		}
		if decided, err := c.decide(p.Record, parse); err == nil {
			cfg = decided
		}
	}
	c.Pending = nil
	return cfg
}
