package cmd

import (
	"context"
	"flag"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/subcommands"

	"lynxfold/cmd/process"
	"lynxfold/core/contract"
	"lynxfold/io/ini"
	"lynxfold/io/operator"
	platformstandin "lynxfold/io/platform/standin"
	upstreamstandin "lynxfold/io/upstream/standin"
)

// quickstartCommand runs a small mesh in one process on loopback.
type quickstartCommand struct {
	streams
	level string
}

func (*quickstartCommand) Name() string     { return "quickstart" }
func (*quickstartCommand) Synopsis() string { return "run a small mesh on this machine to try it out" }

func (*quickstartCommand) Usage() string {
	return `lynxfold quickstart

Runs a stand-in platform, three nodes in two data centres and their upstreams
in one process on loopback, until Ctrl-C.

Example:
  go run . quickstart

`
}

func (co *quickstartCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&co.level, "log-level", "warn", "least `level` that is logged")
}

// demoHost is one host of the demonstration mesh.
type demoHost struct {
	name       string
	dataCentre string
	service    string
}

var demoHosts = []demoHost{
	{name: "press-hall-1", dataCentre: "press-hall", service: "lookup"},
	{name: "curing-room-1", dataCentre: "curing-room", service: "booking"},
	{name: "curing-room-2", dataCentre: "curing-room", service: "lookup"},
}

const (
	demoSlots       = 20
	demoServiceTime = 2 * time.Millisecond
	// demoReadyTimeout bounds the wait until the demonstration is usable.
	demoReadyTimeout = 15 * time.Second
)

// demoDocument has an idempotent lookup route and a non-idempotent booking route.
const demoDocument = `{
  "services": [{"name": "lookup"}, {"name": "booking"}],
  "contracts": [
    {"name": "read", "idempotent": true, "timeout_ms": 2000, "retries": 2},
    {"name": "book", "timeout_ms": 5000, "retries": 1}
  ],
  "routes": [
    {"name": "results", "path_prefix": "/results", "methods": ["GET"], "service": "lookup", "contract": "read"},
    {"name": "bookings", "path_prefix": "/bookings", "methods": ["POST"], "service": "booking", "contract": "book"}
  ]
}`

// demo is the running demonstration.
type demo struct {
	platform   *platformstandin.Server
	url        string
	nodes      []*process.Process
	stopFuncs  []func()
	goroutines sync.WaitGroup
}

func (co *quickstartCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := signalContext(ctx)
	defer cancel()
	de := &demo{}
	defer de.stop()
	if err := de.start(co); err != nil {
		_, _ = fmt.Fprintln(co.err, err)
		return exitFailure
	}
	if err := de.prepare(ctx); err != nil {
		_, _ = fmt.Fprintln(co.err, err)
		return exitFailure
	}
	de.print(co)
	<-ctx.Done()
	return exitOK
}

func (de *demo) start(co *quickstartCommand) error {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	de.url = "http://" + li.Addr().String()
	de.platform = platformstandin.New()
	de.goroutines.Go(func() { _ = de.platform.Serve(li) })
	de.stopFuncs = append(de.stopFuncs, func() { _ = de.platform.Shutdown() })
	for _, dh := range demoHosts {
		if err := de.startHost(co, dh); err != nil {
			return err
		}
	}
	return nil
}

func (de *demo) startHost(co *quickstartCommand, dh demoHost) error {
	contacts := ""
	if len(de.nodes) > 0 {
		contacts = "contacts = " + de.nodes[0].Addresses().Link
	}
	text := fmt.Sprintf(`
[mesh]
name = quickstart
fleet_size = %d
[host]
id = %s
data_centre = %s
[link]
listen = 127.0.0.1:0
%s
[caller]
listen = 127.0.0.1:0
[upstream]
listen = 127.0.0.1:0
[operator]
listen = 127.0.0.1:0
[platform]
table_url = %s
object_url = %s
`, len(demoHosts), dh.name, dh.dataCentre, contacts, de.url, de.url)
	se, err := ini.Parse(dh.name, []byte(text))
	if err != nil {
		return err
	}
	pr, err := process.New(se, process.Telemetry{
		Important: newLog(co.err, co.level),
		Routine:   newLog(co.err, co.level),
		Metrics:   metrics.NewSet(),
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	de.goroutines.Go(func() { pr.Run(ctx) })
	de.nodes = append(de.nodes, pr)
	de.stopFuncs = append(de.stopFuncs, cancel)
	sv, err := upstreamstandin.Start("127.0.0.1:0", upstreamstandin.Config{
		Name:             dh.name,
		Service:          dh.service,
		Slots:            demoSlots,
		ServiceTime:      demoServiceTime,
		ColdFactor:       1,
		AnnounceTo:       "http://" + pr.Addresses().Upstream,
		AnnounceInterval: announceInterval,
	})
	if err != nil {
		return err
	}
	de.stopFuncs = append(de.stopFuncs, sv.Stop)
	return nil
}

// prepare submits the demonstration's document and waits until every node can serve
// every route.
func (de *demo) prepare(ctx context.Context) error {
	cl, err := newNodeClient(de.nodes[0])
	if err != nil {
		return err
	}
	err = cl.request("POST", "/api/config", operator.ConfigBody{
		Document: []byte(demoDocument),
	}, nil)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, demoReadyTimeout)
	defer cancel()
	for !de.allNodesServe() {
		select {
		case <-time.After(announceInterval / 10):
		case <-ctx.Done():
			return &NotReadyError{}
		}
	}
	return nil
}

// newNodeClient returns an API client for one of the demonstration's nodes.
func newNodeClient(pr *process.Process) (*client, error) {
	cl := &client{node: "http://" + pr.Addresses().Operator}
	return cl, cl.configure()
}

// NotReadyError reports a demonstration that did not become usable in time.
type NotReadyError struct{}

func (er *NotReadyError) Error() string { return "the demonstration did not become ready" }

func (de *demo) allNodesServe() bool {
	for _, pr := range de.nodes {
		var st operator.Status
		cl, err := newNodeClient(pr)
		if err != nil || cl.request("GET", "/api/status", nil, &st) != nil {
			return false
		}
		if st.Version == 0 || !allUpstreamsKnown(st.Services) {
			return false
		}
	}
	return true
}

func allUpstreamsKnown(services []operator.ServiceStatus) bool {
	want := map[contract.ServiceName]int{}
	for _, dh := range demoHosts {
		want[contract.ServiceName(dh.service)]++
	}
	for _, se := range services {
		if se.Upstreams != want[se.Service] {
			return false
		}
	}
	return len(services) == len(want)
}

func (de *demo) print(co *quickstartCommand) {
	ad := de.nodes[0].Addresses()
	_, _ = fmt.Fprintf(co.out, `lynxfold runs: 3 nodes in 2 data centres, version 1 in force

console   http://%s/
callers   http://%s/
platform  %s

An idempotent lookup:
  curl -i http://%s/results/cube-17
A non-idempotent booking, through two nodes and over a link:
  curl -i -X POST -d 'cube 17' http://%s/bookings

Ctrl-C ends it.
`, ad.Operator, ad.Caller, de.url, ad.Caller, ad.Caller)
}

func (de *demo) stop() {
	for i := len(de.stopFuncs) - 1; i >= 0; i-- {
		de.stopFuncs[i]()
	}
	de.goroutines.Wait()
}
