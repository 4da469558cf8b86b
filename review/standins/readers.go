//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["readers"] = readers }

// watchReads records which machines read the operator's table.
type watchReads struct {
	mu   sync.Mutex
	seen map[string]time.Time
}

func (wr *watchReads) note(addr string) {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	wr.seen[addr] = time.Now()
}

func (wr *watchReads) since(at time.Time) map[string]bool {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	all := map[string]bool{}
	for addr, seenAt := range wr.seen {
		if seenAt.After(at) {
			all[addr] = true
		}
	}
	return all
}

// readers has the store turn away a third of the machines, those that read the
// configuration for the others, while the configuration changes.
func readers(be *bed) (verdict, error) {
	const (
		host, prefix     = "casos.example", "/consulta/"
		reading, writing = "expedientes", "gestiones"
		perZone          = 12
		refusedFor       = 9 * time.Second
		maxShare         = 0.35
	)
	services := []string{reading, writing}
	lookup := route{Name: "r-lookup", Host: host, Prefix: prefix, Kind: "idempotent", Service: reading, TimeoutS: 2, TargetS: 0.6, Attempts: 2, Priority: 2}
	if err := be.startStore(); err != nil {
		return verdict{}, err
	}
	watch := &watchReads{seen: map[string]time.Time{}}
	next := be.store.server.Handler
	be.store.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, rq *http.Request) {
		if la, ok := rq.Context().Value(http.LocalAddrContextKey).(net.Addr); ok && rq.URL.Query().Get("table") == "op" {
			watch.note(la.String())
		}
		next.ServeHTTP(w, rq)
	})
	be.store.put("op", "config", configuration("00000003", services, []route{lookup}, nil))
	byStore := map[string]*machine{}
	for _, zone := range []string{"sala-norte", "sala-centro", "sala-sur"} {
		for j := range perZone {
			ma, err := be.addMachine(fmt.Sprintf("sidecar-%s-%d", zone, j+1), zone, services[j%2])
			if err != nil {
				return verdict{}, err
			}
			// Each machine reaches the store at an address of its own, so that it can be told apart.
			if ma.storeAddr, err = be.store.listen(be.net + "1"); err != nil {
				return verdict{}, setupError("store: %v", err)
			}
			byStore[ma.storeAddr] = ma
			if err := be.startMachine(ma, upstreamOf(ma)); err != nil {
				return verdict{}, err
			}
		}
	}
	if err := be.awaitReady(30 * time.Second); err != nil {
		return verdict{}, err
	}
	time.Sleep(10 * time.Second)

	// Who reads, and who reads in the place of those that are turned away?
	turnedAway := map[string]bool{}
	for until := time.Now().Add(12 * time.Second); time.Now().Before(until); {
		begun := time.Now()
		time.Sleep(2500 * time.Millisecond)
		for addr := range watch.since(begun) {
			if !turnedAway[addr] {
				turnedAway[addr] = true
				be.store.refuse(addr, true)
				be.rec.printf("%s reads the configuration from the store", byStore[addr].Name)
			}
		}
	}
	for addr := range turnedAway {
		be.store.refuse(addr, false)
	}
	share := float64(len(turnedAway)) / float64(len(be.machines))
	if len(turnedAway) == 0 || share > maxShare {
		return verdict{}, setupError("%d of %d machines read the store", len(turnedAway), len(be.machines))
	}
	be.rec.printf("%d of %d machines read; all are served again", len(turnedAway), len(be.machines))
	// stabilityS and more.
	time.Sleep(12 * time.Second)

	var mu sync.Mutex
	var looks []seen
	stop := traffic(72, func(n int) clientRequest {
		return clientRequest{Address: be.machines[n%len(be.machines)].Outbound, Method: http.MethodGet, Host: host, Path: prefix + "2f", ID: newID(), Deadline: 4 * time.Second}
	}, func(cr clientRequest, an clientAnswer) {
		for _, ma := range be.machines {
			if ma.Outbound == cr.Address {
				mu.Lock()
				looks = append(looks, seen{node: ma.storeAddr, sentAt: an.SentAt, id: cr.ID, status: an.Status})
				mu.Unlock()
			}
		}
	})
	if be.trouble {
		be.rec.printf("the store turns away these %d machines with 503", len(turnedAway))
		for addr := range turnedAway {
			be.store.refuse(addr, true)
		}
	}
	time.Sleep(200 * time.Millisecond)
	lookup.Service = writing
	be.store.put("op", "config", configuration("00000007", services, []route{lookup}, nil))
	acked := time.Now()
	end := acked.Add(refusedFor - 200*time.Millisecond)
	time.Sleep(time.Until(end))
	for addr := range turnedAway {
		be.store.refuse(addr, false)
	}
	be.rec.printf("the store serves all machines")
	time.Sleep(3 * time.Second)
	stop()

	// configApplyS and partitionMaxS.
	inForce := acked.Add((2 + 5) * time.Second)
	old, fresh := 0, 0
	for _, lo := range looks {
		if lo.sentAt.Before(inForce) || lo.sentAt.After(end) || turnedAway[lo.node] {
			continue
		}
		runs := be.runsOf(lo.id)
		if len(runs) == 0 {
			continue
		}
		if runs[0].Service == reading {
			old++
			be.rec.printf("request %s sent to %s, which the store served, %.1f s after the acknowledgement: run by %s", lo.id, byStore[lo.node].Name, lo.sentAt.Sub(acked).Seconds(), reading)
		} else {
			fresh++
		}
	}
	return verdict{
		broken: old > 0,
		text: fmt.Sprintf("while the store turned %d of %d machines away, %d requests sent to the others later than 7 s after the acknowledgement were run as only the older version allows, %d as the new one does",
			len(turnedAway), len(be.machines), old, fresh),
	}, nil
}
