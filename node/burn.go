package node

import "github.com/gooseberryflow/gooseberryflow/report"

// burn returns the service-level burn of the requests that entered here.
func (n *Node) burn() report.Report {
	objectives := make(map[string]float64)
	if c := n.Snapshot().Config; c != nil {
		for _, r := range c.Routes {
			objectives[r.Name] = r.Objective
		}
	}
	return n.recorder.Report(n.host.Now(), func(route string) float64 { return objectives[route] })
}
