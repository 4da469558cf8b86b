package upstream

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"lynxfold/core/host"
	"lynxfold/core/wire"
)

// BenchmarkConnections compares a reused connection with a new one for each call,
// and counts the calls with an unknown outcome (doubts) when the upstream closes
// connections at random times after its responses.
func BenchmarkConnections(b *testing.B) {
	for _, it := range []struct {
		name string
		// age is added to the idle time of every connection.
		age   time.Duration
		close bool
	}{
		{name: "kept"},
		{name: "new", age: maxNonIdempotentIdleTime},
		{name: "kept, closing upstream", close: true},
		{name: "new, closing upstream", age: maxNonIdempotentIdleTime, close: true},
	} {
		b.Run(it.name, func(b *testing.B) {
			address := startClosingUpstream(b, it.close)
			cl := NewClient()
			defer cl.Close()
			doubts := 0
			for b.Loop() {
				cl.mu.Lock()
				for _, co := range cl.idle {
					co.lastUsedAt = co.lastUsedAt.Add(-it.age)
				}
				cl.mu.Unlock()
				rq := &wire.Request{Method: []byte("POST"), Uri: []byte("/bookings")}
				re := cl.Do(context.Background(), Destination{Address: address}, rq, nil, Hooks{
					OnEnd: func(rs Result) {
						if rs.Outcome == host.OutcomeUnknown {
							doubts++
						}
					},
				})
				if re.Refusal != nil && it.close {
					continue
				}
			}
			b.ReportMetric(float64(doubts)/float64(b.N)*1e6, "doubts/million")
		})
	}
}

// startClosingUpstream starts an upstream; if closes is set, it closes each
// connection up to 200 µs after a response.
func startClosingUpstream(b *testing.B, closes bool) string {
	b.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = li.Close() })
	rnd := rand.New(rand.NewPCG(1, 2))
	go func() {
		for {
			nc, err := li.Accept()
			if err != nil {
				return
			}
			go serveShortResponses(nc, closes, time.Duration(rnd.IntN(200))*time.Microsecond)
		}
	}()
	return li.Addr().String()
}

func serveShortResponses(nc net.Conn, closes bool, after time.Duration) {
	defer func() { _ = nc.Close() }()
	rd := bufio.NewReader(nc)
	for {
		for {
			line, err := rd.ReadString('\n')
			if err != nil {
				return
			}
			if line == "\r\n" {
				break
			}
		}
		if _, err := io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
		if closes {
			time.AfterFunc(after, func() { _ = nc.Close() })
		}
	}
}
