package testkit

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/log"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"lynxfold/io/operator"
	platformstandin "lynxfold/io/platform/standin"
	upstreamstandin "lynxfold/io/upstream/standin"
)

// HostSpec describes one host of a test mesh.
type HostSpec struct {
	ID         string
	DataCentre string
	// Upstream configures the host's upstream; none is started if its service is empty.
	Upstream upstreamstandin.Config
	// WithoutContacts leaves the host's list of bootstrap contacts empty.
	WithoutContacts bool
	// Settings are lines appended to this host's settings file.
	Settings string
}

// MeshConfig describes a test mesh whose nodes are separate processes.
type MeshConfig struct {
	Hosts []HostSpec
	// Proxied puts a proxy in front of every node's link listener, which also
	// carries forwarded calls.
	Proxied bool
	// ProxiedRemote is like Proxied, but connections within a data centre bypass the
	// proxies.
	ProxiedRemote bool
	// ProxiedPlatform puts one proxy per data centre in front of the platform.
	ProxiedPlatform bool
	// Settings are lines appended to every node's settings file.
	Settings string
}

// Mesh is a running test mesh. The platform and the upstreams run in this
// process, each node in a process of its own.
type Mesh struct {
	T           testing.TB
	Platform    *platformstandin.Server
	PlatformURL string
	Hosts       map[string]*Host
	// PlatformProxies are the proxies in front of the platform, by data centre.
	PlatformProxies map[string]*toxiproxy.Proxy
	hostIDs         []string
	proxyServer     *toxiproxy.ApiServer
}

// Host is one host of a running mesh.
type Host struct {
	Spec          HostSpec
	LinkAddress   string
	CallerAddress string
	// AnnounceAddress is where upstreams announce themselves to the node.
	AnnounceAddress string
	OperatorAddress string
	// Proxy is the proxy in front of the link listener, or nil if there is none.
	Proxy    *toxiproxy.Proxy
	Upstream *upstreamstandin.Server
	// stoppedUpstreams are the host's former upstreams, kept for their ledgers.
	stoppedUpstreams []*upstreamstandin.Server
	// startTimes are the times at which the node was started.
	startTimes []time.Time
	mesh       *Mesh
	// proxyRemoteOnly makes hosts of the same data centre bypass the proxy.
	proxyRemoteOnly bool
	settingsFile    string
	process         *exec.Cmd
	exited          chan struct{}
	// logOffset is the length of the log when the process was started.
	logOffset int64
}

var binary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "lynxfold-test-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "lynxfold")
	out, err := exec.Command("go", "build", "-o", path, "lynxfold").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return path, nil
})

// Binary builds the program once and returns its path.
func Binary(t testing.TB) string {
	t.Helper()
	path, err := binary()
	assert.NilError(t, err)
	return path
}

// loopbackAddress returns a loopback address derived from the process id, which no other
// test process and no outgoing connection uses.
func loopbackAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid>>16&0x7f, pid>>8&0xff, pid&0xff)
}

// nextPort is the next port that FreeAddress tries. Ports of the ephemeral range are not
// tried, as listeners on the wildcard address get them too.
var nextPort atomic.Uint32

const (
	firstPort        = 1024
	ephemeralPortMin = 32768
)

// FreeAddress returns a loopback address with a port that is not in use. It tries each
// port once, so that it never occupies an address that it has returned.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for {
		port := firstPort + nextPort.Add(1) - 1
		assert.Assert(t, port < ephemeralPortMin, "no free ports left")
		address := net.JoinHostPort(loopbackAddress(), strconv.Itoa(int(port)))
		err := tryListen(address)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		assert.NilError(t, err)
		return address
	}
}

// probeProcessHandles makes package os start the process with which it checks, without
// ForkLock, what the kernel supports.
var probeProcessHandles = sync.OnceFunc(func() { _, _ = os.FindProcess(os.Getpid()) })

