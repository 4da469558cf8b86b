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
func (sv *Server) SetLimits(li Limits) { sv.hostLimits.Store(&li) }

// configLimits are those of the configuration in force.
func (sv *Server) configLimits() contract.Limits {
	if li := sv.cfg.View().Config.Document.Limits; li != nil {
		return *li
	}
	return contract.Limits{}
}

func (sv *Server) headerTimeout() time.Duration {
	return cmp.Or(sv.configLimits().HeaderTimeout(), defaultHeaderTimeout)
}

func (sv *Server) idleTimeout() time.Duration {
	return cmp.Or(sv.configLimits().IdleTimeout(), defaultIdleTimeout)
}

// maxHeaderBytes and bodyLimit are the lower of the settings' and the
// configuration's limits.
func (sv *Server) maxHeaderBytes() int64 {
	return lowerLimit(int64(sv.hostLimits.Load().MaxHeaderBytes), sv.configLimits().MaxHeaderBytes)
}

func (sv *Server) maxBodyBytes() int64 {
	return lowerLimit(int64(sv.hostLimits.Load().MaxBodyBytes), sv.configLimits().MaxBodyBytes)
}

// lowerLimit returns the lower of two limits, of which the second may be unset.
func lowerLimit(limit, other int64) int64 {
	if other > 0 {
		return min(limit, other)
	}
	return limit
}
