package node

import (
	"errors"
	"os"
	"time"
)

// SilenceEnd is how the silence of a call connection ended.
type SilenceEnd string

// Ends of silences.
const (
	// SilenceEndedByData: bytes arrived after all, so that the connection was only slow.
	SilenceEndedByData SilenceEnd = "data"
	// SilenceEndedByClose: the connection was closed or reset.
	SilenceEndedByClose SilenceEnd = "closed"
	// SilenceLasted: nothing arrived while the connection was observed.
	SilenceLasted SilenceEnd = "lasted"
)

// Silence reports a call connection on which nothing arrived for heartbeatTimeout while a
// call ran.
type Silence struct {
	// Address is that of the other node.
	Address  string
	Duration time.Duration
	End      SilenceEnd
}

// silenceObservationTime is how long a silent connection is observed.
const silenceObservationTime = 3 * time.Second

// reportSilence reports the end of a silence that began at a time.
func (cp *CallPool) reportSilence(address string, since time.Time, end SilenceEnd) {
	if cp.OnSilence == nil {
		return
	}
	cp.OnSilence(Silence{
		Address:  address,
		Duration: time.Since(since),
		End:      end,
	})
}

func silenceEnd(err error) SilenceEnd {
	switch {
	case err == nil:
		return SilenceEndedByData
	case errors.Is(err, os.ErrDeadlineExceeded):
		return SilenceLasted
	}
	return SilenceEndedByClose
}

// observeSilence releases a silent connection once the end of its silence is known. The
// gate learns at once that the connection is not used any more.
func (ex *exchange) observeSilence(since time.Time) {
	ex.stopCancel()
	if tc, ok := ex.conn.co.raw.(interface{ CloseWrite() error }); ok {
		_ = tc.CloseWrite()
	}
	go func() {
		_ = ex.conn.co.SetReadDeadline(since.Add(silenceObservationTime))
		_, err := ex.conn.co.Reader.Peek(1)
		ex.pool.reportSilence(ex.address, since, silenceEnd(err))
		ex.finish(false)
	}()
}
