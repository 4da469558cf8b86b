// Package cmd implements the command line. Each command has a file of its own that
// parses flags, wires the components and runs them.
package cmd

import (
	"context"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/rs/zerolog"
)

// Exit codes of all commands.
const (
	exitOK       = subcommands.ExitSuccess
	exitFailure  = subcommands.ExitFailure
	exitUsage    = subcommands.ExitUsageError
	exitRefused  = subcommands.ExitStatus(3)
	exitConflict = subcommands.ExitStatus(4)
	exitInDoubt  = subcommands.ExitStatus(5)
	// exitNotEverywhere means that a version is accepted but not yet in force on all hosts.
	exitNotEverywhere = subcommands.ExitStatus(6)
)

// streams are the output streams of a command.
type streams struct {
	out io.Writer
	err io.Writer
}

// Run runs the command that the arguments name and returns its exit code.
func Run(args []string, out, err io.Writer) int {
	st := streams{
		out: out,
		err: err,
	}
	fs := flag.NewFlagSet("lynxfold", flag.ContinueOnError)
	fs.SetOutput(err)
	cd := subcommands.NewCommander(fs, "lynxfold")
	cd.Output = out
	cd.Error = err
	cd.Register(cd.HelpCommand(), "")
	for _, co := range commands(st) {
		cd.Register(co, "")
	}
	if fs.Parse(args) != nil {
		return int(exitUsage)
	}
	return int(cd.Execute(context.Background()))
}

func commands(st streams) []subcommands.Command {
	return []subcommands.Command{
		&nodeCommand{streams: st},
		&checkCommand{streams: st},
		&applyCommand{streams: st},
		&statusCommand{streams: st},
		&explainCommand{streams: st},
		&tokenCommand{streams: st},
		&rolloutCommand{streams: st},
		&quickstartCommand{streams: st},
		&standinCommand{streams: st},
	}
}

// signalContext returns a context that ends on SIGINT or SIGTERM.
func signalContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
}

// hangups receives the signal SIGHUP. While nothing receives it, the signal ends the process.
type hangups struct {
	signals chan os.Signal
	ended   chan struct{}
}

// receiveHangups receives SIGHUP until stop is called. One that arrives before handle is
// called is kept.
func receiveHangups() *hangups {
	hu := &hangups{
		signals: make(chan os.Signal, 1),
		ended:   make(chan struct{}),
	}
	signal.Notify(hu.signals, syscall.SIGHUP)
	return hu
}

// handle calls a function on each SIGHUP until stop is called.
func (hu *hangups) handle(call func()) {
	go func() {
		for {
			select {
			case <-hu.signals:
				call()
			case <-hu.ended:
				return
			}
		}
	}()
}

func (hu *hangups) stop() {
	signal.Stop(hu.signals)
	close(hu.ended)
}

// watchInterval is the time between two checks whether a file has changed.
const watchInterval = time.Second

// watchFile calls a function whenever a file differs from its previous state, until the
// context ends. A file that is missing while it is being replaced counts as unchanged.
func watchFile(ctx context.Context, path string, previous os.FileInfo, call func()) {
	ti := time.NewTicker(watchInterval)
	defer ti.Stop()
	for {
		select {
		case <-ti.C:
		case <-ctx.Done():
			return
		}
		now, err := os.Stat(path)
		if err != nil || now.ModTime().Equal(previous.ModTime()) && now.Size() == previous.Size() {
			continue
		}
		previous = now
		call()
	}
}

// logTimeFormat is the time format of log lines.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

func newLog(wr io.Writer, level string) zerolog.Logger {
	le, err := zerolog.ParseLevel(level)
	if err != nil {
		le = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = logTimeFormat
	return zerolog.New(wr).Level(le).With().Timestamp().Logger()
}
