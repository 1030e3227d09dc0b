// Package pb holds the generated messages of the store's log and snapshots (proto/store.proto).
package pb
