package node

import (
	"net/http"

	"github.com/gooseberryflow/gooseberryflow/admin"
)

// adminHandler serves the admin API, health, readiness and metrics.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", n.serveHealth)
	mux.HandleFunc("GET /readyz", n.serveReady)
	mux.HandleFunc("GET /debug/vars", n.serveMetrics)
	backend := admin.NewBackend(n.self.ID, n.membership, n.reportBurn)
	mux.Handle("/", admin.NewHandler(backend, n.settings.OperatorTokens, n.log))
	return mux
}

// serveHealth responds with status 200 as long as the process serves requests.
func (n *Node) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// serveReady responds with status 200 if the node accepts new requests, else 503.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.stopping.Load() || n.host.Snapshot().Config == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = w.Write([]byte(n.metrics.vars.String()))
}
