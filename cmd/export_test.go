package cmd

import (
	"flag"
	"io"
)

// Parses reports whether a command line names a command and only flags that it has.
func Parses(args []string) bool {
	for _, co := range commands(streams{out: io.Discard, err: io.Discard}) {
		if len(args) == 0 || co.Name() != args[0] {
			continue
		}
		fs := flag.NewFlagSet(co.Name(), flag.ContinueOnError)
		fs.SetOutput(io.Discard)
		co.SetFlags(fs)
		return fs.Parse(args[1:]) == nil
	}
	return false
}
