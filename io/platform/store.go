package platform

import "context"

// Store is the platform's table and its objects, whatever protocol they speak.
// Every failure of a write is a ConflictError, an UnavailableError or an
// InDoubtError; every failure of a read a NotFoundError or an UnavailableError.
type Store interface {
	// Read reads one row.
	Read(ctx context.Context, key Key) (Row, error)
	// ReadIfChanged reads a row unless it is still in the given state.
	ReadIfChanged(ctx context.Context, key Key, known ETag) (ro Row, changed bool, err error)
	// List reads rows whose key starts with a prefix and sorts after a key.
	List(ctx context.Context, prefix, after Key, limit int) ([]Row, error)
	// Transact makes all writes or none and returns the new states of the rows.
	Transact(ctx context.Context, writes []Write) ([]ETag, error)
	// PutObject stores an object once.
	PutObject(ctx context.Context, name ObjectName, data []byte) error
	// GetObject reads an object.
	GetObject(ctx context.Context, name ObjectName) ([]byte, error)
	// Close interrupts the requests that run and refuses later ones.
	Close()
}
