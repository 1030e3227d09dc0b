package admin

import (
	"io"
	"net/http"
	"strconv"

	"plumspindle/internal/store"
	"plumspindle/internal/tenancy"
)

// keyList is the answer to a request for a tenant's keys.
type keyList struct {
	Keys []tenancy.KeyRecord `json:"keys"`
}

func (s *Server) listKeys(r *request) response {
	t := s.registry.Tenants[r.tenant]
	if t == nil {
		return noSuchTenant()
	}
	return response{status: http.StatusOK, body: keyList{redacted(t).Keys}, etag: t.Version}
}

// createdKey is the answer to the creation of a key. It is the only answer that contains the text of a key.
type createdKey struct {
	ExpiresAt int64           `json:"expires_s"`
	ID        string          `json:"id"`
	Key       string          `json:"key"`
	Label     string          `json:"label"`
	Scopes    []tenancy.Scope `json:"scopes"`
}

// repeatedKey is the answer to a repeated creation of a key with the same Idempotency-Key.
type repeatedKey struct {
	ID   string `json:"id"`
	Note string `json:"note"`
}

func (s *Server) createKey(r *request) response {
	var body struct {
		Label   string         `json:"label"`
		Scopes  []string       `json:"scopes"`
		Expires int64          `json:"expires_s"`
		Limits  tenancy.Limits `json:"limits"`
	}
	if len(r.body) > 0 {
		if err := r.decode(&body); err != nil {
			return responseForError(err)
		}
	}
	idempotencyKey := r.head.Get("Idempotency-Key")
	recordKey := idempotencyRecordKey(r.tenant, idempotencyKey)
	if idempotencyKey != "" {
		if id, found := s.records.Get(recordKey); found {
			return okResponse(repeatedKey{ID: string(id), Note: "made before; a key is shown once"})
		}
	}
	random := make([]byte, tenancy.KeyRandomBytes)
	if _, err := io.ReadFull(s.random, random); err != nil {
		s.log.Error().Err(err).Str("tenant", r.tenant).Msg("no random bytes for a key")
		return errorResponse(http.StatusInternalServerError, tenancy.CodeNoRandom, "", "no randomness was to be had")
	}
	keyRequest := tenancy.KeyRequest{
		Label:     body.Label,
		ExpiresAt: body.Expires,
		Limits:    body.Limits,
		Secret:    s.secret,
		Random:    random,
	}
	for _, scope := range body.Scopes {
		keyRequest.Scopes = append(keyRequest.Scopes, tenancy.Scope(scope))
	}
	return s.change(r, "key created", func(registry *tenancy.Registry) (response, error) {
		issued, err := registry.IssueKey(s.now(), r.tenant, r.version, keyRequest)
		if err != nil {
			return response{}, err
		}
		key := issued.Record
		if idempotencyKey != "" {
			r.extraOps = append(r.extraOps, store.Op{Key: recordKey, Value: []byte(key.ID)})
		}
		created := createdKey{
			ExpiresAt: key.ExpiresAt, ID: key.ID, Key: issued.Text, Label: key.Label, Scopes: key.Scopes,
		}
		return response{status: http.StatusCreated, body: created, etag: issued.Tenant.Version}, nil
	})
}

func (s *Server) revokeKey(r *request) response {
	at, err := strconv.ParseInt("0"+r.query["at_s"], 10, 64) // 0 if at_s is missing: the key is revoked at once
	if err != nil {
		return responseForError(malformed("at_s", "must be a time in seconds since 1970"))
	}
	return s.changeTenant(r, "key revoked", func(registry *tenancy.Registry) (*tenancy.Tenant, error) {
		return registry.RevokeKey(s.now(), r.tenant, r.version, r.segment(idSegment), at)
	})
}
