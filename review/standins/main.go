//go:build review

// Command standins plays one case of the review: it starts nodes with the command of the
// deploy file, and stands in for their clients, upstreams and platform.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func (re *record) printf(format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	_, _ = fmt.Fprintf(re.file, "%8.3f  %s\n", time.Since(re.begun).Seconds(), fmt.Sprintf(format, args...))
}

// verdict says whether a rule was broken.
type verdict struct {
	broken bool
	text   string
}

// bed is a small deployment.
type bed struct {
	rec      *record
	dir      string
	net      string
	trouble  bool
	store    *store
	machines []*machine
	proxies  []*proxy

	mu   sync.Mutex
	runs []run
}

var errSetup = errors.New("the case could not run")

func setupError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errSetup, fmt.Sprintf(format, args...))
}

var cases = map[string]func(be *bed) (verdict, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(be *bed) (verdict, error), folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	dir, err := os.MkdirTemp("", "lynxfold-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	be := &bed{
		rec:     &record{file: file, begun: time.Now()},
		dir:     dir,
		net:     fmt.Sprintf("127.%d.%d.", 64+os.Getpid()>>8&0x3f, 1+os.Getpid()%250),
		trouble: os.Getenv("TROUBLE") != "0",
	}
	be.rec.printf("begins, with the disruption: %v", be.trouble)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() { <-stopped; be.close(); os.Exit(2) }()
	limit := time.AfterFunc(118*time.Second, func() {
		be.rec.printf("takes too long")
		be.close()
		os.Exit(2)
	})
	defer limit.Stop()
	ve, err := run(be)
	be.close()
	if err != nil {
		be.rec.printf("%v", err)
		fmt.Println(err)
		return 2
	}
	result := "the rule held"
	if ve.broken {
		result = "THE RULE WAS BROKEN"
	}
	be.rec.printf("%s: %s", result, ve.text)
	fmt.Printf("%s: %s\n", result, ve.text)
	if ve.broken {
		return 1
	}
	return 0
}

// close ends all processes and removes the temporary folder.
func (be *bed) close() {
	for _, ma := range be.machines {
		if ma.process != nil {
			_ = ma.process.Process.Signal(syscall.SIGCONT)
			ma.kill()
		}
		if ma.Upstream != nil {
			ma.Upstream.stop()
		}
	}
	for _, px := range be.proxies {
		px.stop()
	}
	if be.store != nil {
		be.store.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(be.dir)
	}
}

// addRun records that an upstream runs a request.
func (be *bed) addRun(ru run) {
	be.mu.Lock()
	defer be.mu.Unlock()
	be.runs = append(be.runs, ru)
}

// runsOf returns where a request ran.
func (be *bed) runsOf(id string) []run {
	be.mu.Lock()
	defer be.mu.Unlock()
	var all []run
	for _, ru := range be.runs {
		if ru.Request == id {
			all = append(all, ru)
		}
	}
	return all
}

// startStore starts the platform's store.
func (be *bed) startStore() error {
	st, err := newStore(be.rec, be.net+"1")
	if err != nil {
		return setupError("store: %v", err)
	}
	be.store = st
	return nil
}

// addMachine prepares a machine; nothing of it runs yet.
func (be *bed) addMachine(name, zone, service string) (*machine, error) {
	ip := fmt.Sprintf("%s%d", be.net, 10+len(be.machines))
	ma := &machine{Name: name, Zone: zone, Service: service, IP: ip, heartbeat: 0.87, storeAddr: be.store.addr}
	var err error
	for _, it := range []*string{&ma.Outbound, &ma.Admin, &ma.Ready, &ma.App} {
		var port int
		if port, err = freePort(ip); err != nil {
			return nil, setupError("port: %v", err)
		}
		*it = fmt.Sprintf("%s:%d", ip, port)
	}
	if ma.linkPort, err = freePort(ip); err != nil {
		return nil, setupError("port: %v", err)
	}
	if ma.operatorPort, err = freePort("127.0.0.1"); err != nil {
		return nil, setupError("port: %v", err)
	}
	ma.Link = fmt.Sprintf("%s:%d", ip, ma.linkPort)
	be.machines = append(be.machines, ma)
	return ma, nil
}

// upstreamOf returns the usual configuration of a machine's upstream.
func upstreamOf(ma *machine) upstreamConfig {
	return upstreamConfig{
		Node: ma.Name, Service: ma.Service, Version: "v1", Zone: ma.Zone, Address: ma.App, Admin: ma.Admin, Outbound: ma.Outbound,
		Slots: 9, Queue: 36, Work: 30 * time.Millisecond, Heartbeat: time.Duration(ma.heartbeat * float64(time.Second)), HealthPath: "/healthz",
		Back: 3 * time.Second,
	}
}

// startMachine starts a machine's upstream and node.
func (be *bed) startMachine(ma *machine, cfg upstreamConfig) error {
	up, err := startUpstream(cfg, be.rec, be.addRun)
	if err != nil {
		return setupError("upstream: %v", err)
	}
	ma.Upstream = up
	if err := ma.start(be.dir); err != nil {
		return setupError("node: %v", err)
	}
	be.rec.printf("machine %s starts: zone %s, service %s", ma.Name, ma.Zone, ma.Service)
	return nil
}

// awaitReady waits until all nodes are ready.
func (be *bed) awaitReady(within time.Duration) error {
	until := time.Now().Add(within)
	for _, ma := range be.machines {
		for !ma.isReady() {
			if time.Now().After(until) {
				return setupError("%s is not ready", ma.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	be.rec.printf("all nodes are ready")
	return nil
}

// await waits for a condition.
func await(within time.Duration, met func() bool) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if met() {
			return true
		}
	}
	return met()
}

// route is a rule of a configuration.
type route struct {
	Name, Host, Prefix, Kind, Service string
	TimeoutS, TargetS                 float64
	Attempts, Priority                int
	Public                            bool
}

type tenant struct {
	Name      string   `json:"name"`
	Keys      []string `json:"apiKeys"`
	RatePerS  float64  `json:"ratePerS"`
	BurstSize float64  `json:"burst"`
}

// configuration returns a configuration as the operator writes it.
func configuration(version string, services []string, routes []route, tenants []tenant) []byte {
	var listeners, clusters []any
	for _, ro := range routes {
		listeners = append(listeners, map[string]any{"host": ro.Host, "rules": []any{map[string]any{
			"name": ro.Name, "kind": ro.Kind, "targetLatencyS": ro.TargetS, "priority": ro.Priority, "public": ro.Public,
			"match":  map[string]any{"pathPrefix": ro.Prefix},
			"action": map[string]any{"service": ro.Service, "timeoutS": ro.TimeoutS, "maxAttempts": ro.Attempts},
		}}})
	}
	for _, se := range services {
		clusters = append(clusters, map[string]any{"name": se, "healthPath": "/healthz", "maxConnections": 120, "protocol": "h1", "tls": false})
	}
	doc := map[string]any{
		"version":   version,
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"listeners": listeners, "clusters": clusters,
	}
	if len(tenants) > 0 {
		doc["tenants"] = tenants
	}
	data, _ := json.Marshal(doc)
	return data
}
