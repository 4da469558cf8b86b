package contract

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Difference is one field that has different values in two documents.
type Difference struct {
	// Path names the field, such as routes[portal].service; without a field
	// name the whole item is there on one side only.
	Path string `json:"path"`
	// From and To are JSON values; null when the field is not there.
	From json.RawMessage `json:"from"`
	To   json.RawMessage `json:"to"`
}

// fieldValues holds the JSON value of each field of a document by its path.
type fieldValues map[string]json.RawMessage

// Differences lists the fields that differ between two documents, by path.
func Differences(from, to *Document) []Difference {
	before, after := fieldsOf(from), fieldsOf(to)
	paths := maps.Clone(before)
	maps.Copy(paths, after)
	var res []Difference
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if !bytes.Equal(before[path], after[path]) {
			res = append(res, Difference{
				Path: path,
				From: orNull(before[path]),
				To:   orNull(after[path]),
			})
		}
	}
	return res
}

// Conflicts lists the fields that two documents with a common base both changed,
// and to different values. From is the first document's value, To the second's.
func Conflicts(base, mine, theirs *Document) []Difference {
	before := fieldsOf(base)
	first, second := fieldsOf(mine), fieldsOf(theirs)
	var res []Difference
	for _, di := range Differences(mine, theirs) {
		if !bytes.Equal(before[di.Path], first[di.Path]) && !bytes.Equal(before[di.Path], second[di.Path]) {
			res = append(res, di)
		}
	}
	return res
}

func orNull(va json.RawMessage) json.RawMessage {
	if va == nil {
		return json.RawMessage("null")
	}
	return va
}

func fieldsOf(doc *Document) fieldValues {
	fv := fieldValues{}
	for _, se := range doc.Services {
		fv.add("services", string(se.Name), se)
	}
	for _, te := range doc.Contracts {
		fv.add("contracts", string(te.Name), te)
	}
	for _, ro := range doc.Routes {
		fv.add("routes", string(ro.Name), ro)
	}
	if doc.Limits != nil {
		fv.addFields("limits", doc.Limits)
	}
	return fv
}

func (fv fieldValues) add(list, name string, item any) {
	fv.addFields(fmt.Sprintf("%s[%s]", list, name), item)
}

func (fv fieldValues) addFields(path string, item any) {
	data, err := json.Marshal(item)
	if err != nil {
		panic(err) // items hold only types that always marshal
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		panic(err) // the JSON form of an item is an object
	}
	for field, va := range fields {
		fv[path+"."+field] = va
	}
}
