package operator

import (
	"slices"
	"strconv"
	"strings"

	"lynxfold/core/contract"
	"lynxfold/core/draft"
)

const customerNameHelp = "Up to 128 printable characters; upstreams are told it. It can't be changed later."

func customerForm() *formPage {
	return &formPage{
		Item:  draft.Item{Kind: draft.KindCustomer},
		Intro: "A customer identifies its calls by a key. With the first customer, calls on routes that are not public need a key.",
		Fields: []*formField{
			{Name: "name", Label: "Name", Help: customerNameHelp, Kind: inputText},
			{
				Name: "new_key", Label: "New key", Kind: inputText,
				Help: "A key that its callers are to send, of 16 characters or more. Only its digest is stored; it is not shown again. Empty adds none.",
			},
			{
				Name: "keys", Label: "Keys", Kind: inputText,
				Help: "The beginnings of the digests of its keys. Delete one to remove that key.",
			},
			{
				Name: "priority", Label: "Priority", Kind: inputNumber,
				Help: "Goes before the rank of the contract; 0 is the highest. Empty means none.",
			},
			{
				Name: "rate_per_second", Label: "Calls a second", Kind: inputText, Value: "0",
				Help: "At all hosts together; calls beyond it are refused with 429. 0 means no limit.",
			},
			{
				Name: "burst", Label: "Burst, in calls", Kind: inputText, Value: "0",
				Help: "The calls that may come at once beyond the rate.",
			},
		},
	}
}

func customerGroup(doc *contract.Document) itemGroup {
	gr := itemGroup{
		Kind:    draft.KindCustomer,
		Title:   "Customers",
		Empty:   "There is no customer, so calls need no key.",
		Columns: []string{"Name", "Keys", "Priority", "Calls a second", "Burst"},
	}
	for _, cu := range doc.Customers {
		gr.add(string(cu.Name), plural(len(cu.Keys), "key"), formatPriority(cu), formatFloat(cu.RatePerSecond), formatFloat(cu.Burst))
	}
	return gr
}

func formatPriority(cu contract.Customer) string {
	if cu.Priority == nil {
		return ""
	}
	return strconv.Itoa(*cu.Priority)
}

func formatFloat(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }

func formatKeys(keys []contract.KeyDigest) string {
	short := make([]string, 0, len(keys))
	for _, kd := range keys {
		short = append(short, kd.Short())
	}
	return strings.Join(short, " ")
}

func (fp *formPage) fillCustomer(cu contract.Customer) {
	fp.setValues(map[string]string{
		"name":            string(cu.Name),
		"keys":            formatKeys(cu.Keys),
		"priority":        formatPriority(cu),
		"rate_per_second": formatFloat(cu.RatePerSecond),
		"burst":           formatFloat(cu.Burst),
	})
}

// minKeyBytes is the shortest key that the form accepts, so that keys can't be guessed.
const minKeyBytes = 16

// customerOf returns the customer of a submitted form. It keeps the keys whose shortened
// digests are listed, adds the new key, and clears that field, so that no page shows it.
func (cr *consoleRequest) customerOf(fp *formPage) contract.Customer {
	cu := contract.Customer{
		Name:          contract.CustomerName(fp.field("name").Value),
		RatePerSecond: fp.floatValue("rate_per_second"),
		Burst:         fp.floatValue("burst"),
	}
	if text := fp.field("priority").Value; text != "" {
		priority := int(fp.field("priority").intValue())
		cu.Priority = &priority
	}
	listed := strings.Fields(fp.field("keys").Value)
	for _, before := range cr.draftDocument().Customers {
		if before.Name != cu.Name {
			continue
		}
		for _, kd := range before.Keys {
			if slices.Contains(listed, kd.Short()) {
				cu.Keys = append(cu.Keys, kd)
			}
		}
	}
	if len(cu.Keys) < len(listed) {
		fp.addError("keys", "a key that is not among those of the customer; type keys into the field above")
		fp.field("keys").Value = formatKeys(cu.Keys)
	}
	key := fp.field("new_key").Value
	fp.field("new_key").Value = ""
	switch {
	case key == "":
	case len(key) < minKeyBytes:
		fp.addError("new_key", "use 16 characters or more")
	default:
		cu.Keys = append(cu.Keys, contract.DigestKey([]byte(key)))
	}
	slices.Sort(cu.Keys)
	cu.Keys = slices.Compact(cu.Keys)
	return cu
}

func (fp *formPage) floatValue(name string) float64 {
	text := fp.field(name).Value
	if text == "" {
		return 0
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		fp.addError(name, "use a number")
		return 0
	}
	return value
}
