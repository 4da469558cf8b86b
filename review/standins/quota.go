//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"sort"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["quota"] = quota }

// quota cuts a zone off from the other and kills the processes of that zone during the cut,
// while one tenant sends more than its limit.
func quota(be *bed) (verdict, error) {
	const (
		host, prefix, service = "ficu95.example", "/lohu930/", "readings-api"
		key                   = "a828m82thhkmgjqnirth"
		rate, burst           = 200.0, 50.0
		window                = 5.0
		overage, slack        = 0.1, 20.0
	)
	cutFor := 6500 * time.Millisecond
	if ms, err := strconv.Atoi(os.Getenv("CUT_MS")); err == nil {
		cutFor = time.Duration(ms) * time.Millisecond
	}
	if err := be.startStore(); err != nil {
		return verdict{}, err
	}
	be.store.put("op", "config", configuration("00000003", []string{service}, []route{
		{Name: "r-read", Host: host, Prefix: prefix, Kind: "idempotent", Service: service, TimeoutS: 1.5, TargetS: 1, Attempts: 2, Priority: 1},
	}, []tenant{{Name: "hule930", Keys: []string{key}, RatePerS: rate, BurstSize: burst}}))
	for _, zone := range []string{"giza-dc", "nasr-dc"} {
		for j := range 4 {
			ma, err := be.addMachine(fmt.Sprintf("sidecar-%s-%d", zone, j+1), zone, service)
			if err != nil {
				return verdict{}, err
			}
			px, err := newProxy(ma.IP, ma.Link)
			if err != nil {
				return verdict{}, setupError("proxy: %v", err)
			}
			be.proxies = append(be.proxies, px)
			ma.Proxy = px.addr()
			cfg := upstreamOf(ma)
			cfg.Slots = 18
			if err := be.startMachine(ma, cfg); err != nil {
				return verdict{}, err
			}
		}
	}
	if err := be.awaitReady(15 * time.Second); err != nil {
		return verdict{}, err
	}
	served := func(ma *machine) bool {
		an := send(clientRequest{Address: ma.Outbound, Method: http.MethodGet, Host: host, Path: prefix + "2f", ID: newID(), Key: key, Deadline: 2 * time.Second})
		return an.Status == http.StatusOK
	}
	for _, ma := range be.machines {
		if !await(10*time.Second, func() bool { return served(ma) }) {
			return verdict{}, setupError("%s serves nothing", ma.Name)
		}
	}
	time.Sleep(6 * time.Second)

	// The tenant sends three times its limit, spread over all machines.
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	statuses := map[int]int{}
	stop := traffic(3*rate, func(n int) clientRequest {
		return clientRequest{Address: be.machines[n%len(be.machines)].Outbound, Method: http.MethodGet, Host: host, Path: prefix + "2f", ID: newID(), Key: key, Deadline: 2500 * time.Millisecond}
	}, func(cr clientRequest, an clientAnswer) {
		mu.Lock()
		defer mu.Unlock()
		sentAt[cr.ID] = an.SentAt
		statuses[an.Status]++
	})
	begun := time.Now()
	time.Sleep(8 * time.Second)
	zone := be.machines[:4]
	if be.trouble {
		be.rec.printf("giza-dc is cut off from nasr-dc")
		if os.Getenv("NO_CUT") == "" {
			for _, px := range be.proxies {
				px.setCut(true)
			}
		} else {
			zone = be.machines
		}
		healed := time.Now().Add(cutFor)
		if os.Getenv("NO_KILL") == "" {
			be.rec.printf("the nodes of giza-dc are killed")
			for _, ma := range zone {
				ma.signal(syscall.SIGKILL)
			}
			for _, ma := range zone {
				<-ma.exited
			}
			time.Sleep(500 * time.Millisecond)
			for _, ma := range zone {
				if err := ma.start(be.dir); err != nil {
					return verdict{}, setupError("node: %v", err)
				}
			}
		}
		time.Sleep(time.Until(healed))
		for _, px := range be.proxies {
			px.setCut(false)
		}
		be.rec.printf("the cut has healed")
	}
	time.Sleep(time.Until(begun.Add(26 * time.Second)))
	stop()

	// A request counts in a window in which it was both sent and run.
	type counted struct{ sent, ran time.Time }
	var all []counted
	be.mu.Lock()
	seenIDs := map[string]bool{}
	for _, ru := range be.runs {
		if at, there := sentAt[ru.Request]; there && !seenIDs[ru.Request] {
			seenIDs[ru.Request] = true
			all = append(all, counted{sent: at, ran: ru.At})
		}
	}
	be.mu.Unlock()
	sort.Slice(all, func(i, j int) bool { return all[i].sent.Before(all[j].sent) })
	allowed := (rate*window+burst)*(1+overage) + slack
	worst, worstAt := 0, time.Duration(0)
	for i := range all {
		n := 0
		end := all[i].sent.Add(time.Duration(window * float64(time.Second)))
		for j := i; j < len(all) && all[j].sent.Before(end); j++ {
			if all[j].ran.Before(end) {
				n++
			}
		}
		if n > worst {
			worst, worstAt = n, all[i].sent.Sub(begun)
		}
	}
	for second := range 26 {
		in := [2]int{}
		be.mu.Lock()
		for _, ru := range be.runs {
			if int(ru.At.Sub(begun).Seconds()) == second && ru.At.After(begun) {
				zoneOf := 0
				if len(ru.Node) > 9 && ru.Node[8] == 'n' {
					zoneOf = 1
				}
				in[zoneOf]++
			}
		}
		be.mu.Unlock()
		be.rec.printf("second %d: %d run in giza-dc, %d in nasr-dc", second, in[0], in[1])
	}
	be.rec.printf("answers by status: %v", statuses)
	return verdict{
		broken: float64(worst) > allowed,
		text:   fmt.Sprintf("in the %.0f s from second %.1f on, upstreams ran %d requests of the tenant; %.0f are allowed", window, worstAt.Seconds(), worst, allowed),
	}, nil
}
