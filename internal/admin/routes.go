package admin

import (
	_ "embed"
	"net/http"
	"strings"
)

// route maps a method and a path of the API to a handler.
type route struct {
	method string
	// pattern is the path below apiPrefix. {name} and {id} match any segment that is not empty. No tenant has an empty
	// name, and for an empty name getTenantUsage would return the usage of all tenants.
	pattern string
	handle  func(*Server, *request) response
	// forTenants allows a TenantAdmin to use the route for its own tenant.
	forTenants bool
}

var routes = []route{
	{method: "GET", pattern: "openapi.json", handle: (*Server).getOpenAPI, forTenants: true},
	{method: "GET", pattern: "metrics", handle: (*Server).getMetrics},
	{method: "GET", pattern: "usage", handle: (*Server).getUsage},
	{method: "GET", pattern: "audit", handle: (*Server).getAuditLog},
	{method: "GET", pattern: "public-texts", handle: (*Server).getPublicTexts},
	{method: "PUT", pattern: "public-texts", handle: (*Server).setPublicTexts},

	{method: "GET", pattern: "tenants", handle: (*Server).listTenants},
	{method: "POST", pattern: "tenants", handle: (*Server).createTenant},
	{method: "GET", pattern: "tenants/{name}", handle: (*Server).getTenant, forTenants: true},
	{method: "PATCH", pattern: "tenants/{name}", handle: (*Server).changeLimits},
	{method: "DELETE", pattern: "tenants/{name}", handle: (*Server).removeTenant},
	{method: "POST", pattern: "tenants/{name}/suspend", handle: (*Server).suspendTenant},
	{method: "POST", pattern: "tenants/{name}/resume", handle: (*Server).resumeTenant},
	{method: "GET", pattern: "tenants/{name}/usage", handle: (*Server).getTenantUsage, forTenants: true},

	{method: "GET", pattern: "tenants/{name}/keys", handle: (*Server).listKeys, forTenants: true},
	{method: "POST", pattern: "tenants/{name}/keys", handle: (*Server).createKey, forTenants: true},
	{method: "DELETE", pattern: "tenants/{name}/keys/{id}", handle: (*Server).revokeKey, forTenants: true},
}

// Indices of path segments.
const (
	nameSegment = 1
	idSegment   = 3
)

// matches reports whether the route handles a request.
func (e route) matches(r *request) bool {
	pattern := strings.Split(e.pattern, "/")
	if e.method != r.method || len(pattern) != len(r.path) {
		return false
	}
	for i, segment := range pattern {
		isVariable := strings.HasPrefix(segment, "{")
		if isVariable && r.path[i] == "" || !isVariable && segment != r.path[i] {
			return false
		}
	}
	return true
}

func findRoute(r *request) (found route, ok bool) {
	for _, candidate := range routes {
		if candidate.matches(r) {
			return candidate, true
		}
	}
	return route{}, false
}

// route checks what the caller may do, passes a request to its handler and returns the answer.
func (s *Server) route(r *request) response {
	if r.caller.role == Viewer && r.method != http.MethodGet {
		return errorResponse(http.StatusForbidden, "forbidden", "", "a viewer changes nothing")
	}
	version, valid := r.ifMatch()
	if !valid {
		return responseForError(malformed("If-Match", "If-Match must be an ETag as it was given"))
	}
	r.version, r.tenant = version, r.segment(nameSegment)
	found, known := findRoute(r)
	if r.caller.role == TenantAdmin {
		// The answer must not reveal whether the tenant or the route exists.
		ownTenant := r.tenant == "" || r.tenant == r.caller.tenant
		if !known || !found.forTenants || !ownTenant {
			return errorResponse(http.StatusNotFound, "no_tenant", "", "there is nothing here for this key")
		}
	}
	if !known {
		return errorResponse(http.StatusNotFound, "unknown_url", "", "unknown URL or method")
	}
	return found.handle(s, r)
}

//go:embed openapi.json
var openAPI []byte

func (s *Server) getOpenAPI(*request) response {
	return response{status: http.StatusOK, text: openAPI, contentType: "application/json"}
}
