package cmd

import (
	"context"
	"flag"
	"fmt"
	"net"
	"time"

	"github.com/google/subcommands"

	platformstandin "lynxfold/io/platform/standin"
	upstreamstandin "lynxfold/io/upstream/standin"
)

// standinCommand runs a stand-in for the platform or an upstream.
type standinCommand struct {
	streams
	listen      string
	service     string
	name        string
	announceTo  string
	slots       int
	serviceTime time.Duration
}

func (*standinCommand) Name() string     { return "standin" }
func (*standinCommand) Synopsis() string { return "run a stand-in platform or upstream for tests" }

func (*standinCommand) Usage() string {
	return `lynxfold standin [flags] platform|upstream

Runs a stand-in until SIGTERM. It is for demonstrations and tests.

Examples:
  lynxfold standin --listen 127.0.0.1:7300 platform
  lynxfold standin --listen 127.0.0.1:7500 --service portal --announce-to http://127.0.0.1:7402 upstream

`
}

func (co *standinCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&co.listen, "listen", "127.0.0.1:0", "`address` to listen on")
	fs.StringVar(&co.service, "service", "portal", "`service` of the upstream")
	fs.StringVar(&co.name, "name", "upstream", "`name` that the upstream answers with")
	fs.StringVar(&co.announceTo, "announce-to", "", "`URL` of the host's node")
	fs.IntVar(&co.slots, "slots", 20, "calls that the upstream runs at once")
	fs.DurationVar(&co.serviceTime, "work", 2*time.Millisecond, "time that a call takes")
}

func (co *standinCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := signalContext(ctx)
	defer cancel()
	switch fs.Arg(0) {
	case "platform":
		return co.platform(ctx)
	case "upstream":
		return co.upstream(ctx)
	}
	_, _ = fmt.Fprintln(co.err, "standin: name platform or upstream")
	return exitUsage
}

func (co *standinCommand) platform(ctx context.Context) subcommands.ExitStatus {
	li, err := net.Listen("tcp", co.listen)
	if err != nil {
		_, _ = fmt.Fprintln(co.err, err)
		return exitFailure
	}
	sv := platformstandin.New()
	_, _ = fmt.Fprintf(co.out, "http://%s\n", li.Addr())
	go func() {
		<-ctx.Done()
		_ = sv.Shutdown()
	}()
	if err := sv.Serve(li); err != nil {
		_, _ = fmt.Fprintln(co.err, err)
		return exitFailure
	}
	return exitOK
}

// announceInterval is the time between two announcements of a stand-in upstream.
const announceInterval = 500 * time.Millisecond

func (co *standinCommand) upstream(ctx context.Context) subcommands.ExitStatus {
	sv, err := upstreamstandin.Start(co.listen, upstreamstandin.Config{
		Name:             co.name,
		Service:          co.service,
		Slots:            co.slots,
		ServiceTime:      co.serviceTime,
		ColdFactor:       1,
		AnnounceTo:       co.announceTo,
		AnnounceInterval: announceInterval,
	})
	if err != nil {
		_, _ = fmt.Fprintln(co.err, err)
		return exitFailure
	}
	_, _ = fmt.Fprintf(co.out, "http://%s\n", sv.Address())
	<-ctx.Done()
	sv.Stop()
	return exitOK
}