// tryListen listens on an address and stops at once. A process that is started meanwhile would
// hold a copy of the socket until it executes its program.
func tryListen(address string) error {
	probeProcessHandles()
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	li, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return li.Close()
}

// silenceToxics drops the messages that toxics log for each interrupted write. Meshes of
// parallel tests share the logger.
var silenceToxics = sync.OnceFunc(func() { log.Logger = nopLog() })

// StartMesh starts a mesh and stops it when the test ends.
func StartMesh(t testing.TB, cfg MeshConfig) *Mesh {
	t.Helper()
	silenceToxics()
	me := &Mesh{
		T:        t,
		Platform: platformstandin.New(),
		Hosts:    map[string]*Host{},

		PlatformProxies: map[string]*toxiproxy.Proxy{},

		proxyServer: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), nopLog()),
	}
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	me.PlatformURL = "http://" + li.Addr().String()
	go func() { _ = me.Platform.Serve(li) }()
	t.Cleanup(func() { _ = me.Platform.Shutdown() })
	for _, hs := range cfg.Hosts {
		me.addHost(hs, cfg)
	}
	for _, id := range me.hostIDs {
		me.writeSettings(me.Hosts[id], cfg)
		me.Hosts[id].Start()
		me.Hosts[id].startUpstream()
	}
	return me
}

func (me *Mesh) addHost(hs HostSpec, cfg MeshConfig) {
	ho := &Host{
		Spec:            hs,
		LinkAddress:     FreeAddress(me.T),
		CallerAddress:   FreeAddress(me.T),
		AnnounceAddress: FreeAddress(me.T),
		OperatorAddress: FreeAddress(me.T),
		mesh:            me,
		proxyRemoteOnly: cfg.ProxiedRemote,
		settingsFile:    filepath.Join(me.T.TempDir(), hs.ID+".ini"),
	}
	if cfg.Proxied || cfg.ProxiedRemote {
		ho.Proxy = toxiproxy.NewProxy(me.proxyServer, hs.ID, FreeAddress(me.T), ho.LinkAddress)
		assert.NilError(me.T, ho.Proxy.Start())
		me.T.Cleanup(ho.Proxy.Stop)
	}
	me.Hosts[hs.ID] = ho
	me.hostIDs = append(me.hostIDs, hs.ID)
}

// contactsFor returns the host's bootstrap contacts: the link addresses of the first
// three hosts of the mesh, without the host itself.
func (me *Mesh) contactsFor(ho *Host) string {
	contacts := ""
	if ho.Spec.WithoutContacts {
		return contacts
	}
	for _, id := range me.hostIDs[:min(3, len(me.hostIDs))] {
		other := me.Hosts[id]
		if other == ho {
			continue
		}
		if contacts != "" {
			contacts += ", "
		}
		contacts += other.linkAddressFor(ho)
	}
	return contacts
}

// linkAddressFor returns the address at which another host connects to this one.
func (ho *Host) linkAddressFor(other *Host) string {
	if ho.Proxy == nil {
		return ho.LinkAddress
	}
	if ho.proxyRemoteOnly && other.Spec.DataCentre == ho.Spec.DataCentre {
		return ho.LinkAddress
	}
	return ho.Proxy.Listen
}

// platformURLFor returns the platform's URL for a host and starts the proxy of
// its data centre if there is none yet.
func (me *Mesh) platformURLFor(ho *Host, cfg MeshConfig) string {
	if !cfg.ProxiedPlatform {
		return me.PlatformURL
	}
	dc := ho.Spec.DataCentre
	if me.PlatformProxies[dc] == nil {
		px := toxiproxy.NewProxy(me.proxyServer, "platform-"+dc, FreeAddress(me.T), strings.TrimPrefix(me.PlatformURL, "http://"))
		assert.NilError(me.T, px.Start())
		me.T.Cleanup(px.Stop)
		me.PlatformProxies[dc] = px
	}
	return "http://" + me.PlatformProxies[dc].Listen
}

