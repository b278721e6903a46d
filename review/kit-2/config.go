package main

// routeOf returns a route of the configuration.
func routeOf(name, prefix, kind, service string, timeout, aim, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": "svc.example", "prefix": prefix, "kind": kind, "timeoutMs": timeout, "targetLatencyMs": aim,
		"priority": 1, "service": service, "maxAttempts": attempts, "public": false,
	}
}

// streamOf returns a route with streams.
func streamOf(name, prefix, service string, resume bool, timeout, aim, attempts int) map[string]any {
	r := routeOf(name, prefix, "streaming", service, timeout, aim, attempts)
	r["sessionAffinity"], r["streamResume"], r["gapTargetMs"] = true, resume, 250
	return r
}

// config is the operator's configuration, with the limits of the site.
func config(version int, keys []string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			routeOf("orders", "/orders/", "non_idempotent", "desk", 800, 150, 1),
			routeOf("looks", "/looks/", "idempotent", "desk", 800, 150, 2),
			streamOf("full", "/full/", "model", true, 15000, 600, 2),
			streamOf("ask", "/ask/", "model", false, 12000, 600, 1),
		},
		"services": []any{
			map[string]any{
				"name": "model", "healthPath": "/health", "maxConns": 620, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 128, "kvCapacity": 953186, "kvTokenBytes": 35136, "linkMbps": 1100000.0, "moves": true, "backups": true,
					"stride": 5, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": "desk", "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 410000,
		},
		"tenants": []any{
			map[string]any{"name": "team1", "apiKeys": keys, "priority": 1},
			map[string]any{"name": "team2", "apiKeys": []string{"key-of-team2-0001"}, "priority": 1},
		},
	}
}
