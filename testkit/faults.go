package testkit

import (
	"time"

	"gotest.tools/v3/assert"

	upstreamstandin "lynxfold/io/upstream/standin"
)

// Speak ends a Silence. Connections that were silent stay lost, as bytes of
// theirs are missing.
func (ho *Host) Speak() {
	ho.restartWithout("silent-upstream", "silent-downstream")
}

// restartWithout restarts the host's proxy without some of its toxics.
func (ho *Host) restartWithout(toxics ...string) {
	ho.Proxy.Stop()
	for _, name := range toxics {
		assert.NilError(ho.mesh.T, ho.Proxy.Toxics.RemoveToxic(ho.mesh.T.Context(), name))
	}
	assert.NilError(ho.mesh.T, ho.Proxy.Start())
}

// Flicker cuts all connections through the host's proxy once.
func (ho *Host) Flicker() {
	ho.Cut()
	ho.Mend()
}

// KillUpstream ends the host's upstream at once.
func (ho *Host) KillUpstream() {
	ho.Upstream.Kill()
	ho.former = append(ho.former, ho.Upstream)
}

// StartUpstream starts the host's upstream again after KillUpstream.
func (ho *Host) StartUpstream() { ho.startUpstream() }

// Runs returns what all upstreams of the mesh ran, by the call's id.
func (me *Mesh) Runs() map[string][]upstreamstandin.Run {
	runs := map[string][]upstreamstandin.Run{}
	for _, ho := range me.Hosts {
		for _, sv := range append(ho.former, ho.Upstream) {
			if sv == nil {
				continue
			}
			for _, ru := range sv.Ledger() {
				runs[ru.Call] = append(runs[ru.Call], ru)
			}
		}
	}
	return runs
}

// SilenceOneWay makes the host's proxy swallow everything in one direction,
// "upstream" being the one to the host, until the returned function is called.
func (ho *Host) SilenceOneWay(direction string) (end func()) {
	name := "silent-" + direction
	addToxic(ho.mesh.T, ho.Proxy, name, "timeout", direction, map[string]int64{"timeout": 0})
	return func() { ho.restartWithout(name) }
}

// Delay makes everything take longer to the host, until the returned function is called.
func (ho *Host) Delay(by time.Duration) (end func()) {
	addToxic(ho.mesh.T, ho.Proxy, "delay", "latency", "upstream", map[string]int64{"latency": by.Milliseconds()})
	return func() {
		assert.NilError(ho.mesh.T, ho.Proxy.Toxics.RemoveToxic(ho.mesh.T.Context(), "delay"))
	}
}
