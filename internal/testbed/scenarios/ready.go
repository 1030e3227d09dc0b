package scenarios

import (
	"encoding/json"
	"fmt"
	"os"
)

// Ready is the content of the ready file that a command writes once it serves.
type Ready struct {
	API string `json:"api"`
	Key string `json:"key,omitempty"`

	Admin    string `json:"admin,omitempty"`
	AdminKey string `json:"admin_key,omitempty"`
}

// WriteReady writes a ready file atomically, so that no reader sees a part of it. With an empty path it does nothing.
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
