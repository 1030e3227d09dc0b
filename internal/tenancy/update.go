package tenancy

// Update is one message to the followers of a registry: all of it, or what has changed since a version.
type Update struct {
	Epoch       string    `json:"epoch"`
	Version     uint64    `json:"version"`
	Since       uint64    `json:"since,omitempty"` // the version that the follower must have, unless it is complete
	Complete    bool      `json:"whole,omitempty"`
	Tenants     []*Tenant `json:"tenants"`
	PublicTexts []string  `json:"public_texts"`
}

// UpdateSince returns what a follower with a version has missed, or a complete update if that version is not known.
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
