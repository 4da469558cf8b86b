package call_test

import (
	"fmt"
	"time"

	"lynxfold/core/datacentre"
	"lynxfold/core/host"
)

// balanceUpstream is an upstream with its gate.
type balanceUpstream struct {
	index    int
	gate     *host.Gate
	speed    float64
	running  int
	slowFrom []time.Time
	wakeAt   time.Time
}

func (bm *balanceModel) addUpstream(i int) {
	up := datacentre.Upstream{
		Host:        host.ID(fmt.Sprint("up-", i)),
		DataCentre:  dataCentreName(i % balanceDataCentres),
		Incarnation: 1,
		Service:     service,
		Slots:       bm.cfg.slots,
	}
	bu := &balanceUpstream{
		index: i,
		speed: 0.5 + bm.rnd.Float64(),
		gate:  host.NewGate(host.Config{Incarnation: 1, QueuePerSlot: 2, DefaultRetryAfter: time.Second}),
	}
	if bm.cfg.alike {
		bu.speed = 1
	} else {
		gap := balanceSlowTime.Seconds() * (1 - balanceSlowShare) / balanceSlowShare
		for at := 0.0; at < bm.cfg.length.Seconds()+10; at += balanceSlowTime.Seconds() {
			at += bm.rnd.ExpFloat64() * gap
			bu.slowFrom = append(bu.slowFrom, bm.start.Add(time.Duration(at*float64(time.Second))))
		}
	}
	bu.gate.Step(host.Announced{
		Announcement: host.Announcement{Service: service, Slots: bm.cfg.slots},
		ExpiresAt:    bm.start.Add(time.Hour),
	}, bm.now)
	bm.all = append(bm.all, up)
	bm.upstreams = append(bm.upstreams, bu)
	bm.byHost[up.Host] = bu
}

// slowdown returns the factor by which an upstream is slowed down.
func (bu *balanceUpstream) slowdown(at time.Time) float64 {
	for _, from := range bu.slowFrom {
		if from.After(at) {
			break
		}
		if at.Sub(from) < balanceSlowTime {
			return balanceSlowFactor
		}
	}
	return 1
}

// runTime returns how long an upstream needs for work that it begins at a time.
func (bu *balanceUpstream) runTime(work time.Duration, at time.Time) time.Duration {
	left := work.Seconds() / bu.speed
	took := 0.0
	for _, from := range bu.slowFrom {
		begin, end := from.Sub(at).Seconds(), from.Add(balanceSlowTime).Sub(at).Seconds()
		if end <= took {
			continue
		}
		if begin > took {
			if left <= begin-took {
				break
			}
			left -= begin - took
			took = begin
		}
		if done := (end - took) / balanceSlowFactor; left > done {
			left -= done
			took = end
			continue
		}
		return time.Duration((took + left*balanceSlowFactor) * float64(time.Second))
	}
	return time.Duration((took + left) * float64(time.Second))
}

// capacity returns the calls that all upstreams can run in a second.
func (bm *balanceModel) capacity() float64 {
	sum := 0.0
	for _, bu := range bm.upstreams {
		sum += bu.speed * float64(bm.cfg.slots)
	}
	if !bm.cfg.alike {
		sum *= 1 - balanceSlowShare*(1-1/balanceSlowFactor)
	}
	return sum / balanceMeanRun.Seconds()
}
