//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["drill"] = drill }

// seen is the answer to a request that shows which configuration is in force.
type seen struct {
	node   string
	sentAt time.Time
	id     string
	status int
}

// drill changes the configuration at the moment at which the store goes away for a drill.
func drill(be *bed) (verdict, error) {
	const host, prefix = "casos.example", "/consulta/"
	const reading, writing = "expedientes", "gestiones"
	services := []string{reading, writing}
	lookup := route{Name: "r-lookup", Host: host, Prefix: prefix, Kind: "idempotent", Service: reading, TimeoutS: 2, TargetS: 0.6, Attempts: 2, Priority: 2}
	if err := be.startStore(); err != nil {
		return verdict{}, err
	}
	be.store.put("op", "config", configuration("00000003", services, []route{lookup}, nil))
	for _, zone := range []string{"sala-norte", "sala-centro", "sala-sur"} {
		for j, service := range services {
			ma, err := be.addMachine(fmt.Sprintf("sidecar-%s-%d", zone, j+1), zone, service)
			if err != nil {
				return verdict{}, err
			}
			ma.bootstrap = true
			if err := be.startMachine(ma, upstreamOf(ma)); err != nil {
				return verdict{}, err
			}
		}
	}
	if err := be.awaitReady(15 * time.Second); err != nil {
		return verdict{}, err
	}

	var mu sync.Mutex
	var looks []seen
	stop := traffic(20, func(n int) clientRequest {
		ma := be.machines[[]int{0, 2, 3, 4, 5}[n%5]]
		return clientRequest{Address: ma.Outbound, Method: http.MethodGet, Host: host, Path: prefix + "2f", ID: newID(), Deadline: 4 * time.Second}
	}, func(cr clientRequest, an clientAnswer) {
		for _, ma := range be.machines {
			if ma.Outbound == cr.Address {
				mu.Lock()
				looks = append(looks, seen{node: ma.Name, sentAt: an.SentAt, id: cr.ID, status: an.Status})
				mu.Unlock()
			}
		}
	})
	// The rows of all zones are written in the first seconds.
	time.Sleep(12 * time.Second)

	// An upstream leaves, and its machine with it, so that the system writes its row of the
	// zone again.
	written := make(chan uint64, 16)
	be.store.mu.Lock()
	be.store.onWrite = func(string) {
		select {
		case written <- be.store.version:
		default:
		}
	}
	be.store.mu.Unlock()
	leaving := be.machines[1]
	be.rec.printf("the upstream of %s leaves, and then its machine", leaving.Name)
	leaving.Upstream.drainAndStop(2200 * time.Millisecond)
	leaving.signal(syscall.SIGTERM)
	<-leaving.exited
	var before uint64
	select {
	case before = <-written:
	case <-time.After(45 * time.Second):
		stop()
		return verdict{}, setupError("the system has written nothing")
	}
	// All reads have returned that version some seconds later.
	time.Sleep(3 * time.Second)
	for more := true; more; {
		select {
		case <-written: // the copy is from before the first of them
		default:
			more = false
		}
	}
	be.store.mu.Lock()
	lost := be.store.version - before + 1
	be.store.mu.Unlock()
	be.rec.printf("the system has written %d rows in the last seconds", lost)

	lookup.Service = writing
	changed := configuration("00000007", services, []route{lookup}, nil)
	if be.trouble {
		// The store acknowledges the change and goes away in the same moment.
		be.store.mu.Lock()
		be.store.putLocked("op", "config", changed)
		be.store.leaveLocked()
		be.store.mu.Unlock()
		time.Sleep(2 * time.Second)
		be.store.comeBack(before, map[string][]byte{"config": changed})
	} else {
		be.store.put("op", "config", changed)
	}
	back := time.Now()
	// stabilityS, configApplyS and partitionMaxS.
	inForce := back.Add((3 + 2 + 5) * time.Second)
	time.Sleep(time.Until(inForce) + 20*time.Second)
	stop()

	old, fresh, failed := 0, 0, 0
	first := ""
	for _, lo := range looks {
		if lo.sentAt.Before(inForce) {
			continue
		}
		runs := be.runsOf(lo.id)
		switch {
		case len(runs) == 0:
			failed++
		case runs[0].Service == reading:
			old++
			if first == "" {
				first = fmt.Sprintf("request %s, sent to %s %.1f s after the store was back, was run by %s", lo.id, lo.node, lo.sentAt.Sub(back).Seconds(), reading)
			}
			be.rec.printf("request %s sent to %s %.1f s after the acknowledgement: run by %s, as only version 3 allows", lo.id, lo.node, lo.sentAt.Sub(back).Seconds(), reading)
		default:
			fresh++
		}
	}
	return verdict{
		broken: old > 0,
		text:   fmt.Sprintf("from 10 s after the acknowledgement on, %d requests were run as only the older version allows, %d as the new one does, %d not at all; %s", old, fresh, failed, first),
	}, nil
}
