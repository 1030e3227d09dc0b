package scenarios

import (
	"encoding/json"
	"fmt"
	"os"
)

// Ready is what a command writes to its ready file once it serves.
type Ready struct {
	API string `json:"api"`
	Key string `json:"key,omitempty"`

	Admin    string `json:"admin,omitempty"`
	AdminKey string `json:"admin_key,omitempty"`
}

// WriteReady writes a ready file atomically, so that no reader sees half of it; an empty path writes none.
func WriteReady(path string, ready Ready) error {
	if path == "" {
		return nil
	}
	content, err := json.Marshal(ready)
	if err != nil {
		return fmt.Errorf("ready file: %w", err)
	}
	part := path + ".part"
	if err := os.WriteFile(part, append(content, '\n'), 0o600); err != nil {
		return fmt.Errorf("ready file: %w", err)
	}
	return os.Rename(part, path)
}
