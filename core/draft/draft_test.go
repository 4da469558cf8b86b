package draft_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lynxfold/core/contract"
	"lynxfold/core/draft"
	"lynxfold/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

// script holds the state of one test data file: the snapshots that the base and theirs
// directives compile, and the draft.
type script struct {
	base  *contract.Snapshot
	onto  *contract.Snapshot
	draft *draft.Draft
}

func TestDraft(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		sc := &script{}
		datadriven.RunTest(t, path, sc.run)
	})
}

func (sc *script) run(t *testing.T, td *datadriven.TestData) string {
	switch td.Cmd {
	case "base":
		sc.base = compile(t, 4, td.Input)
		return fmt.Sprintf("version %d\n", sc.base.Version)
	case "draft":
		doc, err := contract.ParseDocument([]byte(td.Input))
		assert.NilError(t, err)
		sc.draft = draft.Diff(sc.base, doc)
		return lines(sc.draft.Changes())
	case "theirs":
		sc.onto = compile(t, 5, td.Input)
		return fmt.Sprintf("version %d\n", sc.onto.Version)
	case "risks":
		return sc.risks(td)
	case "merge":
		return sc.merge(td)
	case "parse":
		_, err := draft.Parse([]byte(td.Input))
		return fmt.Sprintln(err)
	}
	t.Fatalf("unknown command %s", td.Cmd)
	return ""
}

func compile(t *testing.T, ve contract.Version, text string) *contract.Snapshot {
	doc, err := contract.ParseDocument([]byte(text))
	assert.NilError(t, err)
	sn, err := contract.Compile(ve, doc)
	assert.NilError(t, err)
	return sn
}

func lines[T fmt.Stringer](all []T) string {
	var sb strings.Builder
	for _, it := range all {
		sb.WriteString(it.String() + "\n")
	}
	return sb.String()
}

func (sc *script) risks(td *datadriven.TestData) string {
	upstreams := map[contract.ServiceName]int{}
	for _, ar := range td.CmdArgs {
		var count int
		_, _ = fmt.Sscan(ar.Vals[0], &count)
		upstreams[contract.ServiceName(ar.Key)] = count
	}
	var sb strings.Builder
	for _, rk := range sc.draft.Risks(sc.base.Document, upstreams) {
		fmt.Fprintf(&sb, "%s %s: %s\n", rk.Kind, rk.Item, rk.Detail)
	}
	return sb.String()
}

func (sc *script) merge(td *datadriven.TestData) string {
	choices := map[draft.Item]draft.Choice{}
	for _, ar := range td.CmdArgs {
		kind, name, _ := strings.Cut(ar.Key, "/")
		choices[draft.Item{Kind: draft.ItemKind(kind), Name: name}] = draft.Choice(ar.Vals[0])
	}
	merged, conflicts := sc.draft.Merge(sc.onto, choices)
	out := fmt.Sprintf("base %d\n", merged.Base) + lines(merged.Changes())
	for _, co := range conflicts {
		out += fmt.Sprintf("conflict %s\n  before %v\n  theirs %v\n  yours  %v\n", co.Item, co.Before, co.Theirs, co.Yours)
	}
	return out
}

// drawDocument draws a small valid document with few possible names, so that edits
// are likely to conflict.
func drawDocument(rt *rapid.T, label string) *contract.Document {
	doc := &contract.Document{}
	for _, na := range []contract.ServiceName{"a", "b"} {
		if rapid.Bool().Draw(rt, label+" has "+string(na)) {
			doc.Services = append(doc.Services, contract.Service{
				Name:        na,
				Description: rapid.SampledFrom([]string{"", "x", "y"}).Draw(rt, label+" description"),
			})
		}
	}
	for _, na := range []contract.TermsName{"c", "d"} {
		if rapid.Bool().Draw(rt, label+" has "+string(na)) {
			doc.Contracts = append(doc.Contracts, contract.Terms{
				Name:      na,
				TimeoutMS: rapid.Int64Range(1, 3).Draw(rt, label+" timeout"),
				Class:     contract.ClassLookup,
			})
		}
	}
	return doc
}

func drawSnapshot(rt *rapid.T, ve contract.Version, label string) *contract.Snapshot {
	sn, err := contract.Compile(ve, drawDocument(rt, label))
	if err != nil {
		rt.Fatal(err)
	}
	return sn
}

// TestMergeKeepsBothEdits merges two random edits of one base. An item that only one
// of them changed must have that change, and an item that both changed in different
// ways must be a conflict.
func TestMergeKeepsBothEdits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		base, theirs, yours := drawSnapshot(rt, 1, "base"), drawSnapshot(rt, 2, "theirs"), drawSnapshot(rt, 3, "yours")
		merged, conflicts := draft.Diff(base, yours.Document).Merge(theirs, nil)
		conflicted := map[string]bool{}
		for _, co := range conflicts {
			conflicted[co.Item.String()] = true
		}
		before, theirItems, yourItems := itemsByName(base.Document), itemsByName(theirs.Document), itemsByName(yours.Document)
		result := itemsByName(merged.Apply(theirs.Document))
		for name := range unionKeys(before, theirItems, yourItems) {
			conflict := before[name] != theirItems[name] && before[name] != yourItems[name] && theirItems[name] != yourItems[name]
			assert.Equal(rt, conflicted[name], conflict, name)
			switch {
			case conflict, before[name] == yourItems[name]:
				assert.Equal(rt, result[name], theirItems[name], name)
			default:
				assert.Equal(rt, result[name], yourItems[name], name)
			}
		}
	})
}

// TestEncodeParse checks that a draft is unchanged after Encode and Parse, as when it
// is stored in a form field.
func TestEncodeParse(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dr := draft.Diff(drawSnapshot(rt, 1, "base"), drawDocument(rt, "yours"))
		again, err := draft.Parse(dr.Encode())
		assert.NilError(rt, err)
		assert.DeepEqual(rt, again, dr)
	})
}

func itemsByName(doc *contract.Document) map[string]string {
	all := map[string]string{}
	for _, se := range doc.Services {
		all["service:"+string(se.Name)] = fmt.Sprint(se)
	}
	for _, te := range doc.Contracts {
		all["contract:"+string(te.Name)] = fmt.Sprint(te)
	}
	return all
}

func unionKeys(all ...map[string]string) map[string]bool {
	names := map[string]bool{}
	for _, ma := range all {
		for na := range ma {
			names[na] = true
		}
	}
	return names
}

// FuzzParse checks that no input causes a panic in parsing or in using the draft.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"base":3,"services":{"a":{"now":{"name":"a"}}}}`))
	f.Add([]byte(`{"services":{"a":{"now":{"name":"b"}}}}`))
	f.Add([]byte(`{"routes":null}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		dr, err := draft.Parse(data)
		if err != nil {
			return
		}
		dr.Apply(&contract.Document{})
		_ = dr.Changes()
		_ = dr.Risks(&contract.Document{}, nil)
	})
}
