package membership

import (
	"maps"
	"slices"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// gossipTarget picks a random peer, mostly from the own failure domain.
func (s *Service) gossipTarget() (state.Member, bool) {
	near, far := s.candidates()
	group := near
	if len(near) == 0 || len(far) > 0 && s.o.Rand()%ownDomainScale >= ownDomainShare {
		group = far
	}
	if len(group) == 0 {
		group = s.firstPeers()
	}
	if len(group) == 0 {
		return state.Member{}, false
	}
	return group[s.o.Rand()%uint64(len(group))], true
}

// candidates returns the peers inside and outside the own failure domain,
// without those that are probed already because they fail.
func (s *Service) candidates() (near, far []state.Member) {
	snap := s.Snapshot()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, domain := range snap.Domains() {
		for _, m := range snap.Domain(domain) {
			if m.ID == s.o.Self.ID || s.detector.failing(m.ID) {
				continue
			}
			if domain == s.o.Self.Domain {
				near = append(near, m)
			} else {
				far = append(far, m)
			}
		}
	}
	return near, far
}

// randomPeers returns up to n distinct random peers.
func (s *Service) randomPeers(n int) []state.Member {
	near, far := s.candidates()
	peers := append(near, far...)
	for i := range peers {
		j := i + int(s.o.Rand()%uint64(len(peers)-i))
		peers[i], peers[j] = peers[j], peers[i]
	}
	return peers[:min(n, len(peers))]
}

// firstPeers returns the configured first peers in random order. Their IDs are
// not known.
func (s *Service) firstPeers() []state.Member {
	var peers []state.Member
	for _, addr := range s.o.SeedPeers {
		if addr != s.o.Self.ControlAddr {
			peers = append(peers, state.Member{ControlAddr: addr})
		}
	}
	if len(peers) > 1 {
		k := int(s.o.Rand() % uint64(len(peers)))
		peers = append(peers[k:], peers[:k]...)
	}
	return peers
}

// sortedIDs returns the keys of a set of members in order.
func sortedIDs[V any](set map[state.MemberID]V) []state.MemberID {
	return slices.Sorted(maps.Keys(set))
}
