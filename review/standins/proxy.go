//go:build review

package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections to a machine's link address until it is cut.
type proxy struct {
	li     net.Listener
	target string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

func newProxy(ip, target string) (*proxy, error) {
	li, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	px := &proxy{li: li, target: target, conns: map[net.Conn]bool{}}
	go px.serve()
	return px, nil
}

func (px *proxy) addr() string { return px.li.Addr().String() }

func (px *proxy) serve() {
	for {
		nc, err := px.li.Accept()
		if err != nil {
			return
		}
		go px.forward(nc)
	}
}

func (px *proxy) track(nc net.Conn) bool {
	px.mu.Lock()
	defer px.mu.Unlock()
	if px.cut {
		return false
	}
	px.conns[nc] = true
	return true
}

func closeHard(nc net.Conn) {
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = nc.Close()
}

func (px *proxy) forward(nc net.Conn) {
	if !px.track(nc) {
		closeHard(nc)
		return
	}
	to, err := net.Dial("tcp", px.target)
	if err != nil || !px.track(to) {
		closeHard(nc)
		if err == nil {
			closeHard(to)
		}
		return
	}
	var wg sync.WaitGroup
	wg.Add(2)
	for _, it := range [][2]net.Conn{{nc, to}, {to, nc}} {
		go func() {
			defer wg.Done()
			_, _ = io.Copy(it[1], it[0])
			closeHard(it[0])
			closeHard(it[1])
		}()
	}
	wg.Wait()
	px.mu.Lock()
	delete(px.conns, nc)
	delete(px.conns, to)
	px.mu.Unlock()
}

// setCut resets all connections and those that follow, until it is called again.
func (px *proxy) setCut(cut bool) {
	px.mu.Lock()
	defer px.mu.Unlock()
	px.cut = cut
	if cut {
		for nc := range px.conns {
			closeHard(nc)
		}
	}
}

func (px *proxy) stop() { _ = px.li.Close(); px.setCut(true) }
