package platform

import "context"

// Store is the platform's table and object store, independent of their protocol.
// A failed write returns a ConflictError, an UnavailableError or an InDoubtError;
// a failed read returns a NotFoundError or an UnavailableError.
type Store interface {
	// Read reads one row.
	Read(ctx context.Context, key Key) (Row, error)
	// ReadIfChanged reads a row; changed is false if its ETag is still the known one.
	ReadIfChanged(ctx context.Context, key Key, known ETag) (ro Row, changed bool, err error)
	// List reads the first rows, in the order of their keys, whose keys begin with prefix
	// and sort after the key after.
	List(ctx context.Context, prefix, after Key, limit int) ([]Row, error)
	// Transact applies all writes or none and returns the new ETags of the rows.
	Transact(ctx context.Context, writes []Write) ([]ETag, error)
	// PutObject stores an object; it never overwrites an existing one.
	PutObject(ctx context.Context, name ObjectName, data []byte) error
	// GetObject reads an object.
	GetObject(ctx context.Context, name ObjectName) ([]byte, error)
	// Close interrupts running requests and makes later ones fail.
	Close()
}
