package testkit

import (
	"time"

	"gotest.tools/v3/assert"

	upstreamstandin "lynxfold/io/upstream/standin"
)

// EndBlackhole ends a Blackhole. It closes the affected connections, as part of
// their data is missing.
func (ho *Host) EndBlackhole() {
	ho.restartProxyWithout("silent-upstream", "silent-downstream")
}

// restartProxyWithout removes toxics from the host's proxy and restarts it.
func (ho *Host) restartProxyWithout(toxics ...string) {
	ho.Proxy.Stop()
	for _, name := range toxics {
		assert.NilError(ho.mesh.T, ho.Proxy.Toxics.RemoveToxic(ho.mesh.T.Context(), name))
	}
	assert.NilError(ho.mesh.T, ho.Proxy.Start())
}

// RestartProxy restarts the host's proxy, which closes all connections through it.
func (ho *Host) RestartProxy() {
	ho.StopProxy()
	ho.StartProxy()
}

// KillUpstream stops the host's upstream without draining it.
func (ho *Host) KillUpstream() {
	ho.Upstream.Kill()
	ho.stoppedUpstreams = append(ho.stoppedUpstreams, ho.Upstream)
}

// StartUpstream starts a new upstream on the host after KillUpstream.
func (ho *Host) StartUpstream() { ho.startUpstream() }

// Runs returns the runs in the ledgers of all upstreams of the mesh, by call id.
func (me *Mesh) Runs() map[string][]upstreamstandin.Run {
	runs := map[string][]upstreamstandin.Run{}
	for _, sv := range me.upstreams() {
		for _, ru := range sv.Ledger() {
			runs[ru.Call] = append(runs[ru.Call], ru)
		}
	}
	return runs
}

// upstreams returns all upstreams that the mesh has had.
func (me *Mesh) upstreams() []*upstreamstandin.Server {
	var all []*upstreamstandin.Server
	for _, ho := range me.Hosts {
		for _, sv := range append(ho.stoppedUpstreams, ho.Upstream) {
			if sv != nil {
				all = append(all, sv)
			}
		}
	}
	return all
}

// BlackholeDirection makes the host's proxy drop all data in one direction until
// end is called. Direction "upstream" is towards the host, "downstream" away from it.
func (ho *Host) BlackholeDirection(direction string) (end func()) {
	name := "silent-" + direction
	addToxic(ho.mesh.T, ho.Proxy, name, "timeout", direction, map[string]int64{"timeout": 0})
	return func() { ho.restartProxyWithout(name) }
}

// AddLatency delays all data sent to the host until end is called.
func (ho *Host) AddLatency(delay time.Duration) (end func()) {
	addToxic(ho.mesh.T, ho.Proxy, "delay", "latency", "upstream", map[string]int64{"latency": delay.Milliseconds()})
	return func() {
		assert.NilError(ho.mesh.T, ho.Proxy.Toxics.RemoveToxic(ho.mesh.T.Context(), "delay"))
	}
}

// AddResponseLatency delays all data sent from the host on the connections that others have
// opened to it.
func (ho *Host) AddResponseLatency(delay time.Duration) {
	addToxic(ho.mesh.T, ho.Proxy, "delay-downstream", "latency", "downstream", map[string]int64{"latency": delay.Milliseconds()})
}

// LimitPlatformBandwidth limits each connection from the platform to the hosts to a rate
// in kilobytes a second.
func (me *Mesh) LimitPlatformBandwidth(kilobytesPerSecond int64) {
	for _, px := range me.PlatformProxies {
		addToxic(me.T, px, "narrow", "bandwidth", "downstream", map[string]int64{"rate": kilobytesPerSecond})
	}
}

// PlatformBandwidthUnlimited ends LimitPlatformBandwidth.
func (me *Mesh) PlatformBandwidthUnlimited() {
	for _, px := range me.PlatformProxies {
		assert.NilError(me.T, px.Toxics.RemoveToxic(me.T.Context(), "narrow"))
	}
}
