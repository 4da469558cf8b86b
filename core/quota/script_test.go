package quota_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"lynxfold/core/contract"
	"lynxfold/core/datacentre"
	"lynxfold/core/host"
	"lynxfold/core/quota"
)

// script runs the commands of a test data file against the ledger and the keeper of the
// host "here".
type script struct {
	ledger *quota.Ledger
	keeper *quota.Keeper
	limit  quota.Limit
	now    time.Time
}

// TestScripts runs the files in testdata/script.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/script", func(t *testing.T, path string) {
		now := time.Unix(1_000_000, 0)
		sc := &script{
			ledger: quota.NewLedger(1),
			keeper: quota.NewKeeper(quota.KeeperConfig{
				Host:      "here",
				StartedAt: now,
				FleetSize: 1,
			}),
			now: now,
		}
		datadriven.RunTest(t, path, sc.run)
	})
}

func (sc *script) run(t *testing.T, td *datadriven.TestData) string {
	const cu = contract.CustomerName("acme")
	switch td.Cmd {
	case "hosts": // in rendezvous order of the customer; "lost=n", a suspect ends in "?"
		hl := sc.hosts(t, td)
		sc.ledger.SetHosts(hl)
		sc.keeper.SetHosts(hl, sc.now)
		rank := []string{}
		for _, lh := range hl.Rank(nil, string(cu), len(hl.Live)) {
			rank = append(rank, string(lh.ID))
		}
		return strings.Join(rank, " ")
	case "limit":
		sc.limit = limitOf(scan[float64](t, td, "rate"), scan[float64](t, td, "burst"), int(sc.limit.Version)+1)
		return ""
	case "advance":
		period, err := time.ParseDuration(td.CmdArgs[0].Key)
		assert.NilError(t, err)
		for end := sc.now.Add(period); sc.now.Before(end); { // the keeper ticks all the time
			sc.now = sc.now.Add(min(100*time.Millisecond, end.Sub(sc.now)))
			if !td.HasArg("paused") {
				sc.keeper.Tick(sc.now)
			}
		}
		return ""
	case "admit":
		for range scan[int](t, td, "before") {
			sc.ledger.Admit(cu, sc.limit, false, sc.now)
		}
		return sc.describe(sc.ledger.Admit(cu, sc.limit, td.HasArg("again"), sc.now))
	case "replied":
		re := quota.Reply{
			Granted:  scan[int](t, td, "granted"),
			Declined: td.HasArg("declined"),
		}
		if td.HasArg("retry") {
			re.RetryAt = sc.now.Add(time.Duration(scan[int](t, td, "retry")) * time.Millisecond)
		}
		sc.ledger.Replied(cu, host.ID(td.CmdArgs[0].Key), re, sc.now, sc.now)
		return ""
	case "timed-out":
		sc.ledger.TimedOut(cu, host.ID(td.CmdArgs[0].Key), sc.now)
		return ""
	case "abandon":
		return sc.describe(sc.ledger.Abandon(cu, sc.limit, sc.now))
	case "give-back":
		sc.ledger.GiveBack(cu, sc.now)
		return ""
	case "unresponsive":
		sc.keeper.MarkUnresponsive(host.ID(td.CmdArgs[0].Key), td.HasArg("stopped"), sc.now)
		return ""
	case "take":
		return sc.take(sc.keeper.Take(quota.Request{
			Customer:   cu,
			Limit:      sc.limit,
			Want:       scan[int](t, td, "want"),
			Returned:   scan[int](t, td, "returned"),
			Unanswered: td.HasArg("unanswered"),
		}, sc.now))
	}
	t.Fatalf("%s: unknown command %s", td.Pos, td.Cmd)
	return ""
}

func scan[T any](t *testing.T, td *datadriven.TestData, key string) T {
	var value T
	if td.HasArg(key) {
		td.ScanArgs(t, key, &value)
	}
	return value
}

func (sc *script) hosts(t *testing.T, td *datadriven.TestData) *datacentre.HostList {
	hl := &datacentre.HostList{}
	for _, ca := range td.CmdArgs {
		if ca.Key != "lost" {
			id, suspect := strings.CutSuffix(ca.Key, "?")
			hl.Live = append(hl.Live, datacentre.NewLiveHost(host.ID(id), id, suspect))
		}
	}
	for range scan[int](t, td, "lost") {
		hl.LostUntil = append(hl.LostUntil, sc.now.Add(20*time.Second))
	}
	sortLive(hl)
	return hl
}

func (sc *script) describe(de quota.Decision) string {
	switch de.Admission {
	case quota.Admitted:
		return "admitted"
	case quota.Refused:
		return "refused for " + de.RetryAt.Sub(sc.now).Round(time.Millisecond).String()
	case quota.Wait:
		return "wait"
	}
	rq := de.Request
	text := fmt.Sprintf("ask %s for %d", de.Host.ID, rq.Want)
	if rq.Returned > 0 {
		text += fmt.Sprintf(", return %d", rq.Returned)
	}
	if rq.Unanswered {
		text += ", unanswered"
	}
	return text
}

func (sc *script) take(re quota.Reply) string {
	switch {
	case re.Probe != "":
		return "declined, probe " + string(re.Probe)
	case re.Declined:
		return "declined"
	case re.RetryAt.IsZero():
		return fmt.Sprintf("granted %d", re.Granted)
	}
	return fmt.Sprintf("granted %d, retry in %v", re.Granted, re.RetryAt.Sub(sc.now).Round(time.Millisecond))
}
