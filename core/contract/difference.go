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
	// Path names the field by list, item and field, such as routes[portal].service.
	Path string `json:"path"`
	// From and To are JSON values; null where the field is missing.
	From json.RawMessage `json:"from"`
	To   json.RawMessage `json:"to"`
}

// fieldValues maps the path of each field of a document to its JSON value.
type fieldValues map[string]json.RawMessage

// Differences returns the fields that differ between two documents, sorted by path.
func Differences(from, to *Document) []Difference {
	before, after := documentFields(from), documentFields(to)
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

// Conflicts returns the fields that two documents with a common base both changed,
// to different values, sorted by path. From is the value in yours, To that in theirs.
func Conflicts(base, yours, theirs *Document) []Difference {
	before := documentFields(base)
	yourFields, theirFields := documentFields(yours), documentFields(theirs)
	var res []Difference
	for _, di := range Differences(yours, theirs) {
		if !bytes.Equal(before[di.Path], yourFields[di.Path]) && !bytes.Equal(before[di.Path], theirFields[di.Path]) {
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

func documentFields(doc *Document) fieldValues {
	fv := fieldValues{}
	for _, se := range doc.Services {
		fv.addItem("services", string(se.Name), se)
	}
	for _, te := range doc.Contracts {
		fv.addItem("contracts", string(te.Name), te)
	}
	for _, ro := range doc.Routes {
		fv.addItem("routes", string(ro.Name), ro)
	}
	for _, cu := range doc.Customers {
		fv.addItem("customers", string(cu.Name), cu)
	}
	if doc.Limits != nil {
		fv.addFields("limits", doc.Limits)
	}
	return fv
}

func (fv fieldValues) addItem(list, name string, item any) {
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
