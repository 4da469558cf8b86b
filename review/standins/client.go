//go:build review

package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// clientRequest is one attempt of a client.
type clientRequest struct {
	Address, Method, Host, Path, ID, Key, Body string
	Deadline                                   time.Duration
	// LeaveAfter is when the client closes the connection; 0 means at its deadline.
	LeaveAfter time.Duration
}

// clientAnswer is what the client got for it.
type clientAnswer struct {
	SentAt, EndedAt time.Time
	Status          int
	Signed          bool
	Body            string
	Err             error
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request on a new connection.
func send(cr clientRequest) clientAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(cr.LeaveAfter, cr.Deadline))
	defer cancel()
	an := clientAnswer{SentAt: time.Now()}
	rq, err := http.NewRequestWithContext(ctx, cr.Method, "http://"+cr.Address+cr.Path, strings.NewReader(cr.Body))
	if err != nil {
		an.Err = err
		return an
	}
	rq.Host = cr.Host
	rq.Header.Set("Attempt-Id", cr.ID)
	rq.Header.Set("Deadline-Ms", strconv.FormatInt(cr.Deadline.Milliseconds(), 10))
	if cr.Key != "" {
		rq.Header.Set("Authorization", "Bearer "+cr.Key)
	}
	tr := &http.Transport{DisableKeepAlives: true}
	defer tr.CloseIdleConnections()
	rs, err := tr.RoundTrip(rq)
	if err != nil {
		an.Err, an.EndedAt = err, time.Now()
		return an
	}
	defer func() { _ = rs.Body.Close() }()
	body, err := io.ReadAll(rs.Body)
	an.EndedAt = time.Now()
	an.Status, an.Body, an.Err = rs.StatusCode, string(body), err
	an.Signed = rs.Header.Get("Upstream-Signature") != ""
	return an
}

// traffic sends requests at a rate until stop is called, which waits for the answers.
func traffic(perSecond float64, request func(n int) clientRequest, each func(cr clientRequest, an clientAnswer)) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		ti := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ti.Stop()
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-ti.C:
			}
			cr := request(n)
			wg.Add(1)
			go func() {
				defer wg.Done()
				each(cr, send(cr))
			}()
		}
	}()
	return func() { close(done); wg.Wait() }
}
