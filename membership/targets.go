package membership

import (
	"maps"
	"slices"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// gossipTarget picks a random peer, usually from this node's failure domain.
func (s *Service) gossipTarget() (state.Member, bool) {
	local, remote := s.gossipCandidates()
	group := local
	if len(local) == 0 || len(remote) > 0 && s.opts.Rand()%localExchangeScale >= localExchangeShare {
		group = remote
	}
	if len(group) == 0 {
		group = s.seedPeers()
	}
	if len(group) == 0 {
		return state.Member{}, false
	}
	return group[s.opts.Rand()%uint64(len(group))], true
}

// gossipCandidates returns the peers inside and outside this node's failure
// domain, except those that are failing and therefore probed already.
func (s *Service) gossipCandidates() (local, remote []state.Member) {
	snap := s.Snapshot()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, domain := range snap.Domains() {
		for _, m := range snap.Domain(domain) {
			if m.ID == s.opts.Self.ID || s.detector.failing(m.ID) {
				continue
			}
			if domain == s.opts.Self.Domain {
				local = append(local, m)
			} else {
				remote = append(remote, m)
			}
		}
	}
	return local, remote
}

// randomPeers returns up to n distinct random peers.
func (s *Service) randomPeers(n int) []state.Member {
	local, remote := s.gossipCandidates()
	peers := append(local, remote...)
	for i := range peers {
		j := i + int(s.opts.Rand()%uint64(len(peers)-i))
		peers[i], peers[j] = peers[j], peers[i]
	}
	return peers[:min(n, len(peers))]
}

// seedPeers returns the configured seed peers, rotated by a random amount. Their
// IDs are not known.
func (s *Service) seedPeers() []state.Member {
	var peers []state.Member
	for _, addr := range s.opts.SeedPeers {
		if addr != s.opts.Self.ControlAddr {
			peers = append(peers, state.Member{ControlAddr: addr})
		}
	}
	if len(peers) > 1 {
		k := int(s.opts.Rand() % uint64(len(peers)))
		peers = append(peers[k:], peers[:k]...)
	}
	return peers
}

// sortedIDs returns the member IDs that are keys of a map, in order.
func sortedIDs[V any](set map[state.MemberID]V) []state.MemberID {
	return slices.Sorted(maps.Keys(set))
}
