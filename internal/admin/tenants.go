package admin

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"

	"plumspindle/internal/tenancy"
)

// redacted returns a copy of a tenant without the MACs of its keys.
func redacted(t *tenancy.Tenant) tenancy.Tenant {
	shown := *t
	shown.Keys = slices.Clone(t.Keys)
	for i := range shown.Keys {
		shown.Keys[i].MAC = ""
	}
	return shown
}

func tenantResponse(status int, t *tenancy.Tenant) response {
	return response{status: status, body: redacted(t), etag: t.Version}
}

func noSuchTenant() response {
	return errorResponse(http.StatusNotFound, tenancy.CodeNoTenant, "", "there is no such tenant")
}

// tenantList is the answer to a request for a page of tenants. The order of its members is part of the API. The same
// holds for all response bodies.
type tenantList struct {
	NextAfter string           `json:"next_after"` // empty on the last page
	Tenants   []tenancy.Tenant `json:"tenants"`
}

func (s *Server) listTenants(r *request) response {
	after, size := r.query["after"], r.pageSize()
	page := tenantList{Tenants: []tenancy.Tenant{}}
	for _, name := range s.registry.Names() {
		if name <= after {
			continue
		}
		if len(page.Tenants) == size {
			page.NextAfter = page.Tenants[size-1].Name
			break
		}
		page.Tenants = append(page.Tenants, redacted(s.registry.Tenants[name]))
	}
	return okResponse(page)
}

func (s *Server) getTenant(r *request) response {
	t := s.registry.Tenants[r.tenant]
	if t == nil {
		return noSuchTenant()
	}
	return tenantResponse(http.StatusOK, t)
}

// The structs of request bodies are anonymous, because error messages about malformed bodies would otherwise contain
// the names of the struct types.

func (s *Server) createTenant(r *request) response {
	var body struct {
		Name     string                    `json:"name"`
		Limits   tenancy.Limits            `json:"limits"`
		Products map[string]tenancy.Limits `json:"products"`
	}
	if err := r.decode(&body); err != nil {
		return responseForError(err)
	}
	return s.change(r, "tenant created", func(registry *tenancy.Registry) (response, error) {
		t, created, err := registry.Create(s.now(), body.Name, body.Limits, body.Products)
		if err != nil {
			return response{}, err
		}
		if created {
			return tenantResponse(http.StatusCreated, t), nil
		}
		return tenantResponse(http.StatusOK, t), nil
	})
}

// changeTenant makes the change of a tenant that a request asks for, and returns the changed tenant as the answer.
func (s *Server) changeTenant(
	r *request, action string, apply func(*tenancy.Registry) (*tenancy.Tenant, error),
) response {
	return s.change(r, action, func(registry *tenancy.Registry) (response, error) {
		t, err := apply(registry)
		if err != nil {
			return response{}, err
		}
		return tenantResponse(http.StatusOK, t), nil
	})
}

func (s *Server) changeLimits(r *request) response {
	var body struct {
		Limits   *tenancy.Limits           `json:"limits"`
		Products map[string]tenancy.Limits `json:"products"`
	}
	if err := r.decode(&body); err != nil {
		return responseForError(err)
	}
	return s.changeTenant(r, "limits changed", func(registry *tenancy.Registry) (*tenancy.Tenant, error) {
		return registry.SetLimits(r.tenant, r.version, body.Limits, body.Products)
	})
}

func (s *Server) suspendTenant(r *request) response {
	return s.changeTenant(r, "suspend", func(registry *tenancy.Registry) (*tenancy.Tenant, error) {
		return registry.Suspend(r.tenant, r.version)
	})
}

func (s *Server) resumeTenant(r *request) response {
	return s.changeTenant(r, "resume", func(registry *tenancy.Registry) (*tenancy.Tenant, error) {
		return registry.Resume(r.tenant, r.version)
	})
}

func (s *Server) removeTenant(r *request) response {
	policy := tenancy.RemovalPolicy(r.query["policy"])
	if policy == "" {
		policy = tenancy.RemovalFinish
	}
	action := "removal: " + string(policy)
	result := s.changeTenant(r, action, func(registry *tenancy.Registry) (*tenancy.Tenant, error) {
		return registry.Remove(r.tenant, r.version, policy)
	})
	// The removal completes at once if there is no live dispatcher that may have running requests of the tenant.
	s.loop.Defer(s.completeRemovals)
	return result
}

// publicTexts is the answer to requests that read or set the digests of public texts.
type publicTexts struct {
	SHA256 []string `json:"sha256"`
}

func (s *Server) getPublicTexts(*request) response {
	return okResponse(publicTexts{s.registry.PublicTexts})
}

func (s *Server) setPublicTexts(r *request) response {
	var body struct {
		SHA256 []string `json:"sha256"`
	}
	if err := r.decode(&body); err != nil {
		return responseForError(err)
	}
	for i, digest := range body.SHA256 {
		raw, err := hex.DecodeString(digest)
		if err != nil || len(raw) != sha256.Size {
			field := fmt.Sprintf("sha256[%d]", i)
			return errorResponse(http.StatusUnprocessableEntity, "invalid_digest", field, "must be 64 hexadecimal digits")
		}
	}
	return s.change(r, "public texts set", func(registry *tenancy.Registry) (response, error) {
		registry.PublicTexts = body.SHA256
		registry.Version++
		return okResponse(publicTexts(body)), nil
	})
}
