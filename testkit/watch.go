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

// watchEvery is the time between two looks at all hosts.
const watchEvery = 100 * time.Millisecond

// WatchVersions looks at every host's version in force until the returned
// function is called, which fails the test when a version went back: in what
// the hosts answered, or in what they logged, across restarts.
func (me *Mesh) WatchVersions() (check func()) {
	var done sync.WaitGroup
	stop := make(chan struct{})
	var backs []string
	done.Go(func() {
		highest := map[string]uint64{}
		for {
			for _, id := range me.order {
				st := me.Status(id)
				if st == nil || st.Version == 0 {
					continue
				}
				if version := uint64(st.Version); version < highest[id] {
					backs = append(backs, id+" answered "+strconv.FormatUint(version, 10))
				} else {
					highest[id] = version
				}
			}
			select {
			case <-stop:
				return
			case <-time.After(watchEvery):
			}
		}
	})
	return func() {
		me.T.Helper()
		close(stop)
		done.Wait()
		for _, id := range me.order {
			backs = append(backs, me.Hosts[id].wentBack()...)
		}
		assert.Equal(me.T, len(backs), 0, "versions went back: %v", backs)
	}
}

// wentBack lists the versions that the host logged as in force below an earlier one.
func (ho *Host) wentBack() []string {
	var backs []string
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
			backs = append(backs, ho.Spec.ID+" logged "+strconv.FormatUint(line.Version, 10))
		}
		highest = max(highest, line.Version)
	}
	return backs
}

// Isolate cuts all data centres off from each other, and one of them from the
// platform too; Rejoin ends it.
func (me *Mesh) Isolate(dataCentre string) {
	for _, ho := range me.Hosts {
		ho.Cut()
	}
	me.PlatformProxies[dataCentre].Stop()
}

// Rejoin ends an Isolate.
func (me *Mesh) Rejoin(dataCentre string) {
	for _, ho := range me.Hosts {
		ho.Mend()
	}
	assert.NilError(me.T, me.PlatformProxies[dataCentre].Start())
}
