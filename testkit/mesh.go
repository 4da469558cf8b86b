package testkit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"lynxfold/io/operator"
	platformstandin "lynxfold/io/platform/standin"
	upstreamstandin "lynxfold/io/upstream/standin"
)

// HostSpec describes one host of a mesh.
type HostSpec struct {
	ID         string
	DataCentre string
	// Upstream is started beside the node when its service is not empty.
	Upstream upstreamstandin.Config
	// NoContacts leaves the host without addresses to try first.
	NoContacts bool
	// Settings are further lines of this host's settings file.
	Settings string
}

// MeshConfig describes a mesh of real processes.
type MeshConfig struct {
	Hosts []HostSpec
	// Proxied puts a proxy before every node's links and calls.
	Proxied bool
	// ProxiedRemote puts a proxy only before those from other data centres.
	ProxiedRemote bool
	// ProxiedPlatform puts a proxy for each data centre before the platform.
	ProxiedPlatform bool
	// Settings are further lines of every node's settings file.
	Settings string
}

// Mesh is a running mesh: a platform and upstreams in this process, and nodes
// as processes of their own.
type Mesh struct {
	T           testing.TB
	Platform    *platformstandin.Server
	PlatformURL string
	Hosts       map[string]*Host
	// PlatformProxies stand before the platform, by data centre.
	PlatformProxies map[string]*toxiproxy.Proxy
	order           []string
	proxies         *toxiproxy.ApiServer
}

// Host is one host of a mesh.
type Host struct {
	Spec     HostSpec
	Link     string
	Caller   string
	Announce string
	Operator string
	Proxy    *toxiproxy.Proxy
	Upstream *upstreamstandin.Server
	// former are the upstreams that ran here before, with their ledgers.
	former []*upstreamstandin.Server
	mesh   *Mesh
	// remoteOnly says that hosts of the same data centre go round the proxy.
	remoteOnly bool
	settings   string
	process    *exec.Cmd
	exited     chan struct{}
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

// loopback is a loopback address of this process alone: a port that is free on
// it can't be taken by another test's process or an outgoing connection before
// the node listens.
func loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>16&0x7f, pid>>8&0xff, pid&0xff)
}

// handedOut are the addresses that FreeAddress has returned.
var handedOut sync.Map

// FreeAddress returns a loopback address that nobody listens on; it returns no
// address twice.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for {
		li, err := net.Listen("tcp", loopback())
		assert.NilError(t, err)
		address := li.Addr().String()
		assert.NilError(t, li.Close())
		if _, twice := handedOut.LoadOrStore(address, true); !twice {
			return address
		}
	}
}

// StartMesh starts a mesh; it is stopped when the test ends.
func StartMesh(t testing.TB, cfg MeshConfig) *Mesh {
	t.Helper()
	me := &Mesh{
		T:        t,
		Platform: platformstandin.New(),
		Hosts:    map[string]*Host{},

		PlatformProxies: map[string]*toxiproxy.Proxy{},

		proxies: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), nopLog()),
	}
	li, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	me.PlatformURL = "http://" + li.Addr().String()
	go func() { _ = me.Platform.Serve(li) }()
	t.Cleanup(func() { _ = me.Platform.Shutdown() })
	for _, hs := range cfg.Hosts {
		me.prepare(hs, cfg)
	}
	for _, id := range me.order {
		me.writeSettings(me.Hosts[id], cfg)
		me.Hosts[id].Start()
		me.Hosts[id].startUpstream()
	}
	return me
}

func (me *Mesh) prepare(hs HostSpec, cfg MeshConfig) {
	ho := &Host{
		Spec:       hs,
		Link:       FreeAddress(me.T),
		Caller:     FreeAddress(me.T),
		Announce:   FreeAddress(me.T),
		Operator:   FreeAddress(me.T),
		mesh:       me,
		remoteOnly: cfg.ProxiedRemote,
		settings:   filepath.Join(me.T.TempDir(), hs.ID+".ini"),
	}
	if cfg.Proxied || cfg.ProxiedRemote {
		ho.Proxy = toxiproxy.NewProxy(me.proxies, hs.ID, "127.0.0.1:0", ho.Link)
		assert.NilError(me.T, ho.Proxy.Start())
		me.T.Cleanup(ho.Proxy.Stop)
	}
	me.Hosts[hs.ID] = ho
	me.order = append(me.order, hs.ID)
}

// contactsOf are the first two other hosts.
func (me *Mesh) contactsOf(ho *Host) string {
	contacts := ""
	if ho.Spec.NoContacts {
		return contacts
	}
	for _, id := range me.order[:min(3, len(me.order))] {
		other := me.Hosts[id]
		if other == ho {
			continue
		}
		if contacts != "" {
			contacts += ", "
		}
		contacts += other.addressFor(ho)
	}
	return contacts
}

// addressFor is where another host reaches this one.
func (ho *Host) addressFor(other *Host) string {
	if ho.Proxy == nil {
		return ho.Link
	}
	if ho.remoteOnly && other.Spec.DataCentre == ho.Spec.DataCentre {
		return ho.Link
	}
	return ho.Proxy.Listen
}

