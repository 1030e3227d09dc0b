package admin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"plumspindle/internal/store"
	"plumspindle/internal/tenancy"
)

// auditEntry is an entry of the audit log. The order of its members is that of the entries of earlier versions.
type auditEntry struct {
	At      int64  `json:"at_s"`
	Path    string `json:"path"`
	Role    Role   `json:"role"`
	Version uint64 `json:"version"` // of the registry after the change
	Action  string `json:"what"`
	Caller  string `json:"who"`
}

// change makes the change that a request asks for. It applies the change to a copy of the registry, saves the changed
// records together with an entry of the audit log, and replaces the registry by the copy only then. A dry run, or a
// request that changes nothing, saves nothing.
func (s *Server) change(
	r *request, action string, apply func(*tenancy.Registry) (response, error),
) response {
	next := s.registry.Clone()
	result, err := apply(next)
	if err != nil {
		return responseForError(err)
	}
	if r.dryRun() || next.Version == s.registry.Version {
		return result
	}
	entry := auditEntry{
		At:      s.now(),
		Path:    strings.Join(r.path, "/"),
		Role:    r.caller.role,
		Version: next.Version,
		Action:  action,
		Caller:  r.caller.name,
	}
	ops := changedRecords(s.registry, next)
	ops = append(ops, store.Op{Key: auditRecordKey(s.auditEntries), Value: encode(entry)})
	ops = append(ops, r.extraOps...)
	if err := s.records.Save(ops); err != nil {
		s.log.Error().Err(err).Str("tenant", r.tenant).Str("change", action).Msg("change not saved")
		return notSaved("the change could not be kept and was not made")
	}
	s.auditEntries++
	s.replaceRegistry(next)
	return result
}

// notSaved returns the answer to a request whose records could not be saved.
func notSaved(message string) response {
	return errorResponse(http.StatusInternalServerError, "not_kept", "", message)
}

// replaceRegistry replaces the registry by a changed copy, and sends the changes to the followers.
func (s *Server) replaceRegistry(next *tenancy.Registry) {
	before := s.registry
	s.setRegistry(next)
	s.notifyFollowers(before)
}

// completeRemovals completes the removal of each tenant that has no running requests at any live dispatcher.
func (s *Server) completeRemovals() {
	for _, name := range s.registry.Names() {
		removing := s.registry.Tenants[name].State == tenancy.StateRemoving
		if !removing || !s.ledger.RemovedEverywhere(s.loop.Now(), name) {
			continue
		}
		next := s.registry.Clone()
		next.CompleteRemoval(s.now(), name)
		ops := changedRecords(s.registry, next)
		// A later tenant of the same name must not get the answers that belong to these Idempotency-Keys.
		prefix := idempotencyRecordKey(name, "")
		s.records.ScanFrom(prefix, prefix, func(key string, _ []byte) bool {
			ops = append(ops, store.Op{Key: key})
			return true
		})
		if err := s.records.Save(ops); err != nil {
			s.log.Error().Err(err).Str("tenant", name).Msg("completed removal not saved")
			return
		}
		s.replaceRegistry(next)
		s.ledger.ForgetRemoval(name)
	}
}

// auditPage is the answer to a request for a page of the audit log.
type auditPage struct {
	Changes   []json.RawMessage `json:"changes"`
	NextAfter uint64            `json:"next_after"` // 0 on the last page
}

func (s *Server) getAuditLog(r *request) response {
	first, _ := strconv.ParseUint(r.query["after"], 10, 64) // 0 if after is not a number: begin with the first entry
	size := r.pageSize()
	page := auditPage{Changes: []json.RawMessage{}}
	s.records.ScanFrom(auditRecordKey(first), auditPrefix, func(_ string, entry []byte) bool {
		page.Changes = append(page.Changes, entry)
		return len(page.Changes) < size
	})
	if end := first + uint64(len(page.Changes)); end < s.auditEntries {
		page.NextAfter = end
	}
	return okResponse(page)
}
