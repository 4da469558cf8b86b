//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that an upstream began to work on.
type run struct {
	At      time.Time
	Request string
	Service string
	Node    string
	Path    string
	Tenant  string
}

// upstreamConfig configures an upstream.
type upstreamConfig struct {
	Node, Service, Version, Zone string
	Address, Admin, Outbound     string
	Slots, Queue                 int
	Work                         time.Duration
	// WorkOf replaces Work for some paths; it may be nil.
	WorkOf     func(path string) time.Duration
	Heartbeat  time.Duration
	HealthPath string
	// KeepsOn makes the upstream go on with a request whose connection closes.
	KeepsOn bool
	// CrashOn is the path of requests that crash the upstream, which is back after Back.
	CrashOn string
	Back    time.Duration
	// Calls are made by each request with CallFrom in its path, at the end of its work.
	CallFrom, CallHost, CallPath string
	// OnCall receives the answers to them.
	OnCall func(id string, status int, err error)
}

// upstream is a stand-in for an application upstream.
type upstream struct {
	cfg    upstreamConfig
	record *record
	// onRun is called when a request begins to run.
	onRun func(ru run)

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	server   *http.Server
	state    string
	stopped  bool
	limit    string
	slots    chan struct{}
	waiting  atomic.Int64
	running  atomic.Int64
	crashes  atomic.Int64
}

var starts atomic.Int64

func startUpstream(cfg upstreamConfig, rec *record, onRun func(ru run)) (*upstream, error) {
	up := &upstream{cfg: cfg, record: rec, onRun: onRun, state: "ready", slots: make(chan struct{}, cfg.Slots)}
	if err := up.start(); err != nil {
		return nil, err
	}
	go up.beat()
	return up, nil
}

// start starts a new incarnation.
func (up *upstream) start() error {
	li, err := net.Listen("tcp", up.cfg.Address)
	if err != nil {
		return err
	}
	up.mu.Lock()
	defer up.mu.Unlock()
	up.id = fmt.Sprintf("i-%08x", 0x1000+starts.Add(1))
	up.born = time.Now().UnixMilli()
	up.sequence = 0
	up.server = &http.Server{Handler: http.HandlerFunc(up.serve)}
	go func(sv *http.Server) { _ = sv.Serve(li) }(up.server)
	return nil
}

func (up *upstream) stop() {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.stopped = true
	if up.server != nil {
		_ = up.server.Close()
	}
}

