//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["poison"] = poison }

// poison repeats a request that crashes each upstream that begins to run it, and kills all
// nodes at the same moment after the mesh has learnt of it.
func poison(be *bed) (verdict, error) {
	const host, prefix, deadly = "casos.example", "/alta/", "/alta/veneno"
	const service = "gestiones"
	if err := be.startStore(); err != nil {
		return verdict{}, err
	}
	be.store.put("op", "config", configuration("00000003", []string{service}, []route{
		{Name: "r-write", Host: host, Prefix: prefix, Kind: "non_idempotent", Service: service, TimeoutS: 2.5, TargetS: 0.8, Attempts: 2, Priority: 1},
	}, nil))
	for _, zone := range []string{"sala-norte", "sala-centro", "sala-sur"} {
		for j := range 3 {
			ma, err := be.addMachine(fmt.Sprintf("sidecar-%s-%d", zone, j+1), zone, service)
			if err != nil {
				return verdict{}, err
			}
			cfg := upstreamOf(ma)
			cfg.CrashOn = deadly
			if err := be.startMachine(ma, cfg); err != nil {
				return verdict{}, err
			}
		}
	}
	if err := be.awaitReady(15 * time.Second); err != nil {
		return verdict{}, err
	}
	served := func(ma *machine) bool {
		an := send(clientRequest{Address: ma.Outbound, Method: http.MethodPost, Host: host, Path: prefix + "2f", ID: newID(), Body: "x", Deadline: 2 * time.Second})
		return an.Status == http.StatusOK
	}
	for _, ma := range be.machines {
		if !await(10*time.Second, func() bool { return served(ma) }) {
			return verdict{}, setupError("%s serves nothing", ma.Name)
		}
	}
	stop := traffic(30, func(n int) clientRequest {
		return clientRequest{Address: be.machines[n%len(be.machines)].Outbound, Method: http.MethodPost, Host: host, Path: prefix + "2f", ID: newID(), Body: "x", Deadline: 5 * time.Second}
	}, func(clientRequest, clientAnswer) {})
	defer stop()

	// The request comes again every 0.7 s, at one machine after the other, while all
	// machines are in touch.
	type deadlyRequest struct {
		sentAt time.Time
		id     string
	}
	var (
		mu   sync.Mutex
		sent []deadlyRequest
		done bool
	)
	again := func(from *time.Time) {
		for n := 0; ; n++ {
			mu.Lock()
			pausedUntil, over := *from, done
			mu.Unlock()
			if over {
				return
			}
			if time.Now().After(pausedUntil) {
				ma := be.machines[n%len(be.machines)]
				cr := clientRequest{Address: ma.Outbound, Method: http.MethodPost, Host: host, Path: deadly, ID: newID(), Body: "x", Deadline: 2500 * time.Millisecond}
				an := send(cr)
				mu.Lock()
				sent = append(sent, deadlyRequest{sentAt: an.SentAt, id: cr.ID})
				mu.Unlock()
				be.rec.printf("deadly request %s at %s: status %d, reached %d upstreams", cr.ID, ma.Name, an.Status, len(be.runsOf(cr.ID)))
			}
			time.Sleep(700 * time.Millisecond)
		}
	}
	var pausedUntil time.Time
	go again(&pausedUntil)
	defer func() {
		mu.Lock()
		done = true
		mu.Unlock()
	}()
	crashes := func() int {
		n := 0
		for _, ma := range be.machines {
			n += int(ma.Upstream.crashes.Load())
		}
		return n
	}
	if !await(20*time.Second, func() bool { return crashes() >= 3 }) {
		return verdict{}, setupError("the request has crashed %d upstreams", crashes())
	}
	third := time.Now()
	be.rec.printf("the request has crashed the third upstream")
	time.Sleep(12 * time.Second)
	if be.trouble {
		// Until stabilityS after the restart no machine is in touch, and the request stays away.
		mu.Lock()
		pausedUntil = time.Now().Add(time.Hour)
		mu.Unlock()
		time.Sleep(3 * time.Second)
		be.rec.printf("all nodes are killed")
		for _, ma := range be.machines {
			ma.signal(syscall.SIGKILL)
		}
		for _, ma := range be.machines {
			<-ma.exited
		}
		time.Sleep(500 * time.Millisecond)
		for _, ma := range be.machines {
			if err := ma.start(be.dir); err != nil {
				return verdict{}, setupError("node: %v", err)
			}
		}
		if err := be.awaitReady(15 * time.Second); err != nil {
			return verdict{}, err
		}
		mu.Lock()
		pausedUntil = time.Now().Add(3500 * time.Millisecond)
		mu.Unlock()
	}
	time.Sleep(time.Until(third.Add(52 * time.Second)))

	mu.Lock()
	defer mu.Unlock()
	reached := 0
	first := ""
	for _, dr := range sent {
		runs := be.runsOf(dr.id)
		if len(runs) == 0 || dr.sentAt.Before(third.Add(3*time.Second)) {
			continue
		}
		reached++
		first += fmt.Sprintf(" %.1f", dr.sentAt.Sub(third).Seconds())
	}
	return verdict{
		broken: reached > 3,
		text:   fmt.Sprintf("%d retries reached upstreams, sent by machines in touch later than stabilityS after the third crash (seconds after it:%s); 3 are allowed", reached, first),
	}, nil
}
