package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"

	"github.com/gooseberryflow/gooseberryflow/platform/standin"
)

// store is the stand-in of the platform's store. Headers that the pages in force do not
// describe are left out of its responses.
type store struct {
	*standin.Store
	address string
	server  *http.Server
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{Store: standin.NewStore(partitions), address: listener.Addr().String()}
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.ServeHTTP(&plainWriter{ResponseWriter: w}, r)
	})}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// plainWriter drops the header that numbers the store's incarnations.
type plainWriter struct{ http.ResponseWriter }

func (w *plainWriter) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

func (w *plainWriter) Write(b []byte) (int, error) {
	w.Header().Del("Store-Era")
	return w.ResponseWriter.Write(b)
}

const tenantCount = 8

// apiKey returns the key of a tenant.
func apiKey(i int) string { return fmt.Sprintf("%dwsjnbanfqasnmgkcuyj", i%tenantCount) }

// route is one rule of the operators' config.
type route struct {
	name, host, prefix, kind, service string
	timeoutS                          float64
	public                            bool // for the calls of workers
}

// limits are what the config allows clients.
type limits struct {
	HeaderBytes    int     `json:"max_header_bytes"`
	BodyBytes      int64   `json:"max_body_bytes"`
	HeaderTimeoutS float64 `json:"header_timeout_s"`
	IdleTimeoutS   float64 `json:"idle_timeout_s"`
}

// pageLimits are those of the examples of messages.
var pageLimits = limits{HeaderBytes: 16384, BodyBytes: 67108864, HeaderTimeoutS: 3, IdleTimeoutS: 15}

// putConfig writes a config as the operator does.
func (s *store) putConfig(version int, l limits, routes ...route) {
	type object = map[string]any
	var listeners, clusters, tenants []object
	for i := range tenantCount {
		tenants = append(tenants, object{"name": fmt.Sprintf("pulo78%d", i), "api_keys": []string{apiKey(i)}, "priority": 1})
	}
	services := map[string]bool{}
	for _, r := range routes {
		listeners = append(listeners, object{"host": r.host, "rules": []object{{
			"name": r.name, "kind": r.kind, "target_latency_s": 1.5, "priority": 1, "public": r.public,
			"match":  object{"path_prefix": r.prefix},
			"action": object{"service": r.service, "timeout_s": r.timeoutS, "max_attempts": 2},
		}}})
		if !services[r.service] {
			clusters = append(clusters, object{"name": r.service, "health_path": "/health"})
		}
		services[r.service] = true
	}
	document, err := json.Marshal(object{
		"version": version, "limits": l, "listeners": listeners, "clusters": clusters,
		"tenants": tenants,
	})
	if err != nil {
		panic("config: " + err.Error())
	}
	s.Put("keyed.op", "config", []byte(strings.TrimSpace(string(document))))
}
