package tenancy

// Update is a message to the followers of a registry. It has either all current tenants or those that have changed
// since a version.
type Update struct {
	Epoch       string    `json:"epoch"`
	Version     uint64    `json:"version"`
	Since       uint64    `json:"since,omitempty"` // version that the follower must have, unless the update is complete
	Complete    bool      `json:"whole,omitempty"`
	Tenants     []*Tenant `json:"tenants"`
	PublicTexts []string  `json:"public_texts"`
}

// UpdateSince returns the changes since a follower's version. If the registry can't determine the changes, it returns a
// complete update. This is the case for version 0, for a version later than the registry's, and for another epoch.
func (r *Registry) UpdateSince(epoch string, version uint64) Update {
	update := Update{
		Epoch:       r.Epoch,
		Version:     r.Version,
		Since:       version,
		Complete:    epoch != r.Epoch || version == 0 || version > r.Version,
		PublicTexts: r.PublicTexts,
	}
	for _, name := range r.Names() {
		t := r.Tenants[name]
		include := r.ChangedIn[name] > version
		if update.Complete {
			include = t.State != StateRemoved
		}
		if include {
			update.Tenants = append(update.Tenants, t)
		}
	}
	return update
}
