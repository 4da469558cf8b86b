package draft

import (
	"fmt"
	"strings"

	"lynxfold/core/contract"
)

// Field is one field of an item as an operator reads it.
type Field struct {
	Label string `json:"label"`
	Value string `json:"value"`
}

// Action is what an edit does to its item.
type Action string

// Actions of edits.
const (
	ActionAdd    Action = "add"
	ActionChange Action = "change"
	ActionRemove Action = "remove"
)

// Change is one edit in plain words.
type Change struct {
	Item   Item
	Action Action
	// Fields are those that differ; all of them when the item is added.
	Fields []FieldChange
}

// FieldChange is one field before and after an edit; From is empty in a new item.
type FieldChange struct {
	Label string
	From  string
	To    string
}

// String writes the change in one line.
func (ch Change) String() string {
	line := fmt.Sprintf("%s %s %s", ch.Action, ch.Item.Kind, ch.Item.Name)
	parts := make([]string, 0, len(ch.Fields))
	for _, fc := range ch.Fields {
		if ch.Action == ActionAdd {
			parts = append(parts, fmt.Sprintf("%s %s", fc.Label, fc.To))
			continue
		}
		parts = append(parts, fmt.Sprintf("%s from %s to %s", fc.Label, fc.From, fc.To))
	}
	if len(parts) == 0 {
		return line
	}
	return line + ": " + strings.Join(parts, ", ")
}

// Changes lists the edits by kind and name.
func (dr *Draft) Changes() []Change {
	var all []Change
	all = append(all, changes(dr.Services, KindService, serviceFields)...)
	all = append(all, changes(dr.Contracts, KindContract, termsFields)...)
	all = append(all, changes(dr.Routes, KindRoute, routeFields)...)
	return append(all, changes(dr.Limits, KindLimits, limitsFields)...)
}

func changes[T any, K ~string](edits map[K]Edit[T], ki Kind, fields func(T) []Field) []Change {
	all := make([]Change, 0, len(edits))
	for _, na := range sortedKeys(edits) {
		ed := edits[na]
		ch := Change{Item: Item{Kind: ki, Name: string(na)}}
		switch {
		case ed.Now == nil:
			ch.Action = ActionRemove
		case ed.Was == nil:
			ch.Action = ActionAdd
			ch.Fields = differing(nil, fields(*ed.Now))
		default:
			ch.Action = ActionChange
			ch.Fields = differing(fields(*ed.Was), fields(*ed.Now))
		}
		all = append(all, ch)
	}
	return all
}

// differing pairs the fields whose values are not the same.
func differing(from, to []Field) []FieldChange {
	var out []FieldChange
	for i, fi := range to {
		fc := FieldChange{Label: fi.Label, To: fi.Value}
		if from != nil {
			fc.From = from[i].Value
		}
		if fc.From != fc.To {
			out = append(out, fc)
		}
	}
	return out
}

const none = "none"

func orNone(text string) string {
	if text == "" {
		return none
	}
	return text
}

func yesNo(it bool) string {
	if it {
		return "yes"
	}
	return "no"
}

func millis(ms int64) string { return fmt.Sprintf("%d ms", ms) }

func serviceFields(se contract.Service) []Field {
	return []Field{
		{Label: "description", Value: orNone(se.Description)},
		{Label: "health path", Value: orNone(se.HealthPath)},
	}
}

func termsFields(te contract.Terms) []Field {
	hedge := "never"
	if te.HedgeAfterMS > 0 {
		hedge = millis(te.HedgeAfterMS)
	}
	return []Field{
		{Label: "idempotent", Value: yesNo(te.Idempotent)},
		{Label: "keyed", Value: yesNo(te.Keyed)},
		{Label: "timeout", Value: millis(te.TimeoutMS)},
		{Label: "retries", Value: fmt.Sprint(te.Retries)},
		{Label: "hedge after", Value: hedge},
		{Label: "class", Value: string(te.Class)},
		{Label: "rank", Value: fmt.Sprint(te.Rank)},
		{Label: "objective", Value: objective(te)},
	}
}

func objective(te contract.Terms) string {
	if te.ObjectiveMS == 0 {
		return none
	}
	return millis(te.ObjectiveMS)
}

func orAny(text string) string {
	if text == "" {
		return "any"
	}
	return text
}

// destination names a route's service, or its services and their weights.
func destination(ro contract.Route) string {
	if len(ro.Split) == 0 {
		return string(ro.Service)
	}
	return contract.FormatSplit(ro.Split)
}

func routeFields(ro contract.Route) []Field {
	methods := strings.Join(ro.Methods, ", ")
	if methods == "" {
		methods = "all"
	}
	return []Field{
		{Label: "host", Value: orAny(ro.Host)},
		{Label: "path prefix", Value: ro.PathPrefix},
		{Label: "methods", Value: methods},
		{Label: "service", Value: destination(ro)},
		{Label: "contract", Value: string(ro.Contract)},
		{Label: "fallback", Value: orNone(string(ro.Fallback))},
	}
}

func limitsFields(li contract.Limits) []Field {
	return []Field{
		{Label: "header", Value: orHosts(li.MaxHeaderBytes, "bytes")},
		{Label: "body", Value: orHosts(li.MaxBodyBytes, "bytes")},
		{Label: "header timeout", Value: orHosts(li.HeaderTimeoutMS, "ms")},
		{Label: "idle timeout", Value: orHosts(li.IdleTimeoutMS, "ms")},
	}
}

// orHosts writes a limit that may be left to the settings of each host.
func orHosts(limit int64, unit string) string {
	if limit == 0 {
		return "as the host's settings"
	}
	return fmt.Sprintf("%d %s", limit, unit)
}
