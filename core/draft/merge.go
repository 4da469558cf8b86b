package draft

import (
	"cmp"
	"maps"
	"slices"

	"lynxfold/core/contract"
)

// Kind is the kind of an item.
type Kind string

// Kinds of items.
const (
	KindService  Kind = "service"
	KindContract Kind = "contract"
	KindRoute    Kind = "route"
	KindLimits   Kind = "limits"
)

// Item names one item of a document.
type Item struct {
	Kind Kind
	Name string
}

// String writes the item as KIND:NAME.
func (it Item) String() string { return string(it.Kind) + ":" + it.Name }

// Conflict is an item that the draft and somebody else have changed differently.
type Conflict struct {
	Item Item
	// Was, Theirs and Yours are the item's fields before both edits and after
	// each; nil where the item is not there.
	Was    []Field
	Theirs []Field
	Yours  []Field
}

// Choice says whose edit of an item counts.
type Choice string

// Choices for a conflict.
const (
	ChoiceTheirs Choice = "theirs"
	ChoiceYours  Choice = "yours"
)

// Merge carries the draft over to a newer version, item by item. An item that
// somebody else has changed differently is a conflict until a choice is made.
func (dr *Draft) Merge(onto *contract.Snapshot, choices map[Item]Choice) (*Draft, []Conflict) {
	out := New(onto.Version)
	var conflicts []Conflict
	conflicts = append(conflicts, merge(out.Services, dr.Services, merging[contract.Service, contract.ServiceName]{
		kind:    KindService,
		onto:    onto.Document.Services,
		key:     serviceName,
		fields:  serviceFields,
		choices: choices,
	})...)
	conflicts = append(conflicts, merge(out.Contracts, dr.Contracts, merging[contract.Terms, contract.TermsName]{
		kind:    KindContract,
		onto:    onto.Document.Contracts,
		key:     termsName,
		fields:  termsFields,
		choices: choices,
	})...)
	conflicts = append(conflicts, merge(out.Routes, dr.Routes, merging[contract.Route, contract.RouteName]{
		kind:    KindRoute,
		onto:    onto.Document.Routes,
		key:     routeName,
		fields:  routeFields,
		choices: choices,
	})...)
	conflicts = append(conflicts, merge(out.Limits, dr.Limits, merging[contract.Limits, LimitsName]{
		kind:    KindLimits,
		onto:    limitsOf(onto.Document),
		key:     limitsName,
		fields:  limitsFields,
		choices: choices,
	})...)
	return out, conflicts
}

// merging is what one kind of items is merged with.
type merging[T any, K ~string] struct {
	kind    Kind
	onto    []T
	key     func(T) K
	fields  func(T) []Field
	choices map[Item]Choice
}

func merge[T any, K ~string](out, edits map[K]Edit[T], mg merging[T, K]) []Conflict {
	var conflicts []Conflict
	for _, na := range sortedKeys(edits) {
		ed := edits[na]
		theirs := find(mg.onto, mg.key, na)
		it := Item{Kind: mg.kind, Name: string(na)}
		switch {
		case same(theirs, ed.Now):
			continue // somebody else has made the same edit
		case same(theirs, ed.Was), mg.choices[it] == ChoiceYours:
			out[na] = Edit[T]{Was: theirs, Now: ed.Now}
		case mg.choices[it] == ChoiceTheirs:
			continue
		default:
			conflicts = append(conflicts, Conflict{
				Item:   it,
				Was:    mg.fieldsOf(ed.Was),
				Theirs: mg.fieldsOf(theirs),
				Yours:  mg.fieldsOf(ed.Now),
			})
		}
	}
	return conflicts
}

func (mg merging[T, K]) fieldsOf(it *T) []Field {
	if it == nil {
		return nil
	}
	return mg.fields(*it)
}

func sortedKeys[K cmp.Ordered, V any](all map[K]V) []K { return slices.Sorted(maps.Keys(all)) }
