package upstream

import (
	"bytes"
	"strconv"
	"time"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// slowdownField is the index of the slowdown among the numbers of a load header.
const slowdownField = 3

// ParseSlowdown returns the slowdown in the value of a load header, 0 if there is none that
// can be used.
func ParseSlowdown(load []byte) host.Slowdown {
	fields := bytes.Split(load, []byte(","))
	if len(fields) <= slowdownField {
		return 0
	}
	value, err := strconv.Atoi(string(bytes.TrimSpace(fields[slowdownField])))
	if err != nil {
		return 0
	}
	return host.Slowdown(value).Bounded()
}

// loadToWire returns the message for a load. It leaves out what the receiver knows without
// it: the slots that the upstream announces, and the usual slowdown.
func loadToWire(lo host.Load, an host.Announcement) *wire.GateLoad {
	gl := &wire.GateLoad{
		Running:   uint32(max(0, lo.Running)),
		Queued:    uint32(lo.Queued),
		WaitUs:    roundTime(lo.Wait).Microseconds(),
		ServiceUs: roundTime(lo.ServiceTime).Microseconds(),
	}
	if lo.Slots != an.Slots {
		gl.Slots = uint32(max(0, lo.Slots))
	}
	if lo.Slowdown != host.UsualSlowdown {
		gl.SlowdownPercent = uint32(lo.Slowdown)
	}
	return gl
}

// roundTime rounds a time of more than a millisecond to milliseconds, which an estimate
// does not exceed in accuracy.
func roundTime(ti time.Duration) time.Duration {
	if ti > time.Millisecond {
		return ti.Round(time.Millisecond)
	}
	return ti
}

// LoadFromWire returns the load in a reply of an upstream, and whether there is one.
func LoadFromWire(gl *wire.GateLoad, slots host.Slots) (host.Load, bool) {
	if gl == nil {
		return host.Load{}, false
	}
	lo := host.Load{
		Running:     int(gl.GetRunning()),
		Queued:      int(gl.GetQueued()),
		Slots:       slots,
		Wait:        time.Duration(gl.GetWaitUs()) * time.Microsecond,
		Slowdown:    host.Slowdown(gl.GetSlowdownPercent()).Bounded(),
		ServiceTime: time.Duration(gl.GetServiceUs()) * time.Microsecond,
	}
	if gl.GetSlots() > 0 {
		lo.Slots = host.Slots(gl.GetSlots())
	}
	return lo, true
}
