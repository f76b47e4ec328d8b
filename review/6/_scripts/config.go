package main

import "encoding/json"

// rule is a route of a desired state.
type rule struct {
	name, host, prefix, kind, service string
	target, timeout                   float64
}

// configure writes a desired state with the rules and their services to the store.
func (p *play) configure(version string, rules ...rule) {
	var listeners, clusters []any
	known := make(map[string]bool)
	for _, r := range rules {
		listeners = append(listeners, map[string]any{"Host": r.host, "Rules": []any{map[string]any{
			"Name": r.name, "Kind": r.kind, wire.Fields.Target: r.target, "Priority": 1, "Match": map[string]any{"Prefix": r.prefix},
			"Action": map[string]any{"Service": r.service, "TimeoutS": r.timeout, "MaxAttempts": 2, wire.Fields.HomeRegions: []string{}},
		}}})
		if !known[r.service] {
			known[r.service] = true
			clusters = append(clusters, map[string]any{
				"Name": r.service, wire.Fields.HealthPath: "/health", "MaxConnections": 260, "Protocol": "h1", "Tls": false,
				wire.Fields.ColdStart: 3.0, wire.Fields.ColdRate: 37.0,
			})
		}
	}
	text, _ := json.Marshal(map[string]any{
		"Version": version, "BaseVersion": "00000000",
		"Limits":    map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
		"Listeners": listeners, "Clusters": clusters,
	})
	p.store.put("op", "config", string(text))
}
