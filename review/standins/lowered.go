//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["lowered"] = lowered }

// pipeliner is a client that sends a further idempotent request before the first request of a
// connection has been answered.
type pipeliner struct {
	address, host, key  string
	command, read, body string
	pipelines           bool
	// onSent is called for each request that is written.
	onSent func(id string, at time.Time)
}

func (pi *pipeliner) head(method, path, id, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		method, path, pi.host, id, pi.key, len(body), body)
}

// run sends pairs of requests until done is closed.
func (pi *pipeliner) run(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		default:
		}
		pause := pi.connect(done)
		select {
		case <-done:
			return
		case <-time.After(pause):
		}
	}
}

// connect uses one connection until it is closed, and returns when to come back.
func (pi *pipeliner) connect(done <-chan struct{}) time.Duration {
	nc, err := net.DialTimeout("tcp", pi.address, time.Second)
	if err != nil {
		return 200 * time.Millisecond
	}
	defer func() { _ = nc.Close() }()
	rd := bufio.NewReader(nc)
	for {
		select {
		case <-done:
			return 0
		default:
		}
		pause := 20 * time.Millisecond
		_ = nc.SetDeadline(time.Now().Add(3 * time.Second))
		write := func(requests ...string) bool {
			_, err := io.WriteString(nc, strings.Join(requests, ""))
			return err == nil
		}
		command, read := newID(), newID()
		first, second := pi.head(http.MethodPost, pi.command, command, pi.body), pi.head(http.MethodGet, pi.read, read, "")
		pi.onSent(command, time.Now())
		if pi.pipelines {
			pi.onSent(read, time.Now())
			first, second = first+second, ""
		}
		if !write(first) {
			return pause
		}
		for n := range 2 {
			if n == 1 && second != "" {
				pi.onSent(read, time.Now())
				if !write(second) {
					return pause
				}
			}
			rs, err := http.ReadResponse(rd, nil)
			if err != nil {
				return pause
			}
			_, _ = io.Copy(io.Discard, rs.Body)
			_ = rs.Body.Close()
			if after, err := strconv.ParseFloat(rs.Header.Get("Retry-After"), 64); err == nil {
				pause = min(time.Duration(after*float64(time.Second)), time.Second)
			}
			if rs.Close {
				return pause
			}
		}
		time.Sleep(pause)
	}
}

// lowered lowers the limits of tenants whose clients pipeline.
func lowered(be *bed) (verdict, error) {
	const (
		host, command, read = "ficu95.example", "/pufi791/", "/lohu930/"
		service             = "station-ctl"
		machinesPerZone     = 3
		tenantsPerMachine   = 4
		connections         = 3
		commandWork         = 250 * time.Millisecond
		readWork            = 20 * time.Millisecond
		before, after       = 100.0, 4.0
		window              = 5.0
		overage, slack      = 0.1, 20.0
		configApply         = 2500 * time.Millisecond
	)
	if err := be.startStore(); err != nil {
		return verdict{}, err
	}
	var tenants []tenant
	for i := range 3 * machinesPerZone * tenantsPerMachine {
		tenants = append(tenants, tenant{Name: fmt.Sprintf("hule%03d", i), Keys: []string{fmt.Sprintf("a828m82thhkmgjqn%04d", i)}, RatePerS: before, BurstSize: before})
	}
	routes := []route{
		{Name: "r-command", Host: host, Prefix: command, Kind: "non_idempotent", Service: service, TimeoutS: 2, TargetS: 1.2, Attempts: 2, Priority: 1},
		{Name: "r-read", Host: host, Prefix: read, Kind: "idempotent", Service: service, TimeoutS: 1.5, TargetS: 1, Attempts: 2, Priority: 1},
	}
	be.store.put("op", "config", configuration("00000003", []string{service}, routes, tenants))
	for _, zone := range []string{"giza-dc", "nasr-dc", "tanta-dc"} {
		for j := range machinesPerZone {
			ma, err := be.addMachine(fmt.Sprintf("sidecar-%s-%d", zone, j+1), zone, service)
			if err != nil {
				return verdict{}, err
			}
			cfg := upstreamOf(ma)
			cfg.Slots, cfg.Queue = 18, 72
			cfg.WorkOf = func(path string) time.Duration {
				if strings.HasPrefix(path, command) {
					return commandWork
				}
				return readWork
			}
			if err := be.startMachine(ma, cfg); err != nil {
				return verdict{}, err
			}
		}
	}
	if err := be.awaitReady(15 * time.Second); err != nil {
		return verdict{}, err
	}
	for _, ma := range be.machines {
		if !await(10*time.Second, func() bool {
			return send(clientRequest{Address: ma.Outbound, Method: http.MethodGet, Host: host, Path: read + "2f", ID: newID(), Key: tenants[0].Keys[0], Deadline: 2 * time.Second}).Status == http.StatusOK
		}) {
			return verdict{}, setupError("%s serves nothing", ma.Name)
		}
	}
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	tenantOf := map[string]int{}
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i := range tenants {
		for range connections {
			pi := &pipeliner{
				address: be.machines[i%len(be.machines)].Outbound, host: host, key: tenants[i].Keys[0], command: command + "2f", read: read + "2f", body: "x",
				pipelines: os.Getenv("PIPELINE") != "0",
				onSent: func(id string, at time.Time) {
					mu.Lock()
					defer mu.Unlock()
					sentAt[id], tenantOf[id] = at, i
				},
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond)
				pi.run(done)
			}()
		}
	}
	time.Sleep(8 * time.Second)
	limit := before
	if be.trouble {
		limit = after
		for i := range tenants {
			tenants[i].RatePerS, tenants[i].BurstSize = after, after
		}
		be.store.put("op", "config", configuration("00000007", []string{service}, routes, tenants))
	}
	acked := time.Now()
	// configApplyS, and one window.
	binds := acked.Add(configApply + time.Duration(window*float64(time.Second)))
	time.Sleep(time.Until(binds.Add(15 * time.Second)))
	close(done)
	wg.Wait()

	type counted struct{ sent, ran time.Time }
	all := make([][]counted, len(tenants))
	be.mu.Lock()
	known := map[string]bool{}
	for _, ru := range be.runs {
		if at, there := sentAt[ru.Request]; there && !known[ru.Request] && !at.Before(binds) {
			known[ru.Request] = true
			i := tenantOf[ru.Request]
			all[i] = append(all[i], counted{sent: at, ran: ru.At})
		}
	}
	be.mu.Unlock()
	allowed := (limit*window+limit)*(1+overage) + slack
	above, worst := 0, 0
	for i, requests := range all {
		sort.Slice(requests, func(a, b int) bool { return requests[a].sent.Before(requests[b].sent) })
		most := 0
		for a := range requests {
			n := 0
			end := requests[a].sent.Add(time.Duration(window * float64(time.Second)))
			for b := a; b < len(requests) && requests[b].sent.Before(end); b++ {
				if requests[b].ran.Before(end) {
					n++
				}
			}
			most = max(most, n)
		}
		be.rec.printf("tenant %s, clients at %s: at most %d requests ran in a window, %.0f are allowed", tenants[i].Name, be.machines[i%len(be.machines)].Name, most, allowed)
		if float64(most) > allowed {
			above++
		}
		worst = max(worst, most)
	}
	return verdict{
		broken: above > 0,
		text: fmt.Sprintf("later than %.1f s after the acknowledgement, %d of %d tenants had more requests run in %.0f s than the %.0f that their limit of %.0f a second allows; the most were %d",
			binds.Sub(acked).Seconds(), above, len(tenants), window, allowed, limit, worst),
	}, nil
}
