package upstream

import (
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"lynxfold/core/host"
)

// processCheckTimeout bounds the check whether the upstream's process still listens. The
// upstream runs on this host, so that only an overloaded one takes this long.
const processCheckTimeout = 200 * time.Millisecond

// processCheck is a check that several attempts wait for.
type processCheck struct {
	done  chan struct{}
	alive bool
}

// checkProcess reports whether the upstream's process is still there after a connection
// to it broke: the system refuses connections to the address of one that has ended. sentAt
// is when the request on the broken connection was sent.
func (ga *Gate) checkProcess(address string, sentAt time.Time) bool {
	ga.mu.Lock()
	pc, running := ga.processChecks[address]
	if !running {
		pc = &processCheck{done: make(chan struct{})}
		ga.processChecks[address] = pc
	}
	ga.mu.Unlock()
	if running {
		<-pc.done
		return pc.alive
	}
	nc, err := net.DialTimeout("tcp", address, processCheckTimeout)
	if err == nil {
		_ = nc.Close()
	}
	pc.alive = !isRefused(err)
	if !pc.alive {
		ga.markUpstreamLost(host.UpstreamLost{
			Refused: true,
			SentAt:  sentAt,
		})
	}
	ga.mu.Lock()
	delete(ga.processChecks, address)
	ga.mu.Unlock()
	close(pc.done)
	return pc.alive
}

// isRefused reports whether an error means that no process listens at an address.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// upstreamCrashed logs and counts a crash of the upstream, which reportCrash is to pass on;
// ga.mu is held.
func (ga *Gate) upstreamCrashed(ac host.UpstreamCrashed) {
	if ga.cfg.OnUpstreamCrashed != nil {
		ga.cfg.OnUpstreamCrashed()
	}
	ga.unreportedCrash = &ac
	suspects := zerolog.Arr()
	for _, fp := range ac.Suspects {
		suspects.Str(formatFingerprint(fp))
	}
	ga.cfg.Log.Error().
		Str("event", "upstream_crashed").
		Str("service", string(ga.core.Service())).
		Str("instance", string(ac.Instance)).
		Array("suspects", suspects).
		Msg("process of this host's upstream has ended while it was to serve calls")
}

// reportCrash passes a crash on that has not been passed on yet. ga.mu is not held, since
// this may wait for the control goroutine.
func (ga *Gate) reportCrash() {
	ga.mu.Lock()
	uc := ga.unreportedCrash
	ga.unreportedCrash = nil
	ga.mu.Unlock()
	if uc != nil {
		ga.cfg.Quarantine.RecordCrash(*uc)
	}
}

// formatFingerprint returns a fingerprint as it appears in logs.
func formatFingerprint(fp host.Fingerprint) string { return strconv.FormatUint(uint64(fp), 16) }
