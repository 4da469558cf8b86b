package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxfold/core/host"
	"lynxfold/core/quarantine"
)

// script runs the commands of a test data file against the table of a host.
type script struct {
	table *quarantine.Table
	now   time.Time
}

// TestTableScripts runs the files in testdata/table.
func TestTableScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/table", func(t *testing.T, path string) {
		sc := &script{
			table: newTable("press-hall-1"),
			now:   time.Unix(1_000_000, 0),
		}
		datadriven.RunTest(t, path, sc.run)
	})
}

func newTable(id host.ID) *quarantine.Table {
	return quarantine.New(quarantine.Config{
		Host: id,
		Hold: time.Minute,
	})
}

func (sc *script) run(t *testing.T, td *datadriven.TestData) string {
	switch td.Cmd {
	case "crash":
		return sc.merge(quarantine.News{Crashes: []quarantine.Crash{sc.crash(t, td)}})
	case "survival":
		return sc.merge(quarantine.News{Survivals: []quarantine.Survival{{Request: scanRequest(t, td), At: sc.at(t, td)}}})
	case "advance":
		period, err := time.ParseDuration(td.CmdArgs[0].Key)
		assert.NilError(t, err)
		sc.now = sc.now.Add(period)
		sc.table.Expire(sc.now)
		return ""
	case "verdict":
		return sc.format(sc.table.Verdict(scanRequest(t, td), sc.now))
	case "admit":
		return sc.format(sc.table.Admit(scanRequest(t, td), sc.now))
	case "run":
		return sc.format(sc.table.Run(scanRequest(t, td), sc.now))
	case "all":
		return sc.formatCrashes(sc.table.All().Crashes)
	case "evidence":
		return sc.formatCrashes(sc.table.Evidence(scanRequest(t, td)))
	}
	t.Fatalf("%s: unknown command %s", td.Pos, td.Cmd)
	return ""
}

// scanRequest returns the request in the first argument.
func scanRequest(t *testing.T, td *datadriven.TestData) host.Fingerprint {
	t.Helper()
	var fp host.Fingerprint
	_, err := fmt.Sscan(td.CmdArgs[0].Key, &fp)
	assert.NilError(t, err)
	return fp
}

// at returns the time that was ago, an argument, before now.
func (sc *script) at(t *testing.T, td *datadriven.TestData) time.Time {
	t.Helper()
	ago := "0s"
	td.MaybeScanArgs(t, "ago", &ago)
	period, err := time.ParseDuration(ago)
	assert.NilError(t, err)
	return sc.now.Add(-period)
}

// crash returns the crash that a command describes: its id, and the requests that ran.
func (sc *script) crash(t *testing.T, td *datadriven.TestData) quarantine.Crash {
	t.Helper()
	cr := quarantine.Crash{
		Host: "curing-room-1",
		At:   sc.at(t, td),
	}
	_, err := fmt.Sscan(td.CmdArgs[0].Key, &cr.ID)
	assert.NilError(t, err)
	for _, ca := range td.CmdArgs {
		if ca.Key != "ran" {
			continue
		}
		for _, text := range ca.Vals {
			var fp host.Fingerprint
			_, err := fmt.Sscan(text, &fp)
			assert.NilError(t, err)
			cr.Suspects = append(cr.Suspects, fp)
		}
	}
	return cr
}

// merge merges news and returns what was not known.
func (sc *script) merge(ne quarantine.News) string {
	fresh := sc.table.Merge(ne, sc.now)
	if fresh.IsEmpty() {
		return "known\n"
	}
	text := sc.formatCrashes(fresh.Crashes)
	for _, sv := range fresh.Survivals {
		text += fmt.Sprintf("%d is cleared\n", sv.Request)
	}
	return text
}

func (sc *script) formatCrashes(crashes []quarantine.Crash) string {
	text := ""
	for _, cr := range crashes {
		text += fmt.Sprintf("crash %d %s ago, suspects %v\n", cr.ID, sc.now.Sub(cr.At), cr.Suspects)
	}
	return text
}

func (sc *script) format(ve quarantine.Verdict) string {
	states := map[quarantine.State]string{
		quarantine.StateClear:       "clear",
		quarantine.StateIsolated:    "isolated",
		quarantine.StateQuarantined: "quarantined",
	}
	text := fmt.Sprintf("%s, %d crashes", states[ve.State], ve.Crashes)
	if !ve.Until.IsZero() {
		text += ", tried again in " + ve.Until.Sub(sc.now).Round(time.Second).String()
	}
	return text + "\n"
}

