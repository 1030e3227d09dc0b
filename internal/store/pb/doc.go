// Package pb holds the generated messages of the store's log (proto/store.proto).
package pb
