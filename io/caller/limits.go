package caller

import (
	"cmp"
	"time"

	"lynxfold/core/contract"
)

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
	return lower(int64(sv.cfg.MaxHeaderBytes), sv.limits().MaxHeaderBytes)
}

func (sv *Server) bodyLimit() int64 {
	return lower(int64(sv.cfg.MaxBodyBytes), sv.limits().MaxBodyBytes)
}

// lower returns the lower of two limits, of which the second may be unset.
func lower(limit, other int64) int64 {
	if other > 0 {
		return min(limit, other)
	}
	return limit
}