// TestOrderOfNewsMakesNoDifference merges the same crashes into two tables in different
// orders, some of them twice: the tables decide the same.
func TestOrderOfNewsMakesNoDifference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		const culprit = host.Fingerprint(1)
		var crashes []quarantine.Crash
		for i := range rapid.IntRange(3, 12).Draw(t, "crashes") {
			cr := quarantine.Crash{
				ID:       quarantine.CrashID(i + 1),
				At:       now.Add(time.Duration(i) * time.Second),
				Suspects: []host.Fingerprint{culprit},
			}
			for fp := range rapid.Uint64Range(2, 40).Draw(t, "beside") {
				// Isolation keeps what ran beside the culprit twice away from it.
				if i < 2 || fp > 40 {
					cr.Suspects = append(cr.Suspects, host.Fingerprint(fp+2))
				}
			}
			crashes = append(crashes, cr)
		}
		now = crashes[len(crashes)-1].At
		one, two := newTable("a"), newTable("b")
		for _, cr := range crashes {
			one.Merge(quarantine.News{Crashes: []quarantine.Crash{cr}}, now)
		}
		for _, cr := range append(rapid.Permutation(crashes).Draw(t, "order"), crashes[0]) {
			two.Merge(quarantine.News{Crashes: []quarantine.Crash{cr}}, now)
		}
		assert.DeepEqual(t, one.Condemned(), two.Condemned())
		assert.Equal(t, one.Checksum(), two.Checksum())
		for fp := range host.Fingerprint(50) {
			a, b := one.Verdict(fp, now), two.Verdict(fp, now)
			assert.Equal(t, a.State, b.State)
			assert.Equal(t, a.Crashes, b.Crashes)
			assert.Assert(t, a.Until.Equal(b.Until))
		}
		assert.Equal(t, one.Verdict(culprit, now).State, quarantine.StateQuarantined)
		for fp := range host.Fingerprint(50) {
			if fp > culprit {
				assert.Equal(t, one.Verdict(fp, now).State, quarantine.StateClear)
			}
		}
	})
}

// TestTableIsBounded merges crashes by more requests than a table holds, and messages
// that are larger than any that is sent. Three requests are quarantined before.
func TestTableIsBounded(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	ta := newTable("a")
	id := quarantine.CrashID(0)
	crash := func(suspects ...host.Fingerprint) {
		id++
		now = now.Add(time.Millisecond)
		ta.Merge(quarantine.News{Crashes: []quarantine.Crash{{ID: id, At: now, Suspects: suspects}}}, now)
	}
	for fp := range host.Fingerprint(3) {
		for range 3 {
			crash(fp + 1)
		}
	}
	for i := range host.Fingerprint(5000) {
		var suspects []host.Fingerprint
		for n := range host.Fingerprint(100) {
			suspects = append(suspects, 100*(i+1)+n)
		}
		crash(suspects...)
	}
	all := ta.All().Crashes
	assert.Equal(t, len(all), 512)
	for _, cr := range all {
		assert.Assert(t, len(cr.Suspects) <= 32)
	}
	assert.Equal(t, ta.Quarantined(), 3)
	old := quarantine.News{Crashes: []quarantine.Crash{{ID: 1 << 40, At: now.Add(-time.Minute), Suspects: []host.Fingerprint{7}}}}
	assert.Assert(t, ta.Merge(old, now).IsEmpty(), "a crash that is dropped at once is no news")
	for range 100 {
		crash(1)
	}
	old.Crashes[0].Suspects[0] = 1
	assert.Assert(t, ta.Merge(old, now).IsEmpty(), "a crash that is dropped at once is no news")
	assert.Equal(t, ta.Verdict(1, now).Crashes, 16)
	assert.Equal(t, len(ta.Evidence(1)), 8)
}

// TestWireFormat checks that news survives its message, and that a message that no table
// sends is cut down.
func TestWireFormat(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	ne := quarantine.News{
		Crashes:   []quarantine.Crash{{ID: 7, Host: "a", At: now.Add(-time.Second), Suspects: []host.Fingerprint{1, 2}}},
		Survivals: []quarantine.Survival{{Request: 3, At: now.Add(-time.Minute)}},
	}
	assert.DeepEqual(t, quarantine.NewsFromWire(ne.ToWire(now), now), ne)
	large := quarantine.News{}
	for i := range 5000 {
		large.Crashes = append(large.Crashes, quarantine.Crash{ID: quarantine.CrashID(i + 1), At: now, Suspects: make([]host.Fingerprint, 100)})
		large.Survivals = append(large.Survivals, quarantine.Survival{Request: host.Fingerprint(i), At: now})
	}
	cn := large.ToWire(now)
	cn.Crashes[0].AgeUs = -1 << 62
	cn.Crashes[1].AgeUs = 1 << 62
	got := quarantine.NewsFromWire(cn, now)
	assert.Equal(t, len(got.Crashes), 512)
	assert.Equal(t, len(got.Crashes[0].Suspects), 32)
	assert.Equal(t, len(got.Survivals), 1024)
	assert.Assert(t, got.Crashes[0].At.Equal(now))
	assert.Assert(t, got.Crashes[1].At.Before(now.Add(-time.Hour)))
}

// TestTrialHostIsTheSameEverywhere guards against trials at several upstreams at once, and
// against one host that runs the trials of all requests.
func TestTrialHostIsTheSameEverywhere(t *testing.T) {
	hosts := []host.ID{"a", "b", "c", "d"}
	chosen := map[host.ID]bool{}
	for fp := range host.Fingerprint(100) {
		first := quarantine.TrialHost(fp, hosts)
		reversed := slices.Clone(hosts)
		slices.Reverse(reversed)
		assert.Equal(t, quarantine.TrialHost(fp, reversed), first)
		others := slices.DeleteFunc(reversed, func(id host.ID) bool { return id == "a" && first != "a" })
		assert.Equal(t, quarantine.TrialHost(fp, others), first, "the loss of another host changes nothing")
		chosen[first] = true
	}
	assert.Equal(t, len(chosen), len(hosts))
	assert.Equal(t, quarantine.TrialHost(1, nil), host.ID(""))
}
