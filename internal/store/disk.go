package store

// Disk gives a Store access to the files of one folder. Operations are executed in the order of the calls. Each done
// callback is called once, on the store's event loop and never within the call.
type Disk interface {
	// List returns the names of all files. It is used at the start and after a snapshot.
	List() ([]string, error)
	// Read returns the content of a file. It is used at the start only.
	Read(name string) ([]byte, error)
	// Truncate cuts a file to a size and syncs it. It is used at the start only.
	Truncate(name string, size int64) error
	// Append appends to a file, which it creates if necessary. If done gets no error, the data and the file's name are
	// durable.
	Append(name string, data []byte, done func(error))
	// Write creates or replaces a file atomically. The content comes from build, which must be safe to call
	// outside the event loop. If done gets no error, the file is durable.
	Write(name string, build func() []byte, done func(error))
	// Remove deletes a file.
	Remove(name string, done func(error))
}
