package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

type object = map[string]any

// route is a route of the operator's config.
type route struct {
	host, prefix, service, kind string
	timeout                     float64
	public                      bool
}

// putConfig writes a config: all routes, one tenant with the given keys.
func (f *fleet) putConfig(version int, routes []route, keys []string) {
	services := map[string]bool{}
	var listeners, clusters []object
	for i, r := range routes {
		if !services[r.service] {
			clusters = append(clusters, object{"name": r.service, "health_path": "/health", "max_connections": 400, "protocol": "h1", "tls": false})
		}
		services[r.service] = true
		listeners = append(listeners, object{"host": r.host, "rules": []object{{
			"name": fmt.Sprintf("r-%d", i), "kind": r.kind, "target_latency_s": 1.5, "priority": 1, "public": r.public,
			"match":  object{"path_prefix": r.prefix},
			"action": object{"service": r.service, "timeout_s": r.timeout, "max_attempts": 2},
		}}})
	}
	c := object{
		"version": version, "base_version": version - 1,
		"limits":    object{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": f.headerTimeoutS, "idle_timeout_s": 15},
		"listeners": listeners, "clusters": clusters, // each route has a host of its own
	}
	if len(keys) > 0 {
		c["tenants"] = []object{{"name": "tenant-1", "api_keys": keys, "priority": 1, "rate_per_s": f.rate, "burst": f.rate}}
	}
	document, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	f.store.put("keyed.op", "config", document)
}

// ready reports whether the node of a machine answers that it is ready.
func (m *machine) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + m.readiness + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range f.machines {
		for !m.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("node %s isn't ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
