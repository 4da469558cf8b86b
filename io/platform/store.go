package platform

import "context"

// Store is the platform's table and object store, independent of their protocol.
// A failed write returns a ConflictError, an UnavailableError or an InDoubtError;
// a failed read returns a NotFoundError or an UnavailableError.
type Store interface {
	// Read reads one row.
	Read(ctx context.Context, key Key) (Row, error)
	// ReadIfChanged reads a row unless its ETag is still the known one.
	ReadIfChanged(ctx context.Context, key Key, known ETag) (ro Row, changed bool, err error)
	// List reads the rows whose keys have a prefix and sort after a key.
	List(ctx context.Context, prefix, after Key, limit int) ([]Row, error)
	// Transact applies all writes or none and returns the new ETags of the rows.
	Transact(ctx context.Context, writes []Write) ([]ETag, error)
	// PutObject stores an object; objects are never overwritten.
	PutObject(ctx context.Context, name ObjectName, data []byte) error
	// GetObject reads an object.
	GetObject(ctx context.Context, name ObjectName) ([]byte, error)
	// Close interrupts running requests and makes later ones fail.
	Close()
}
