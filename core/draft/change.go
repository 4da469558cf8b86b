package draft

import (
	"fmt"
	"strings"

	"lynxfold/core/contract"
)

// Field is one field of an item, with its label and value as shown to operators.
type Field struct {
	Label string `json:"label"`
	Value string `json:"value"`
}

// Action is the kind of an edit.
type Action string

// Actions of edits.
const (
	ActionAdd    Action = "add"
	ActionChange Action = "change"
	ActionRemove Action = "remove"
)

// Change describes one edit of a draft.
type Change struct {
	Item   Item
	Action Action
	// Fields are those that differ; empty when the item is removed. An added item
	// has all its fields that have a value.
	Fields []FieldChange
}

// FieldChange is one field before and after an edit; From is empty for an added item.
type FieldChange struct {
	Label string
	From  string
	To    string
}

// String returns the change as one line of text.
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

// Changes returns the edits, sorted by kind and name.
func (dr *Draft) Changes() []Change {
	var all []Change
	all = append(all, listChanges(dr.Services, KindService, serviceFields)...)
	all = append(all, listChanges(dr.Contracts, KindContract, termsFields)...)
	all = append(all, listChanges(dr.Routes, KindRoute, routeFields)...)
	all = append(all, listChanges(dr.Limits, KindLimits, limitsFields)...)
	return append(all, listChanges(dr.Customers, KindCustomer, customerFields)...)
}

func listChanges[T any, K ~string](edits map[K]Edit[T], ki ItemKind, fields func(T) []Field) []Change {
	all := make([]Change, 0, len(edits))
	for _, na := range sortedKeys(edits) {
		ed := edits[na]
		ch := Change{Item: Item{Kind: ki, Name: string(na)}}
		switch {
		case ed.After == nil:
			ch.Action = ActionRemove
		case ed.Before == nil:
			ch.Action = ActionAdd
			ch.Fields = diffFields(nil, fields(*ed.After))
		default:
			ch.Action = ActionChange
			ch.Fields = diffFields(fields(*ed.Before), fields(*ed.After))
		}
		all = append(all, ch)
	}
	return all
}

// diffFields returns the fields whose values differ; from is nil for an added item.
func diffFields(from, to []Field) []FieldChange {
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

func formatMillis(ms int64) string { return fmt.Sprintf("%d ms", ms) }

func serviceFields(se contract.Service) []Field {
	return []Field{
		{Label: "description", Value: orNone(se.Description)},
		{Label: "health path", Value: orNone(se.HealthPath)},
	}
}

func termsFields(te contract.Terms) []Field {
	hedge := "never"
	if te.HedgeAfterMS > 0 {
		hedge = formatMillis(te.HedgeAfterMS)
	}
	return []Field{
		{Label: "idempotent", Value: yesNo(te.Idempotent)},
		{Label: "keyed", Value: yesNo(te.Keyed)},
		{Label: "timeout", Value: formatMillis(te.TimeoutMS)},
		{Label: "retries", Value: fmt.Sprint(te.Retries)},
		{Label: "hedge after", Value: hedge},
		{Label: "class", Value: string(te.Class)},
		{Label: "rank", Value: fmt.Sprint(te.Rank)},
		{Label: "objective", Value: formatObjective(te)},
	}
}

func formatObjective(te contract.Terms) string {
	if te.ObjectiveMS == 0 {
		return none
	}
	return formatMillis(te.ObjectiveMS)
}

func orAny(text string) string {
	if text == "" {
		return "any"
	}
	return text
}

// formatDestination returns a route's service, or its services and their weights.
func formatDestination(ro contract.Route) string {
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
		{Label: "service", Value: formatDestination(ro)},
		{Label: "contract", Value: string(ro.Contract)},
		{Label: "fallback", Value: orNone(string(ro.Fallback))},
		{Label: "public", Value: yesNo(ro.Public)},
	}
}

// customerFields shows digests shortened; a key is in no document.
func customerFields(cu contract.Customer) []Field {
	keys := make([]string, 0, len(cu.Keys))
	for _, kd := range cu.Keys {
		keys = append(keys, kd.Short())
	}
	priority := none
	if cu.Priority != nil {
		priority = fmt.Sprint(*cu.Priority)
	}
	return []Field{
		{Label: "keys", Value: orNone(strings.Join(keys, ", "))},
		{Label: "priority", Value: priority},
		{Label: "rate", Value: formatRate(cu.RatePerSecond, " a second")},
		{Label: "burst", Value: formatRate(cu.Burst, "")},
	}
}

func formatRate(rate float64, unit string) string {
	if rate == 0 {
		return none
	}
	return fmt.Sprintf("%g%s", rate, unit)
}

func limitsFields(li contract.Limits) []Field {
	return []Field{
		{Label: "header", Value: formatLimit(li.MaxHeaderBytes, "bytes")},
		{Label: "body", Value: formatLimit(li.MaxBodyBytes, "bytes")},
		{Label: "header timeout", Value: formatLimit(li.HeaderTimeoutMS, "ms")},
		{Label: "idle timeout", Value: formatLimit(li.IdleTimeoutMS, "ms")},
	}
}

// formatLimit returns a limit with its unit; for a limit of 0, each host's setting
// applies.
func formatLimit(limit int64, unit string) string {
	if limit == 0 {
		return "host setting"
	}
	return fmt.Sprintf("%d %s", limit, unit)
}