func (me *Mesh) writeSettings(ho *Host, cfg MeshConfig) {
	platformURL := me.platformURLFor(ho, cfg)
	advertise := ""
	if ho.Proxy != nil {
		key := "advertise"
		if cfg.ProxiedRemote {
			key = "advertise_remote"
		}
		advertise = key + " = " + ho.Proxy.Listen
	}
	text := fmt.Sprintf(`[mesh]
name = test
fleet_size = %d
[host]
id = %s
data_centre = %s
[link]
listen = %s
%s
contacts = %s
[caller]
listen = %s
[upstream]
listen = %s
[operator]
listen = %s
[platform]
table_url = %s
object_url = %s
timeout = 1s
[log]
level = info
%s
`, len(me.hostIDs), ho.Spec.ID, ho.Spec.DataCentre, ho.LinkAddress, advertise, me.contactsFor(ho),
		ho.CallerAddress, ho.AnnounceAddress, ho.OperatorAddress, platformURL, platformURL, cfg.Settings+ho.Spec.Settings)
	assert.NilError(me.T, os.WriteFile(ho.settingsFile, []byte(text), 0o600))
}

// Start starts the node's process and kills it when the test ends.
func (ho *Host) Start() {
	t := ho.mesh.T
	t.Helper()
	cmd := exec.Command(Binary(t), "node", "--settings", ho.settingsFile)
	log, err := os.OpenFile(ho.settingsFile+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(t, err)
	ho.logOffset, err = log.Seek(0, io.SeekEnd)
	assert.NilError(t, err)
	cmd.Stdout = log
	cmd.Stderr = log
	cmd.Env = append(os.Environ(), "LYNXFOLD_FATAL_INVARIANTS=1")
	ho.startTimes = append(ho.startTimes, time.Now())
	assert.NilError(t, cmd.Start())
	_ = log.Close()
	ho.process = cmd
	exited := make(chan struct{})
	ho.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-exited
	})
}

// AddUpstream starts an upstream on a host that has none.
func (ho *Host) AddUpstream(cfg upstreamstandin.Config) {
	ho.Spec.Upstream = cfg
	ho.startUpstream()
}

func (ho *Host) startUpstream() {
	cfg := ho.Spec.Upstream
	if cfg.Service == "" {
		return
	}
	cfg.AnnounceTo = "http://" + ho.AnnounceAddress
	cfg.CallThrough = "http://" + ho.CallerAddress
	if cfg.AnnounceInterval == 0 {
		cfg.AnnounceInterval = 200 * time.Millisecond
	}
	if cfg.ColdFactor == 0 {
		cfg.ColdFactor = 1
	}
	sv, err := upstreamstandin.Start(FreeAddress(ho.mesh.T), cfg)
	assert.NilError(ho.mesh.T, err)
	ho.Upstream = sv
	ho.mesh.T.Cleanup(sv.Kill)
}

// Signal sends a signal to the node's process.
func (ho *Host) Signal(sig os.Signal) { assert.NilError(ho.mesh.T, ho.process.Process.Signal(sig)) }

// Kill sends SIGKILL to the node's process and waits for it to exit.
func (ho *Host) Kill() {
	_ = ho.process.Process.Kill()
	<-ho.exited
}

