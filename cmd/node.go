package cmd

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/subcommands"

	"lynxfold/cmd/process"
	"lynxfold/io/ini"
	"lynxfold/io/stdout"
)

// nodeCommand runs one node.
type nodeCommand struct {
	streams
	settings string
	check    bool
}

func (*nodeCommand) Name() string     { return "node" }
func (*nodeCommand) Synopsis() string { return "run the node of one host" }

func (*nodeCommand) Usage() string {
	return `lynxfold node --settings FILE [--check]

Runs the node of one host until SIGTERM, then drains it.

Examples:
  lynxfold node --settings node.ini
  lynxfold node --settings node.ini --check

`
}

func (co *nodeCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&co.settings, "settings", "", "`file` with the node's settings")
	fs.BoolVar(&co.check, "check", false, "check the settings and stop")
}

func (co *nodeCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	hu := receiveHangups()
	defer hu.stop()
	if co.settings == "" {
		_, _ = fmt.Fprintln(co.err, "node: --settings is needed")
		return exitUsage
	}
	settingsInfo, err := os.Stat(co.settings)
	if err != nil {
		_, _ = fmt.Fprintln(co.err, err)
		return exitRefused
	}
	se, err := co.load()
	if err != nil {
		_, _ = fmt.Fprintln(co.err, err)
		return exitRefused
	}
	if co.check {
		_, _ = fmt.Fprintln(co.out, "settings are valid")
		return exitOK
	}
	ctx, cancel := signalContext(ctx)
	defer cancel()
	set := metrics.NewSet()
	wr := stdout.New(stdout.Config{
		Out:                     co.out,
		ImportantBytesPerSecond: stdout.DefaultImportantBytesPerSecond,
		RoutineBytesPerSecond:   stdout.DefaultRoutineBytesPerSecond,
		Set:                     set,
	})
	defer wr.Close()
	pr, err := process.New(se, process.Telemetry{
		Important: newLog(wr.Important(), se.Log.Level),
		Routine:   newLog(wr.Routine(), se.Log.Level),
		Metrics:   set,
	})
	if err != nil {
		_, _ = fmt.Fprintln(co.err, err)
		return exitFailure
	}
	reload := func() { pr.Reload(co.load()) }
	hu.handle(reload)
	go watchFile(ctx, co.settings, settingsInfo, reload)
	go func() {
		<-ctx.Done()
		second, cancel := signalContext(context.Background())
		defer cancel()
		<-second.Done()
		pr.Abort()
	}()
	pr.Run(ctx)
	return exitOK
}

// load reads the settings and completes them for the platform's protocol.
func (co *nodeCommand) load() (*ini.Settings, error) {
	se, err := ini.Load(co.settings)
	if err != nil {
		return nil, err
	}
	return se, process.Prepare(se)
}
