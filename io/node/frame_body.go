package node

import (
	"io"
	"sync"

	"lynxfold/core/wire"
)

// frameBody is a request body that arrives in frames.
type frameBody struct {
	// demand asks the sender for the body; it is called before the first Read.
	demand func()
	asked  sync.Once
	pieces chan *wire.Body
	closed chan struct{}
	once   sync.Once
	piece  []byte
	whole  bool
	failed bool
}

func newFrameBody(demand func()) *frameBody {
	return &frameBody{
		demand: demand,
		pieces: make(chan *wire.Body, pieceQueue),
		closed: make(chan struct{}),
	}
}

// push passes a piece on; it waits for the reader, and drops what nobody wants.
func (fb *frameBody) push(bo *wire.Body) {
	select {
	case fb.pieces <- bo:
	case <-fb.closed:
	}
}

// Read reads on; only a body that is complete ends with io.EOF.
func (fb *frameBody) Read(buf []byte) (int, error) {
	fb.asked.Do(fb.demand)
	for len(fb.piece) == 0 {
		if fb.whole {
			return 0, io.EOF
		}
		if fb.failed {
			return 0, &TruncatedError{}
		}
		select {
		case bo := <-fb.pieces:
			fb.piece = bo.GetData()
			fb.whole = bo.GetLast()
			fb.failed = bo.GetAborted()
		case <-fb.closed:
			return 0, &TruncatedError{}
		}
	}
	n := copy(buf, fb.piece)
	fb.piece = fb.piece[n:]
	return n, nil
}

// Close ends a Read that waits; what still arrives is dropped.
func (fb *frameBody) Close() error {
	fb.once.Do(func() { close(fb.closed) })
	return nil
}
