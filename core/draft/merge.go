package draft

import (
	"cmp"
	"maps"
	"slices"

	"lynxfold/core/contract"
)

// ItemKind is the type of an item.
type ItemKind string

// Kinds of items.
const (
	KindService  ItemKind = "service"
	KindContract ItemKind = "contract"
	KindRoute    ItemKind = "route"
	KindLimits   ItemKind = "limits"
	KindCustomer ItemKind = "customer"
)

// Item identifies one item of a document.
type Item struct {
	Kind ItemKind
	Name string
}

// String returns the item as KIND:NAME.
func (it Item) String() string { return string(it.Kind) + ":" + it.Name }

// Conflict is an item that the draft and a newer version both changed, in different
// ways.
type Conflict struct {
	Item Item
	// Before, Theirs and Yours hold the item's fields before both changes, in the newer
	// version and in the draft; nil where the item does not exist.
	Before []Field
	Theirs []Field
	Yours  []Field
}

// Choice resolves a conflict by selecting one of the two changes.
type Choice string

// Choices for a conflict: ChoiceTheirs selects the change in the newer version,
// ChoiceYours the one in the draft.
const (
	ChoiceTheirs Choice = "theirs"
	ChoiceYours  Choice = "yours"
)

// Merge rebases the draft onto a newer version by a three-way merge of each item. An
// item that both changed in different ways is a conflict, and its edit is left out,
// unless there is a choice for it.
func (dr *Draft) Merge(onto *contract.Snapshot, choices map[Item]Choice) (*Draft, []Conflict) {
	out := New(onto.Version)
	var conflicts []Conflict
	conflicts = append(conflicts, mergeEdits(out.Services, dr.Services, mergeInput[contract.Service, contract.ServiceName]{
		kind:    KindService,
		onto:    onto.Document.Services,
		key:     serviceName,
		fields:  serviceFields,
		choices: choices,
	})...)
	conflicts = append(conflicts, mergeEdits(out.Contracts, dr.Contracts, mergeInput[contract.Terms, contract.TermsName]{
		kind:    KindContract,
		onto:    onto.Document.Contracts,
		key:     termsName,
		fields:  termsFields,
		choices: choices,
	})...)
	conflicts = append(conflicts, mergeEdits(out.Routes, dr.Routes, mergeInput[contract.Route, contract.RouteName]{
		kind:    KindRoute,
		onto:    onto.Document.Routes,
		key:     routeName,
		fields:  routeFields,
		choices: choices,
	})...)
	conflicts = append(conflicts, mergeEdits(out.Limits, dr.Limits, mergeInput[contract.Limits, LimitsName]{
		kind:    KindLimits,
		onto:    limitsOf(onto.Document),
		key:     limitsName,
		fields:  limitsFields,
		choices: choices,
	})...)
	conflicts = append(conflicts, mergeEdits(out.Customers, dr.Customers, mergeInput[contract.Customer, contract.CustomerName]{
		kind:    KindCustomer,
		onto:    onto.Document.Customers,
		key:     customerName,
		fields:  customerFields,
		choices: choices,
	})...)
	return out, conflicts
}

// mergeInput holds the arguments for merging the edits of one kind of item.
type mergeInput[T any, K ~string] struct {
	kind    ItemKind
	onto    []T
	key     func(T) K
	fields  func(T) []Field
	choices map[Item]Choice
}

func mergeEdits[T any, K ~string](out, edits map[K]Edit[T], mg mergeInput[T, K]) []Conflict {
	var conflicts []Conflict
	for _, na := range sortedKeys(edits) {
		ed := edits[na]
		theirs := findItem(mg.onto, mg.key, na)
		it := Item{Kind: mg.kind, Name: string(na)}
		switch {
		case sameItem(theirs, ed.After):
			continue // the newer version has the same change
		case sameItem(theirs, ed.Before), mg.choices[it] == ChoiceYours:
			out[na] = Edit[T]{Before: theirs, After: ed.After}
		case mg.choices[it] == ChoiceTheirs:
			continue
		default:
			conflicts = append(conflicts, Conflict{
				Item:   it,
				Before: mg.fieldsOf(ed.Before),
				Theirs: mg.fieldsOf(theirs),
				Yours:  mg.fieldsOf(ed.After),
			})
		}
	}
	return conflicts
}

func (mg mergeInput[T, K]) fieldsOf(it *T) []Field {
	if it == nil {
		return nil
	}
	return mg.fields(*it)
}

func sortedKeys[K cmp.Ordered, V any](all map[K]V) []K { return slices.Sorted(maps.Keys(all)) }
