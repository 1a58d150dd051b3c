package admin

import (
	"sort"
	"time"

	api "github.com/gooseberryflow/gooseberryflow/admin/gen/admin"
	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/report"
	"github.com/gooseberryflow/gooseberryflow/state"
)

func changeResult(changeID string, r SubmitResult) *api.ChangeResult {
	res := &api.ChangeResult{Status: string(r.Status), Version: r.Version, ChangeID: changeID}
	if r.Reason != "" {
		res.Reason = &r.Reason
	}
	return res
}

func fileFaults(faults config.Errors) []*api.FileFault {
	out := make([]*api.FileFault, len(faults))
	for i, f := range faults {
		out[i] = &api.FileFault{Line: f.Line, Key: f.Key, Reason: f.Reason}
	}
	return out
}

func configChanges(changes []config.Change) []*api.ConfigChange {
	out := make([]*api.ConfigChange, len(changes))
	for i, c := range changes {
		out[i] = &api.ConfigChange{Kind: string(c.Kind), Item: c.Item, Name: c.Name, Fields: c.Fields}
	}
	return out
}

// keyList returns the keys of a customer, or all keys if customer is nil.
func keyList(snap *state.Snapshot, customer *string) *api.KeyList {
	list := &api.KeyList{Keys: []*api.IssuedKey{}}
	for id, k := range snap.Keys {
		if customer == nil || *customer == k.Customer {
			list.Keys = append(list.Keys, &api.IssuedKey{ID: id, Customer: k.Customer, Withdrawn: snap.Withdrawn[id]})
		}
	}
	sort.Slice(list.Keys, func(i, j int) bool {
		a, b := list.Keys[i], list.Keys[j]
		if a.Customer != b.Customer {
			return a.Customer < b.Customer
		}
		return a.ID < b.ID
	})
	return list
}

func fleetStatus(now time.Time, snap *state.Snapshot, st Status) *api.FleetStatus {
	fleet := &api.FleetStatus{
		Member:       string(st.Self),
		Version:      snap.Version,
		ChangeID:     snap.ChangeID,
		Offset:       snap.Offset,
		LogNext:      max(st.LogNext, snap.Offset),
		LogContactMs: unixMS(st.LogContact),
		Members:      []*api.MemberStatus{},
	}
	for id, m := range snap.Members {
		lastReport := st.LastReport[id]
		if id == st.Self {
			lastReport = LastReport{At: now, Version: snap.Version, Offset: snap.Offset}
		}
		fleet.Members = append(fleet.Members, memberStatus(m, lastReport, fleet.LogNext))
	}
	sort.Slice(fleet.Members, func(i, j int) bool {
		a, b := fleet.Members[i], fleet.Members[j]
		if a.Service != b.Service {
			return a.Service < b.Service
		}
		return a.ID < b.ID
	})
	return fleet
}

func memberStatus(m state.Member, lastReport LastReport, logNext uint64) *api.MemberStatus {
	return &api.MemberStatus{
		ID:             string(m.ID),
		Service:        m.Service,
		FailureDomain:  m.Domain,
		CallerAddress:  m.CallerAddr,
		ControlAddress: m.ControlAddr,
		CallAddress:    m.CallAddr,
		Draining:       m.Draining,
		AnnouncedMs:    m.AnnouncedMS,
		HeardMs:        unixMS(lastReport.At),
		Version:        lastReport.Version,
		Offset:         lastReport.Offset,
		Lag:            logNext - min(logNext, lastReport.Offset),
	}
}

func burnReport(self state.MemberID, now time.Time, r report.Report) *api.BurnReport {
	out := &api.BurnReport{Member: string(self), AtMs: unixMS(now), Rows: []*api.BurnRow{}}
	for _, row := range r.Rows {
		out.Rows = append(out.Rows, burnRow(row))
	}
	return out
}

func burnRow(row report.Row) *api.BurnRow {
	out := &api.BurnRow{Customer: row.Customer, Route: row.Route, Objective: row.Objective}
	for i, c := range row.Windows {
		out.Windows = append(out.Windows, &api.BurnWindow{
			Seconds:      int64(report.Windows[i] / time.Second),
			Total:        c.Total,
			Failed:       c.Failed,
			LatencySumMs: float64(c.LatencySum) / float64(time.Millisecond),
			Burn:         c.Burn(row.Objective),
		})
	}
	return out
}

// unixMS returns t in Unix milliseconds, or zero for the zero time.
func unixMS(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}
