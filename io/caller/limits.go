package caller

import (
	"cmp"
	"time"

	"lynxfold/core/contract"
)

// Limits are a host's own limits of what callers may send.
type Limits struct {
	// MaxHeaderBytes can be lowered, but not raised above what the server began with.
	MaxHeaderBytes int
	MaxBodyBytes   int
}

// SetLimits replaces the host's own limits for requests that come from now on.
func (sv *Server) SetLimits(li Limits) { sv.settings.Store(&li) }

// limits are those of the configuration in force.
func (sv *Server) limits() contract.Limits {
	if li := sv.cfg.View().Config.Document.Limits; li != nil {
		return *li
	}
	return contract.Limits{}
}

func (sv *Server) headerTimeout() time.Duration {
	return cmp.Or(sv.limits().HeaderTimeout(), headerTimeout)
}

func (sv *Server) idleTimeout() time.Duration {
	return cmp.Or(sv.limits().IdleTimeout(), idleTimeout)
}

// headerLimit and bodyLimit are the lower of the settings' and the
// configuration's limits.
func (sv *Server) headerLimit() int64 {
	return lower(int64(sv.settings.Load().MaxHeaderBytes), sv.limits().MaxHeaderBytes)
}

func (sv *Server) bodyLimit() int64 {
	return lower(int64(sv.settings.Load().MaxBodyBytes), sv.limits().MaxBodyBytes)
}

// lower returns the lower of two limits, of which the second may be unset.
func lower(limit, other int64) int64 {
	if other > 0 {
		return min(limit, other)
	}
	return limit
}
