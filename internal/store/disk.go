package store

// Disk gives a Store access to the files of one folder. It executes operations in the order of the calls. It calls each
// done callback exactly once, on the store's event loop, and never before the method that received it has returned.
type Disk interface {
	// List returns the names of all files. The store calls it in Open and after each snapshot.
	List() ([]string, error)
	// Read returns the content of a file. The store calls it only in Open.
	Read(name string) ([]byte, error)
	// Truncate shortens a file to size bytes and syncs it. The store calls it only in Open.
	Truncate(name string, size int64) error
	// Append appends data to a file, which it creates if necessary. If done receives nil, the data and the file's name
	// are durable.
	Append(name string, data []byte, done func(error))
	// Write creates or replaces a file atomically. The content comes from build, which must be safe to call outside the
	// event loop. If done receives nil, the file is durable.
	Write(name string, build func() []byte, done func(error))
	// Remove deletes a file.
	Remove(name string, done func(error))
}
