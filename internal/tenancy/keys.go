package tenancy

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
)

// Scope is a purpose that a key may be used for.
type Scope string

// Scopes of a key.
const (
	ScopeChat  Scope = "chat"  // requests to dispatchers
	ScopeAdmin Scope = "admin" // the administration API, for the key's own tenant
)

// KeyRecord is the stored form of a key. It has the key's MAC instead of its text. Times are in seconds since 1970.
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

// The text of a key is sk-ID-SECRET, with the id and the secret in hexadecimal digits.
const (
	keyPrefix      = "sk-"
	keyIDBytes     = 6
	keySecretBytes = 24
	// KeyRandomBytes is the number of random bytes that a key is made from.
	KeyRandomBytes = keyIDBytes + keySecretBytes
)

// KeyRequest has the properties of a key to issue.
type KeyRequest struct {
	Label     string
	Scopes    []Scope // ScopeChat if empty
	ExpiresAt int64   // 0 = never
	Limits    Limits
	Secret    []byte // the server's secret, which the MAC is computed with
	Random    []byte // at least KeyRandomBytes
}

// IssuedKey is a newly issued key. Its text is not stored.
type IssuedKey struct {
	Text   string
	Record KeyRecord
	Tenant *Tenant
}

// IssueKey generates a key for a tenant and adds its record to the registry.
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
	r.recordChange(t)
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
		return &ChangeError{http.StatusInternalServerError, CodeNoRandom, "", "too few random bytes for a key"}
	}
	return nil
}

// RevokeKey revokes a key at once, or lets it expire at a time in the future so that it can overlap with its successor.
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
		r.recordChange(t)
		return t, nil
	}
	return nil, notFound(CodeNoKey, "the tenant has no key %q", id)
}

// keyMAC returns the HMAC of a key's text with the server's secret. Keys are long and random, so a slow hash would add
// no protection and would make each request more expensive.
func keyMAC(secret []byte, key string) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(key))
	return hex.EncodeToString(mac.Sum(nil))
}

// Matches reports whether a text is this key and the key is valid now. It compares MACs in constant time, so that its
// duration does not reveal how close a wrong text is.
func (k *KeyRecord) Matches(secret []byte, text string, now int64) bool {
	matches := hmac.Equal([]byte(k.MAC), []byte(keyMAC(secret, text)))
	expired := k.ExpiresAt != 0 && now >= k.ExpiresAt
	return matches && k.RevokedAt == 0 && !expired
}

// KeyID returns the id in the text of a key. ok is false if the text does not have the form of a key.
func KeyID(text string) (id string, ok bool) {
	rest, ok := strings.CutPrefix(text, keyPrefix)
	if !ok {
		return "", false
	}
	id, _, ok = strings.Cut(rest, "-")
	return id, ok
}
