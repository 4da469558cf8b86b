// Command slopes measures the resource costs of a node at several sizes of what
// drives each cost, and writes the fitted slopes as JSON Lines.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"runtime"
	"strings"
	"time"

	"lynxfold/bench/capacity"
)

// step is a named measurement of one or more slopes.
type step struct {
	name string
	run  func() ([]capacity.Slope, error)
}

func steps() []step {
	return []step{
		{name: "config", run: measureConfig},
		{name: "members", run: measureMembers},
		{name: "join", run: measureJoin},
		{name: "spread", run: measureSpread},
		{name: "gate", run: measureGate},
		{name: "readers", run: measureReaders},
		{name: "links", run: measureLinks},
		{name: "calls", run: measureCalls},
	}
}

func main() {
	out := flag.String("out", "", "`file` to write the JSON Lines to")
	only := flag.String("only", "", "`pattern` of the steps to run")
	keep := flag.String("keep", "", "`file` of a previous run with the slopes of the steps not run")
	note := flag.String("note", "", "`text` about the run, such as other load on the machine")
	flag.Parse()
	if err := run(*out, *only, *keep, *note); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(out, only, keep, note string) error {
	pattern, err := regexp.Compile(only)
	if err != nil {
		return err
	}
	me := &capacity.Measurement{Machine: describeMachine(note)}
	for _, st := range steps() {
		if !pattern.MatchString(st.name) {
			continue
		}
		slopes, err := st.run()
		if err != nil {
			return fmt.Errorf("measure %s: %w", st.name, err)
		}
		for _, sl := range slopes {
			fi, err := capacity.FitLine(sl.Points)
			if err != nil {
				return fmt.Errorf("fit %s: %w", sl.Name, err)
			}
			sl.Fit = fi
			me.Slopes = append(me.Slopes, sl)
			fmt.Printf("%-28s %12s %-28s base %12s residual %.1f%%\n", sl.Name,
				capacity.FormatNumber(fi.Slope), sl.Unit+" per "+sl.Driver, capacity.FormatNumber(fi.Intercept), 100*fi.Residual)
		}
	}
	if out == "" {
		return nil
	}
	if keep != "" {
		if err := me.AddMissing(keep); err != nil {
			return fmt.Errorf("add slopes of previous run: %w", err)
		}
	}
	return me.Write(out)
}

func describeMachine(note string) capacity.Machine {
	return capacity.Machine{
		TakenAt:   time.Now().UTC().Format(time.RFC3339),
		Processor: readField("/proc/cpuinfo", "model name"),
		Cores:     runtime.NumCPU(),
		MemoryMB:  memoryMB(),
		Go:        runtime.Version(),
		Commit:    currentCommit(),
		Note:      note,
	}
}

// readField returns the first value of a name in a file of "name : value" lines, or
// the empty string.
func readField(path, name string) string {
	data, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	for line := range strings.Lines(string(data)) {
		na, va, ok := strings.Cut(line, ":")
		if ok && strings.TrimSpace(na) == name {
			return strings.TrimSpace(va)
		}
	}
	return ""
}

func memoryMB() int {
	var kb int
	if _, err := fmt.Sscanf(readField("/proc/meminfo", "MemTotal"), "%d kB", &kb); err != nil {
		return 0
	}
	return kb / 1024
}

func currentCommit() string {
	out, err := exec.Command("git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}
