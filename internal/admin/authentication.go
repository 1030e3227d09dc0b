package admin

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"plumspindle/internal/tenancy"
)

// Role determines what a caller may do.
type Role string

// Roles of callers.
const (
	Operator    Role = "operator" // may read and change everything
	Viewer      Role = "viewer"   // may read everything
	TenantAdmin Role = "tenant"   // may read one tenant and change its keys
)

// StaffMember is a person with the role of an operator or a viewer.
type StaffMember struct {
	Name   string
	Role   Role
	Digest [sha256.Size]byte // SHA-256 of the person's key
}

// ParseStaff parses a list of operators and viewers. Each line has a role, a name and the SHA-256 of a key in
// hexadecimal digits. Empty lines and lines that begin with # are skipped. An error contains the number of the invalid
// line.
func ParseStaff(text string) (all []StaffMember, err error) {
	for i, line := range strings.Split(text, "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 3 || Role(fields[0]) != Operator && Role(fields[0]) != Viewer {
			return nil, fmt.Errorf("line %d: want a role (operator or viewer), a name and a digest", i+1)
		}
		digest, err := hex.DecodeString(fields[2])
		if err != nil || len(digest) != sha256.Size {
			return nil, fmt.Errorf("line %d: the digest must be 64 hexadecimal digits", i+1)
		}
		all = append(all, StaffMember{Name: fields[1], Role: Role(fields[0]), Digest: [sha256.Size]byte(digest)})
	}
	if len(all) == 0 {
		return nil, errors.New("no operator or viewer is listed")
	}
	return all, nil
}

const minSecretBytes = 32

// ReadSecret reads the secret from a file. It rejects a file that users other than its owner have access to.
func ReadSecret(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("secret: %w", err)
	}
	if mode := info.Mode().Perm(); mode&0o077 != 0 {
		return nil, fmt.Errorf("secret: other users have access to %s (mode %o); it must have mode 600", path, mode)
	}
	secret, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("secret: %w", err)
	}
	secret = bytes.TrimSpace(secret)
	if len(secret) < minSecretBytes {
		return nil, fmt.Errorf("secret: %s has %d bytes; it needs at least %d", path, len(secret), minSecretBytes)
	}
	return secret, nil
}

// caller is an authenticated caller of the API.
type caller struct {
	name   string
	role   Role
	tenant string // name of a TenantAdmin's tenant
}

func (s *Server) isDispatcher(token string) bool {
	return subtle.ConstantTimeCompare([]byte(token), []byte(s.dispatcherToken)) == 1
}

// identify returns the caller that a token belongs to. It always compares the digests of all operators and viewers, so
// that its duration reveals nothing about them.
func (s *Server) identify(token string) (identified caller, known bool) {
	digest := sha256.Sum256([]byte(token))
	for _, member := range s.staff {
		if subtle.ConstantTimeCompare(digest[:], member.Digest[:]) == 1 {
			identified, known = caller{name: member.Name, role: member.Role}, true
		}
	}
	if known {
		return identified, true
	}
	return s.identifyTenantAdmin(token)
}

// setRegistry sets the registry, and indexes its tenants by the ids of their keys. Without the index, each call with an
// unknown key would search all tenants.
func (s *Server) setRegistry(registry *tenancy.Registry) {
	s.registry, s.tenantsByKeyID = registry, map[string][]*tenancy.Tenant{}
	for _, name := range registry.Names() {
		t := registry.Tenants[name]
		for _, key := range t.Keys {
			s.tenantsByKeyID[key.ID] = append(s.tenantsByKeyID[key.ID], t)
		}
	}
}

func (s *Server) identifyTenantAdmin(token string) (identified caller, known bool) {
	id, ok := tenancy.KeyID(token)
	if !ok {
		return caller{}, false
	}
	for _, t := range s.tenantsByKeyID[id] {
		if t.State != tenancy.StateActive {
			continue
		}
		for _, key := range t.Keys {
			mayAdminister := key.ID == id && slices.Contains(key.Scopes, tenancy.ScopeAdmin)
			if mayAdminister && key.Matches(s.secret, token, s.now()) {
				return caller{name: "key " + id, role: TenantAdmin, tenant: t.Name}, true
			}
		}
	}
	return caller{}, false
}