// platformFor is where a host reaches the platform.
func (me *Mesh) platformFor(ho *Host, cfg MeshConfig) string {
	if !cfg.ProxiedPlatform {
		return me.PlatformURL
	}
	dc := ho.Spec.DataCentre
	if me.PlatformProxies[dc] == nil {
		px := toxiproxy.NewProxy(me.proxies, "platform-"+dc, "127.0.0.1:0", strings.TrimPrefix(me.PlatformURL, "http://"))
		assert.NilError(me.T, px.Start())
		me.T.Cleanup(px.Stop)
		me.PlatformProxies[dc] = px
	}
	return "http://" + me.PlatformProxies[dc].Listen
}

func (me *Mesh) writeSettings(ho *Host, cfg MeshConfig) {
	platformURL := me.platformFor(ho, cfg)
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
`, len(me.order), ho.Spec.ID, ho.Spec.DataCentre, ho.Link, advertise, me.contactsOf(ho),
		ho.Caller, ho.Announce, ho.Operator, platformURL, platformURL, cfg.Settings+ho.Spec.Settings)
	assert.NilError(me.T, os.WriteFile(ho.settings, []byte(text), 0o600))
}

// Start starts the node's process; it is killed when the test ends.
func (ho *Host) Start() {
	t := ho.mesh.T
	t.Helper()
	cmd := exec.Command(Binary(t), "node", "--settings", ho.settings)
	log, err := os.OpenFile(ho.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(t, err)
	cmd.Stdout = log
	cmd.Stderr = log
	cmd.Env = append(os.Environ(), "LYNXFOLD_FATAL_INVARIANTS=1")
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

func (ho *Host) startUpstream() {
	cfg := ho.Spec.Upstream
	if cfg.Service == "" {
		return
	}
	cfg.AnnounceTo = "http://" + ho.Announce
	if cfg.AnnounceEvery == 0 {
		cfg.AnnounceEvery = 200 * time.Millisecond
	}
	if cfg.ColdFactor == 0 {
		cfg.ColdFactor = 1
	}
	sv, err := upstreamstandin.Start("127.0.0.1:0", cfg)
	assert.NilError(ho.mesh.T, err)
	ho.Upstream = sv
	ho.mesh.T.Cleanup(sv.Kill)
}

// Signal sends a signal to the node's process.
func (ho *Host) Signal(sig os.Signal) { assert.NilError(ho.mesh.T, ho.process.Process.Signal(sig)) }

// Kill ends the node's process at once.
func (ho *Host) Kill() {
	_ = ho.process.Process.Kill()
	<-ho.exited
}

// Exited waits for the node's process to end; it is false after the timeout.
func (ho *Host) Exited(within time.Duration) bool {
	select {
	case <-ho.exited:
		return true
	case <-time.After(within):
		return false
	}
}

// SettingsFile is the path of the node's settings.
func (ho *Host) SettingsFile() string { return ho.settings }

// Log returns what the node has logged.
func (ho *Host) Log() string {
	data, err := os.ReadFile(ho.settings + ".log")
	assert.NilError(ho.mesh.T, err)
	return string(data)
}

// Silence makes the host's proxy swallow everything, both ways, without a reset.
func (ho *Host) Silence() {
	for _, dir := range []string{"upstream", "downstream"} {
		addToxic(ho.mesh.T, ho.Proxy, "silent-"+dir, "timeout", dir, map[string]int64{"timeout": 0})
	}
}

func nopLog() zerolog.Logger { return zerolog.Nop() }

// addToxic adds a toxic in one direction of a proxy.
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

// Cut stops the host's proxy; Mend starts it again.
func (ho *Host) Cut() { ho.Proxy.Stop() }

// Mend starts the host's proxy again after Cut.
func (ho *Host) Mend() { assert.NilError(ho.mesh.T, ho.Proxy.Start()) }

// Apply has a document accepted through a host and returns its version.
func (me *Mesh) Apply(id string, base uint64, document string) (status int, body operator.ConfigBody) {
	me.T.Helper()
	status, body, err := me.TryApply(id, base, document)
	assert.NilError(me.T, err)
	return status, body
}

// TryApply is Apply at a host that may not answer.
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
	status, answer, err := Post("http://"+me.Hosts[id].Operator+"/api/config", data)
	if err != nil {
		return 0, body, err
	}
	_ = json.Unmarshal(answer, &body)
	return status, body, nil
}

// Status asks a host for what it knows; it is nil when the host does not answer.
func (me *Mesh) Status(id string) *operator.Status {
	code, body, err := fasthttp.GetTimeout(nil, "http://"+me.Hosts[id].Operator+"/api/status", time.Second)
	if err != nil || code != fasthttp.StatusOK {
		return nil
	}
	st := &operator.Status{}
	if json.Unmarshal(body, st) != nil {
		return nil
	}
	return st
}

// Post makes one POST request.
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

// Eventually waits until a condition holds; the test fails after the timeout.
func Eventually(t testing.TB, within time.Duration, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(within)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s", within, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
