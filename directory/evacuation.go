package directory

import (
	"maps"
	"slices"
	"strings"

	"github.com/gooseberryflow/gooseberryflow/internal/boottime"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// topicPosition is an offset of a topic in an incarnation of the store.
type topicPosition struct {
	Incarnation uint64 `cbor:"1,keyasint,omitempty"`
	Offset      uint64 `cbor:"2,keyasint,omitempty"`
}

// before reports whether p precedes q.
func (p topicPosition) before(q topicPosition) bool {
	if p.Incarnation != q.Incarnation {
		return p.Incarnation < q.Incarnation
	}
	return p.Offset < q.Offset
}

// evacuations are the evacuated failure domains as of a position of the configuration
// topic.
type evacuations struct {
	at topicPosition
	// known is never changed, only replaced.
	known map[string]state.Evacuation
	// keptUntil is when evacuations are dropped that only an earlier incarnation of the
	// store had; zero if there are none.
	keptUntil boottime.Instant
}

// evacuationsIn applies the records of a page to the evacuated failure domains.
func (d *Directory) evacuationsIn(page Page, evacuated map[string]state.Evacuation) {
	for _, i := range page.Items {
		domain, ok := strings.CutPrefix(i.Key, d.options.Topics.EvacuationPrefix)
		switch {
		case !ok || domain == "":
		case len(i.Value) == 0:
			delete(evacuated, domain)
		default:
			evacuated[domain] = state.Evacuation{Offset: i.Offset, Incarnation: page.Incarnation}
		}
	}
}

// applyEvacuations applies the evacuations in a page of the configuration topic. whole
// is set if the page holds all latest records.
func (d *Directory) applyEvacuations(page Page, whole bool) {
	if d.options.Topics.EvacuationPrefix == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	at := topicPosition{Incarnation: page.Incarnation, Offset: page.End}
	if at.before(d.evacuations.at) {
		return // a peer has brought a later state
	}
	next := map[string]state.Evacuation{}
	if !whole {
		maps.Copy(next, d.evacuations.known)
	}
	d.evacuationsIn(page, next)
	if whole {
		d.keepLost(at, next)
	}
	d.replaceEvacuations(at, next, "store")
}

// adoptEvacuations adopts a peer's evacuations if they are of a later position.
func (d *Directory) adoptEvacuations(resp stateResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.evacuations.at.before(resp.EvacuationsAt) || resp.EvacuationsAt.Incarnation < d.incarnation {
		return
	}
	next := map[string]state.Evacuation{}
	maps.Copy(next, resp.Evacuations)
	if resp.EvacuationsAt.Incarnation > d.evacuations.at.Incarnation {
		d.keepLost(resp.EvacuationsAt, next)
	}
	d.replaceEvacuations(resp.EvacuationsAt, next, "peer")
}

// keepLost adds the evacuations to next that only an earlier incarnation of the store
// had. Operators write lost records again. d.mu is held.
func (d *Directory) keepLost(at topicPosition, next map[string]state.Evacuation) {
	for domain, e := range d.evacuations.known {
		if _, present := next[domain]; !present && e.Incarnation < at.Incarnation {
			next[domain] = e
		}
	}
}

// replaceEvacuations puts evacuations in force. Those of an earlier incarnation of the
// store stay for configTrustDelay after this node has learnt of the present one, also
// those that a peer has kept: the position of a peer doesn't change when it drops them.
// d.mu is held.
func (d *Directory) replaceEvacuations(at topicPosition, next map[string]state.Evacuation, from string) {
	restored := at.Incarnation > d.evacuations.at.Incarnation
	d.evacuations.at = at
	if restored || d.evacuations.keptUntil == 0 {
		d.evacuations.keptUntil = 0
		for _, e := range next {
			if e.Incarnation < at.Incarnation {
				d.evacuations.keptUntil = boottime.Now().Add(configTrustDelay)
			}
		}
	}
	d.putEvacuations(next, from)
}

// expireEvacuations drops evacuations that the operator has not written again since the
// store was restored.
func (d *Directory) expireEvacuations() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.evacuations.keptUntil == 0 || boottime.Now() < d.evacuations.keptUntil {
		return
	}
	d.evacuations.keptUntil = 0
	next := maps.Clone(d.evacuations.known)
	maps.DeleteFunc(next, func(_ string, e state.Evacuation) bool { return e.Incarnation < d.evacuations.at.Incarnation })
	d.putEvacuations(next, "expiry")
}

// putEvacuations publishes changed evacuations and logs the change. d.mu is held.
func (d *Directory) putEvacuations(next map[string]state.Evacuation, from string) {
	old := d.evacuations.known
	d.evacuations.known = next
	if maps.Equal(old, next) {
		return
	}
	d.publish(func(s *state.Snapshot) { s.Evacuations = next })
	d.options.Log.Info("evacuated failure domains changed", "domains", slices.Sorted(maps.Keys(next)),
		"before", slices.Sorted(maps.Keys(old)), "from", from, "offset", d.evacuations.at.Offset,
		"incarnation", d.evacuations.at.Incarnation, "config_age_ms", d.ConfigAge().Milliseconds())
}
