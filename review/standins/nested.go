//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["nested"] = nested }

// nested has clients leave while the upstream works on, which then makes a call that its work
// needs.
func nested(be *bed) (verdict, error) {
	const (
		host             = "ficu95.example"
		outer, inner     = "/pufi791/", "/lohu930/"
		command, reading = "station-ctl", "readings-api"
		key              = "a828m82thhkmgjqnirth"
		work             = 2500 * time.Millisecond
		outerDeadline    = 6 * time.Second
		leaveAfter       = 1200 * time.Millisecond
		// Three clients in ten leave.
		leaving, outOf = 3, 10
	)
	services := []string{command, reading}
	if err := be.startStore(); err != nil {
		return verdict{}, err
	}
	be.store.put("op", "config", configuration("00000003", services, []route{
		{Name: "r-outer", Host: host, Prefix: outer, Kind: "non_idempotent", Service: command, TimeoutS: 4, TargetS: 4, Attempts: 2, Priority: 1},
		{Name: "r-inner", Host: host, Prefix: inner, Kind: "idempotent", Service: reading, TimeoutS: 1, TargetS: 0.4, Attempts: 2, Priority: 1},
	}, []tenant{{Name: "hule930", Keys: []string{key}, RatePerS: 566, BurstSize: 566}}))
	var mu sync.Mutex
	calls := map[int]int{}
	answers := map[int]int{}
	sent := 0
	for _, zone := range []string{"giza-dc", "nasr-dc", "tanta-dc"} {
		for j, service := range services {
			ma, err := be.addMachine(fmt.Sprintf("sidecar-%s-%d", zone, j+1), zone, service)
			if err != nil {
				return verdict{}, err
			}
			cfg := upstreamOf(ma)
			cfg.Slots, cfg.Queue = 18, 72
			if service == command {
				cfg.Work, cfg.KeepsOn = work, true
				cfg.CallFrom, cfg.CallHost, cfg.CallPath = outer, host, inner+"2f"
				cfg.OnCall = func(id string, status int, err error) {
					mu.Lock()
					defer mu.Unlock()
					sent++
					calls[status]++
					be.rec.printf("call %s of the upstream of %s: status %d %v", id, ma.Name, status, err)
				}
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
			return send(clientRequest{Address: ma.Outbound, Method: http.MethodGet, Host: host, Path: inner + "2f", ID: newID(), Key: key, Deadline: 2 * time.Second}).Status == http.StatusOK
		}) {
			return verdict{}, setupError("%s serves nothing", ma.Name)
		}
	}
	time.Sleep(4 * time.Second)
	stop := traffic(10, func(n int) clientRequest {
		cr := clientRequest{Address: be.machines[n%len(be.machines)].Outbound, Method: http.MethodPost, Host: host, Path: outer + "2f", ID: newID(), Key: key, Body: "x", Deadline: outerDeadline}
		if be.trouble && n%outOf < leaving {
			cr.LeaveAfter = leaveAfter
		}
		return cr
	}, func(cr clientRequest, an clientAnswer) {
		mu.Lock()
		defer mu.Unlock()
		sent++
		answers[an.Status]++
		if cr.LeaveAfter > 0 {
			be.rec.printf("the client of %s has left after %.1f s", cr.ID, an.EndedAt.Sub(an.SentAt).Seconds())
		}
	})
	time.Sleep(15 * time.Second)
	stop()
	time.Sleep(3 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	refused := calls[http.StatusUnauthorized]
	allowed := 5 + float64(sent)/500
	be.rec.printf("clients' answers by status, 0 for those that left: %v; calls of upstreams by status: %v", answers, calls)
	return verdict{
		broken: float64(refused) > allowed,
		text:   fmt.Sprintf("%d of %d calls of upstreams were answered 401 by machines in touch; %.1f are allowed", refused, refused+calls[http.StatusOK], allowed),
	}, nil
}
