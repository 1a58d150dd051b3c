package directory

import (
	"errors"
	"fmt"
	"time"
)

// Bounds of a record. They are far above what the nodes of a fleet write; a record beyond
// them was written by something else.
const (
	// maxNameBytes bounds names and addresses.
	maxNameBytes = 256
	// maxSlots bounds the slots of an instance, maxPartitions the partitions of the pools.
	maxSlots      = 1 << 20
	maxPartitions = 1 << 16
	// maxFanoutCalls bounds the routes in a fan-out and the routes that each calls, and
	// maxFanoutValue the measure of a call.
	maxFanoutCalls = 1 << 12
	maxFanoutValue = 1 << 30
	// maxClockAhead is how far ahead of this node's clock that of another may be.
	maxClockAhead = 24 * time.Hour
)

// errInvalidRecord means that a record can't be of a node of this fleet.
var errInvalidRecord = errors.New("invalid member record")

// validate checks a record that was read under the key name. A record with an error is
// not used: it would add a member that can't be called, or displace the record of a node
// that is there.
func (o *Options) validate(name string, r *Record, now time.Time) error {
	m := &r.Member
	latest := now.Add(maxClockAhead).UnixMilli()
	switch {
	case m.ID == "" || m.ID.NodeName() != name:
		return fmt.Errorf("%w: member ID %.40q is not of the node", errInvalidRecord, m.ID)
	case len(m.ID) > maxNameBytes || len(m.Service) > maxNameBytes || len(m.Domain) > maxNameBytes || len(r.Instance.ID) > maxNameBytes:
		return fmt.Errorf("%w: a name has more than %d bytes", errInvalidRecord, maxNameBytes)
	case m.AnnouncedMS < 0 || m.AnnouncedMS > latest || r.Instance.StartedMS < 0 || r.Instance.StartedMS > latest:
		return fmt.Errorf("%w: started at %d, its instance at %d", errInvalidRecord, m.AnnouncedMS, r.Instance.StartedMS)
	case m.Slots < 0 || m.Slots > maxSlots:
		return fmt.Errorf("%w: %d slots", errInvalidRecord, m.Slots)
	}
	if o.CheckAddress != nil {
		if err := o.CheckAddress(m.CallAddr); err != nil {
			return fmt.Errorf("%w: address %.40q: %w", errInvalidRecord, m.CallAddr, err)
		}
	}
	if err := validatePools(r.Pools); err != nil {
		return err
	}
	return validateFanout(r)
}

func validatePools(pools []int) error {
	if len(pools) > maxPartitions {
		return fmt.Errorf("%w: %d partitions", errInvalidRecord, len(pools))
	}
	for _, p := range pools {
		if p < 0 || p >= maxPartitions {
			return fmt.Errorf("%w: partition %d", errInvalidRecord, p)
		}
	}
	return nil
}

func validateFanout(r *Record) error {
	if len(r.Fanout) > maxFanoutCalls {
		return fmt.Errorf("%w: fan-out of %d routes", errInvalidRecord, len(r.Fanout))
	}
	for route, calls := range r.Fanout {
		if len(calls) > maxFanoutCalls {
			return fmt.Errorf("%w: %d calls of route %.40q", errInvalidRecord, len(calls), route)
		}
		for _, n := range calls {
			if n < 0 || n > maxFanoutValue {
				return fmt.Errorf("%w: fan-out %d of route %.40q", errInvalidRecord, n, route)
			}
		}
	}
	return nil
}

// reject leaves out a record that can't be read or is invalid: the valid one that is
// known of the node, if any, stays in use. A record under this node's own key is written
// again. d.mu is held.
func (d *Directory) reject(name string, read storedRecord, source string, err error) {
	d.InvalidRecords.Add(1)
	d.options.Log.Warn("member record left out", "key", name, "source", source, "offset", read.Offset, "error", err)
	if name != d.options.Name || d.own == nil || read.olderThan(d.ownStored) {
		return
	}
	d.ownStored = storedRecord{Offset: read.Offset, Incarnation: read.Incarnation}
	d.ownWritten = false
	d.signalWrite()
}
