package testkit

import (
	"bufio"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"gotest.tools/v3/assert"
)

// watchInterval is the interval between polls of all hosts.
const watchInterval = 100 * time.Millisecond

// WatchVersions polls every host's version in force until check is called. check
// fails the test if a host's version ever decreased, in its status or in its log,
// also across restarts.
func (me *Mesh) WatchVersions() (check func()) {
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var regressions []string
	wg.Go(func() {
		highest := map[string]uint64{}
		for {
			for _, id := range me.hostIDs {
				st := me.Status(id)
				if st == nil || st.Version == 0 {
					continue
				}
				if version := uint64(st.Version); version < highest[id] {
					regressions = append(regressions, id+" reported version "+strconv.FormatUint(version, 10))
				} else {
					highest[id] = version
				}
			}
			select {
			case <-stop:
				return
			case <-time.After(watchInterval):
			}
		}
	})
	return func() {
		me.T.Helper()
		close(stop)
		wg.Wait()
		for _, id := range me.hostIDs {
			regressions = append(regressions, me.Hosts[id].versionRegressions()...)
		}
		assert.Equal(me.T, len(regressions), 0, "versions decreased: %v", regressions)
	}
}

// versionRegressions lists the versions that the host logged as in force after a
// higher one.
func (ho *Host) versionRegressions() []string {
	var regressions []string
	highest := uint64(0)
	sc := bufio.NewScanner(strings.NewReader(ho.Log()))
	for sc.Scan() {
		var line struct {
			Reason  string `json:"reason"`
			Version uint64 `json:"config_version"`
		}
		if json.Unmarshal(sc.Bytes(), &line) != nil || line.Reason != "version_in_force" {
			continue
		}
		if line.Version < highest {
			regressions = append(regressions, ho.Spec.ID+" logged version "+strconv.FormatUint(line.Version, 10))
		}
		highest = max(highest, line.Version)
	}
	return regressions
}

// Partition disconnects all data centres from each other, and one of them from
// the platform too, until HealPartition is called.
func (me *Mesh) Partition(dataCentre string) {
	for _, ho := range me.Hosts {
		ho.StopProxy()
	}
	me.PlatformProxies[dataCentre].Stop()
}

// HealPartition ends a Partition.
func (me *Mesh) HealPartition(dataCentre string) {
	for _, ho := range me.Hosts {
		ho.StartProxy()
	}
	assert.NilError(me.T, me.PlatformProxies[dataCentre].Start())
}
