package main

import api "github.com/gooseberryflow/gooseberryflow/admin/gen/admin"

// statusOutput is a node's view of the fleet as JSON, with the field names of the
// administration API.
type statusOutput struct {
	Member       string         `json:"member"`
	Version      uint64         `json:"version"`
	ChangeID     string         `json:"change_id"`
	Offset       uint64         `json:"offset"`
	LogNext      uint64         `json:"log_next"`
	LogContactMS int64          `json:"log_contact_ms"`
	Members      []memberOutput `json:"members"`
}

type memberOutput struct {
	ID             string `json:"id"`
	Service        string `json:"service"`
	FailureDomain  string `json:"failure_domain"`
	CallerAddress  string `json:"caller_address"`
	ControlAddress string `json:"control_address"`
	CallAddress    string `json:"call_address"`
	Draining       bool   `json:"draining"`
	AnnouncedMS    int64  `json:"announced_ms"`
	HeardMS        int64  `json:"heard_ms"`
	Version        uint64 `json:"version"`
	Offset         uint64 `json:"offset"`
	Lag            uint64 `json:"lag"`
}

func newStatusOutput(st *api.FleetStatus) statusOutput {
	out := statusOutput{
		Member:       st.Member,
		Version:      st.Version,
		ChangeID:     st.ChangeID,
		Offset:       st.Offset,
		LogNext:      st.LogNext,
		LogContactMS: st.LogContactMs,
		Members:      []memberOutput{},
	}
	for _, m := range st.Members {
		out.Members = append(out.Members, newMemberOutput(m))
	}
	return out
}

func newMemberOutput(m *api.MemberStatus) memberOutput {
	return memberOutput{
		ID:             m.ID,
		Service:        m.Service,
		FailureDomain:  m.FailureDomain,
		CallerAddress:  m.CallerAddress,
		ControlAddress: m.ControlAddress,
		CallAddress:    m.CallAddress,
		Draining:       m.Draining,
		AnnouncedMS:    m.AnnouncedMs,
		HeardMS:        m.HeardMs,
		Version:        m.Version,
		Offset:         m.Offset,
		Lag:            m.Lag,
	}
}