// crash ends the process of the upstream, which is back some seconds later.
func (up *upstream) crash() {
	up.mu.Lock()
	sv := up.server
	up.server = nil
	up.mu.Unlock()
	if sv == nil {
		return
	}
	up.crashes.Add(1)
	up.record.printf("upstream of %s crashes", up.cfg.Node)
	_ = sv.Close()
	time.AfterFunc(up.cfg.Back, func() {
		up.mu.Lock()
		stopped := up.stopped
		up.mu.Unlock()
		for range 50 {
			if stopped || up.start() == nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
}

func (up *upstream) identity() (string, string) {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.id, up.limit
}

// setLimit sets the rate limit that the answers to requests name.
func (up *upstream) setLimit(limit string) {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.limit = limit
}

func (up *upstream) load() string {
	return fmt.Sprintf("%d,%d,%d", up.running.Load(), up.waiting.Load(), up.cfg.Slots)
}

func (up *upstream) serve(w http.ResponseWriter, rq *http.Request) {
	id, limit := up.identity()
	he := w.Header()
	he.Set("Upstream-Load", up.load())
	if rq.URL.Path == up.cfg.HealthPath {
		he.Set("Upstream-Id", id)
		_, _ = io.WriteString(w, "ok")
		return
	}
	if limit != "" {
		he.Set("Server-Limit", limit)
	}
	attempt := rq.Header.Get("Attempt-Id")
	he.Set("Attempt-Id", attempt)
	if want := rq.Header.Get("Expected-Instance"); want != "" && want != id {
		he.Set("Upstream-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, rq.Body)
	ctx := rq.Context()
	if ms, err := strconv.Atoi(rq.Header.Get("Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if !up.takeSlot(ctx) {
		he.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-up.slots }()
	up.running.Add(1)
	defer up.running.Add(-1)
	up.onRun(run{At: time.Now(), Request: attempt, Service: up.cfg.Service, Node: up.cfg.Node, Path: rq.URL.Path, Tenant: rq.Header.Get("Tenant")})
	if up.cfg.CrashOn != "" && strings.HasPrefix(rq.URL.Path, up.cfg.CrashOn) {
		time.Sleep(20 * time.Millisecond)
		up.crash()
		return
	}
	if !up.work(ctx, rq) {
		return
	}
	he.Set("Upstream-Load", up.load())
	he.Set("Upstream-Signature", "3e1b.07.5a2.600.0.c9f2a4d1")
	_, _ = fmt.Fprintf(w, "%s %s", up.cfg.Service, attempt)
}

func (up *upstream) takeSlot(ctx context.Context) bool {
	select {
	case up.slots <- struct{}{}:
		return true
	default:
	}
	if up.waiting.Add(1) > int64(up.cfg.Queue) {
		up.waiting.Add(-1)
		return false
	}
	defer up.waiting.Add(-1)
	select {
	case up.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// work runs a request and returns false if its client has left.
func (up *upstream) work(ctx context.Context, rq *http.Request) bool {
	done := ctx.Done()
	if up.cfg.KeepsOn {
		done = nil
	}
	took := up.cfg.Work
	if up.cfg.WorkOf != nil {
		took = up.cfg.WorkOf(rq.URL.Path)
	}
	select {
	case <-time.After(took):
	case <-done:
		return false
	}
	if up.cfg.CallFrom != "" && strings.HasPrefix(rq.URL.Path, up.cfg.CallFrom) {
		id := rq.Header.Get("Attempt-Id") + "." + newID()
		rs := send(clientRequest{Address: up.cfg.Outbound, Method: http.MethodGet, Host: up.cfg.CallHost, Path: up.cfg.CallPath, ID: id, Deadline: time.Second})
		if up.cfg.OnCall != nil {
			up.cfg.OnCall(id, rs.Status, rs.Err)
		}
	}
	return true
}

// drainAndStop reports draining, serves for a while, leaves and ends.
func (up *upstream) drainAndStop(serveFor time.Duration) {
	up.mu.Lock()
	up.state = "draining"
	id := up.id
	up.mu.Unlock()
	time.Sleep(up.cfg.Heartbeat + serveFor)
	rq, _ := http.NewRequest(http.MethodDelete, "http://"+up.cfg.Admin+"/instances/"+id, nil)
	if rs, err := http.DefaultClient.Do(rq); err == nil {
		_ = rs.Body.Close()
	}
	up.stop()
}

// beat sends the heartbeats.
func (up *upstream) beat() {
	cl := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		up.mu.Lock()
		if up.stopped {
			up.mu.Unlock()
			return
		}
		up.sequence++
		alive := up.server != nil
		id := up.id
		body, _ := json.Marshal(map[string]any{
			"address": up.cfg.Address,
			"born":    up.born,
			"info":    map[string]any{"service": up.cfg.Service, "version": up.cfg.Version, "zone": up.cfg.Zone, "slots": up.cfg.Slots},
			"status":  map[string]any{"state": up.state, "sequence": up.sequence, "warmupLeftS": 0},
		})
		up.mu.Unlock()
		if alive {
			rq, _ := http.NewRequest(http.MethodPut, "http://"+up.cfg.Admin+"/instances/"+id, strings.NewReader(string(body)))
			rq.Header.Set("Content-Type", "application/json")
			if rs, err := cl.Do(rq); err == nil {
				_ = rs.Body.Close()
			}
		}
		time.Sleep(up.cfg.Heartbeat)
	}
}
