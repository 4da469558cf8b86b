package caller

import (
	"fmt"

	"github.com/rs/zerolog"
)

// httpLog takes the HTTP library's lines into the log.
type httpLog struct {
	log zerolog.Logger
}

// Printf logs one line of the library. It may quote a request, so it is only
// for debugging.
func (hl httpLog) Printf(format string, args ...any) {
	hl.log.Debug().Str("detail", fmt.Sprintf(format, args...)).Msg("http server")
}
