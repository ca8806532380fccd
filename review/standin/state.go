package main

const (
	hostOfRoutes = "rig.example"
	keyOfTenant  = "key-of-lab"
	// serviceName is the plain service of Dala Vibro Lab's sheet.
	serviceName = "rig-api"
	// modelService is its service of model engines.
	modelService = "guava-llm"
	bodyBytes    = 800 // Of an answer, as on the sheet.
)

// route returns a route of the plain service.
func route(name, prefix, kind string, maxAttempts int) map[string]any {
	return map[string]any{
		"name": name, "host": hostOfRoutes, "path_prefix": prefix, "type": kind, "timeout_ms": 1200,
		"target_latency_ms": 100, "priority": 2, "service": serviceName, "max_attempts": maxAttempts,
	}
}

// desiredState returns a desired state with these routes and one tenant.
func desiredState(routes ...any) map[string]any {
	return map[string]any{
		"version": 3, "routes": routes,
		"services": []any{map[string]any{"name": serviceName, "max_connections": 110}},
		"tenants":  []any{map[string]any{"name": "lab", "api_keys": []string{keyOfTenant}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
	}
}