// WaitExit waits for the node's process to exit and reports whether it did within
// the timeout.
func (ho *Host) WaitExit(timeout time.Duration) bool {
	select {
	case <-ho.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// PeakMemoryMB returns the most memory that the node's process has used.
func (ho *Host) PeakMemoryMB() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", ho.process.Process.Pid))
	assert.NilError(ho.mesh.T, err)
	_, rest, found := strings.Cut(string(data), "VmHWM:")
	fields := strings.Fields(rest)
	assert.Assert(ho.mesh.T, found && len(fields) > 0)
	kb, err := strconv.Atoi(fields[0])
	assert.NilError(ho.mesh.T, err)
	return kb / 1024
}

// HasStarted reports whether the node's latest process has opened its sockets.
func (ho *Host) HasStarted() bool { return strings.Contains(ho.Log()[ho.logOffset:], "node started") }

// SettingsFile returns the path of the node's settings file.
func (ho *Host) SettingsFile() string { return ho.settingsFile }

// Log returns the node's log so far, across restarts.
func (ho *Host) Log() string {
	data, err := os.ReadFile(ho.settingsFile + ".log")
	assert.NilError(ho.mesh.T, err)
	return string(data)
}

// Blackhole makes the host's proxy drop all data in both directions without
// closing connections.
func (ho *Host) Blackhole() {
	for _, dir := range []string{"upstream", "downstream"} {
		addToxic(ho.mesh.T, ho.Proxy, "silent-"+dir, "timeout", dir, map[string]int64{"timeout": 0})
	}
}

func nopLog() zerolog.Logger { return zerolog.Nop() }

// addToxic adds a toxic to one direction of a proxy.
func addToxic(t testing.TB, px *toxiproxy.Proxy, name, kind, direction string, attributes map[string]int64) {
	t.Helper()
	toxic, err := json.Marshal(struct {
		Name       string           `json:"name"`
		Type       string           `json:"type"`
		Stream     string           `json:"stream"`
		Attributes map[string]int64 `json:"attributes"`
	}{
		Name:       name,
		Type:       kind,
		Stream:     direction,
		Attributes: attributes,
	})
	assert.NilError(t, err)
	_, err = px.Toxics.AddToxicJson(bytes.NewReader(toxic))
	assert.NilError(t, err)
}

// StopProxy stops the host's proxy, which closes its connections and refuses new ones.
func (ho *Host) StopProxy() { ho.Proxy.Stop() }

// StartProxy starts the host's proxy again after StopProxy.
func (ho *Host) StartProxy() { assert.NilError(ho.mesh.T, ho.Proxy.Start()) }

// Apply submits a configuration document to a host as a change to version base, and
// returns the HTTP status and the response.
func (me *Mesh) Apply(id string, base uint64, document string) (status int, body operator.ConfigBody) {
	me.T.Helper()
	status, body, err := me.TryApply(id, base, document)
	assert.NilError(me.T, err)
	return status, body
}

// TryApply is like Apply but returns an error if the host doesn't answer.
func (me *Mesh) TryApply(id string, base uint64, document string) (status int, body operator.ConfigBody, err error) {
	req := struct {
		Version  uint64          `json:"version"`
		Document json.RawMessage `json:"document"`
	}{
		Version:  base,
		Document: json.RawMessage(document),
	}
	data, err := json.Marshal(req)
	assert.NilError(me.T, err)
	status, answer, err := Post("http://"+me.Hosts[id].OperatorAddress+"/api/config", data)
	if err != nil {
		return 0, body, err
	}
	_ = json.Unmarshal(answer, &body)
	return status, body, nil
}

// Status returns a host's status, or nil if the host doesn't answer.
func (me *Mesh) Status(id string) *operator.Status {
	code, body, err := fasthttp.GetTimeout(nil, "http://"+me.Hosts[id].OperatorAddress+"/api/status", time.Second)
	if err != nil || code != fasthttp.StatusOK {
		return nil
	}
	st := &operator.Status{}
	if json.Unmarshal(body, st) != nil {
		return nil
	}
	return st
}

// Post sends one POST request without retries.
func Post(url string, body []byte) (status int, answer []byte, err error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI(url)
	req.SetBodyRaw(body)
	cl := fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		ReadTimeout:               30 * time.Second,
	}
	if err := cl.Do(req, resp); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}

// Eventually polls a condition until it holds and fails the test after the timeout.
func Eventually(t testing.TB, timeout time.Duration, description string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s", timeout, description)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
