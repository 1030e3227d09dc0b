package tenancy

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
)

// Scope is what a key may be used for.
type Scope string

// Scopes of a key.
const (
	ScopeChat  Scope = "chat"  // requests to dispatchers
	ScopeAdmin Scope = "admin" // the tenant's own part of the administration
)

// KeyRecord is the stored form of a key, without its text. Times are in seconds since 1970.
type KeyRecord struct {
	ID        string  `json:"id"`
	MAC       string  `json:"mac,omitempty"`
	Label     string  `json:"label,omitempty"`
	Scopes    []Scope `json:"scopes"`
	CreatedAt int64   `json:"created_s"`
	ExpiresAt int64   `json:"expires_s,omitempty"` // 0 = never
	RevokedAt int64   `json:"revoked_s,omitempty"` // 0 = not revoked
	Limits    Limits  `json:"limits"`
}

// A key has the form sk-ID-SECRET; the id and the secret are in hexadecimal digits.
const (
	keyPrefix      = "sk-"
	keyIDBytes     = 6
	keySecretBytes = 24
	// KeyRandomBytes is how many random bytes a key needs.
	KeyRandomBytes = keyIDBytes + keySecretBytes
)

// KeyRequest asks for a new key.
type KeyRequest struct {
	Label     string
	Scopes    []Scope // ScopeChat if there are none
	ExpiresAt int64   // 0 = never
	Limits    Limits
	Secret    []byte // the server's, which the MAC is made with
	Random    []byte // KeyRandomBytes at least
}

// IssuedKey is a new key. Its text is not stored anywhere.
type IssuedKey struct {
	Text   string
	Record KeyRecord
	Tenant *Tenant
}

// IssueKey makes a new key for a tenant.
func (r *Registry) IssueKey(now int64, name string, version uint64, request KeyRequest) (*IssuedKey, error) {
	t, err := r.findNotRemoved(name, version)
	if err != nil {
		return nil, err
	}
	if err := request.check(now); err != nil {
		return nil, err
	}
	scopes := request.Scopes
	if len(scopes) == 0 {
		scopes = []Scope{ScopeChat}
	}
	id := hex.EncodeToString(request.Random[:keyIDBytes])
	text := keyPrefix + id + "-" + hex.EncodeToString(request.Random[keyIDBytes:KeyRandomBytes])
	record := KeyRecord{
		ID:        id,
		MAC:       keyMAC(request.Secret, text),
		Label:     request.Label,
		Scopes:    scopes,
		CreatedAt: now,
		ExpiresAt: request.ExpiresAt,
		Limits:    request.Limits,
	}
	t.Keys = append(t.Keys, record)
	r.changed(t)
	return &IssuedKey{Text: text, Record: record, Tenant: t}, nil
}

func (k KeyRequest) check(now int64) error {
	for _, scope := range k.Scopes {
		if scope != ScopeChat && scope != ScopeAdmin {
			return invalid(CodeInvalidScope, "scopes",
				"there is no scope %q; there are %s and %s", scope, ScopeChat, ScopeAdmin)
		}
	}
	if k.ExpiresAt != 0 && k.ExpiresAt <= now {
		return invalid(CodeInvalidExpiry, "expires_s", "lies in the past")
	}
	if err := k.Limits.check("limits"); err != nil {
		return err
	}
	if len(k.Random) < KeyRandomBytes {
		return &ChangeError{http.StatusInternalServerError, CodeNoRandom, "", "too little randomness"}
	}
	return nil
}

// RevokeKey revokes a key at once, or at a later time so that it can overlap with a new one.
func (r *Registry) RevokeKey(now int64, name string, version uint64, id string, at int64) (*Tenant, error) {
	t, err := r.find(name, version)
	if err != nil {
		return nil, err
	}
	for i := range t.Keys {
		key := &t.Keys[i]
		if key.ID != id {
			continue
		}
		if at > now {
			key.ExpiresAt = at
		} else if key.RevokedAt == 0 {
			key.RevokedAt = now
		}
		r.changed(t)
		return t, nil
	}
	return nil, notFound(CodeNoKey, "the tenant has no key %q", id)
}

// keyMAC is an HMAC with the server's secret. Keys are random and long, so a slow hash would only make each
// request more expensive.
func keyMAC(secret []byte, key string) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(key))
	return hex.EncodeToString(mac.Sum(nil))
}

// Matches reports whether a text is this key and the key is valid now. It takes the same time for any wrong text.
func (k *KeyRecord) Matches(secret []byte, text string, now int64) bool {
	matches := hmac.Equal([]byte(k.MAC), []byte(keyMAC(secret, text)))
	expired := k.ExpiresAt != 0 && now >= k.ExpiresAt
	return matches && k.RevokedAt == 0 && !expired
}

// KeyID returns the id in the text of a key. ok is false if it does not have the form of a key.
func KeyID(text string) (id string, ok bool) {
	rest, ok := strings.CutPrefix(text, keyPrefix)
	if !ok {
		return "", false
	}
	id, _, ok = strings.Cut(rest, "-")
	return id, ok
}
