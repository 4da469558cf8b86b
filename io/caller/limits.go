package caller

import (
	"cmp"
	"time"

	"lynxfold/core/contract"
)

// Limits are this host's limits for requests of callers.
type Limits struct {
	// MaxHeaderBytes can be lowered at run time, but not raised above its initial
	// value, which is the size of the read buffers.
	MaxHeaderBytes int
	MaxBodyBytes   int
}

// SetLimits replaces the limits for new requests.
func (sv *Server) SetLimits(li Limits) { sv.hostLimits.Store(&li) }

// configLimits returns the limits of the configuration in force.
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

// headerLimitBytes and bodyLimitBytes return the lower of the host's limit and that
// of the configuration.
func (sv *Server) headerLimitBytes() int64 {
	return lowerLimit(int64(sv.hostLimits.Load().MaxHeaderBytes), sv.configLimits().MaxHeaderBytes)
}

func (sv *Server) bodyLimitBytes() int64 {
	return lowerLimit(int64(sv.hostLimits.Load().MaxBodyBytes), sv.configLimits().MaxBodyBytes)
}

// lowerLimit returns the lower of two limits. The second is ignored if it is not
// set.
func lowerLimit(limit, other int64) int64 {
	if other > 0 {
		return min(limit, other)
	}
	return limit
}
