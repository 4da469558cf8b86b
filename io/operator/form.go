package operator

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"lynxfold/core/contract"
	"lynxfold/core/draft"
)

// inputKind is how a field is asked for.
type inputKind string

// Kinds of inputs.
const (
	inputText   inputKind = "text"
	inputNumber inputKind = "number"
	inputCheck  inputKind = "check"
	inputSelect inputKind = "select"
)

// formField is one field of an item's form with what was typed.
type formField struct {
	Name    string
	Label   string
	Help    string
	Kind    inputKind
	Value   string
	Checked bool
	Options []formOption
	// Fixed fields can't be changed.
	Fixed bool
	Error string
	// Focus is on the first field, or on the first with an error.
	Focus bool
}

// formOption is one choice of a field.
type formOption struct {
	Value    string
	Label    string
	Selected bool
}

// formPage is the form of one item.
type formPage struct {
	Item draft.Item
	// New items can still be named.
	New    bool
	Intro  string
	Fields []*formField
	// Errors counts the fields with an error.
	Errors int
}

func (fp *formPage) field(name string) *formField {
	for _, fi := range fp.Fields {
		if fi.Name == name {
			return fi
		}
	}
	return nil
}

// fail puts an error at its field, or at the first when it has none.
func (fp *formPage) fail(name, detail string) {
	fi := fp.field(name)
	if fi == nil {
		fi = fp.Fields[0]
	}
	if fi.Error != "" {
		fi.Error += "; "
	} else {
		fp.Errors++
	}
	fi.Error += detail
}

// failed tells whether a field has an error already, so that what it holds
// can't be judged.
func (fp *formPage) failed(name string) bool {
	fi := fp.field(name)
	return fi != nil && fi.Error != ""
}

func (fp *formPage) focus() {
	for _, fi := range fp.Fields {
		if fi.Error != "" {
			fi.Focus = true
			return
		}
	}
	for _, fi := range fp.Fields {
		if !fi.Fixed {
			fi.Focus = true
			return
		}
	}
}

// newItem shows an empty form with safe defaults.
func (vi *visit) newItem(rest string) {
	it := itemOf(rest)
	fp := vi.emptyForm(it.Kind)
	if fp == nil {
		vi.status = fasthttp.StatusBadRequest
		vi.overview()
		return
	}
	fp.New = true
	vi.showForm(fp)
}

// editItem shows an item's form.
func (vi *visit) editItem(rest string) {
	it := itemOf(rest)
	fp := vi.emptyForm(it.Kind)
	if fp == nil || !vi.fill(fp, it) {
		vi.notice = fmt.Sprintf("There is no %s %s.", it.Kind, it.Name)
		vi.status = fasthttp.StatusNotFound
		vi.overview()
		return
	}
	fp.Item = it
	vi.showForm(fp)
}

func (vi *visit) showForm(fp *formPage) {
	if !fp.New {
		name := fp.field("name")
		name.Fixed, name.Help = true, "The name can't be changed."
	}
	fp.focus()
	vi.render(pageForm, fp)
}

// keepItem takes a form into the draft, or shows it again with its errors.
func (vi *visit) keepItem(rest string) {
	it := itemOf(rest)
	fp := vi.emptyForm(it.Kind)
	if fp == nil {
		vi.status = fasthttp.StatusBadRequest
		vi.overview()
		return
	}
	fp.Item, fp.New = it, it.Name == ""
	vi.retype(fp)
	if fp.New {
		it.Name = fp.field("name").Value
		vi.checkNew(fp, it)
	}
	vi.put(fp, it)
	if fp.Errors > 0 {
		vi.status = fasthttp.StatusUnprocessableEntity
		vi.showForm(fp)
		return
	}
	vi.notice = fmt.Sprintf("The draft holds %s %s. Nothing is in force before you accept it.", it.Kind, it.Name)
	vi.overview()
}

// retype puts what was typed into a form.
func (vi *visit) retype(fp *formPage) {
	for _, fi := range fp.Fields {
		if fi.Fixed {
			continue
		}
		text := strings.TrimSpace(vi.typed(fi.Name))
		switch fi.Kind {
		case inputCheck:
			fi.Checked = text != ""
		case inputSelect:
			fi.choose(text)
		case inputNumber:
			fi.Value = text
			if _, err := strconv.ParseInt(text, 10, 64); err != nil && text != "" {
				fp.fail(fi.Name, "use a whole number")
			}
		default:
			fi.Value = text
		}
	}
	if !fp.New {
		fp.field("name").Value = fp.Item.Name
	}
}

// choose selects an option; a value that is none of them is added.
func (fi *formField) choose(value string) {
	fi.Value = value
	found := false
	for i := range fi.Options {
		fi.Options[i].Selected = fi.Options[i].Value == value
		found = found || fi.Options[i].Selected
	}
	if !found {
		fi.Options = append(fi.Options, formOption{
			Value:    value,
			Label:    value + " (not in the configuration)",
			Selected: true,
		})
	}
}

func (fi *formField) number() int64 {
	nu, _ := strconv.ParseInt(fi.Value, 10, 64) // retype has reported what is no number
	return nu
}

// checkNew reports a name that is already taken.
func (vi *visit) checkNew(fp *formPage, it draft.Item) {
	doc := vi.document()
	taken := false
	switch it.Kind {
	case draft.KindService:
		taken = slices.ContainsFunc(doc.Services, func(se contract.Service) bool { return string(se.Name) == it.Name })
	case draft.KindContract:
		taken = slices.ContainsFunc(doc.Contracts, func(te contract.Terms) bool { return string(te.Name) == it.Name })
	case draft.KindRoute:
		taken = slices.ContainsFunc(doc.Routes, func(ro contract.Route) bool { return string(ro.Name) == it.Name })
	case draft.KindLimits:
		taken = doc.Limits != nil
	}
	if taken {
		fp.fail("name", fmt.Sprintf("there is a %s of this name already", it.Kind))
	}
}

// put takes an item into the draft and reports the faults that stand at it.
func (vi *visit) put(fp *formPage, it draft.Item) {
	before := vi.draft.Encode()
	doc := vi.inForce().Document
	switch it.Kind {
	case draft.KindService:
		vi.draft.PutService(doc, serviceOf(fp))
	case draft.KindContract:
		vi.draft.PutContract(doc, termsOf(fp))
	case draft.KindRoute:
		vi.draft.PutRoute(doc, routeOf(fp))
	case draft.KindLimits:
		vi.draft.PutLimits(doc, limitsOf(fp))
	}
	after := vi.document()
	for _, fe := range fieldErrors(after) {
		place := placeOf(after, fe.Path)
		if place.item == it && !fp.failed(place.field) {
			fp.fail(place.field, fe.Detail)
		}
	}
	if fp.Errors == 0 {
		return
	}
	if dr, err := draft.Parse(before); err == nil {
		vi.draft = dr
	}
}

// place is where in a document a fault stands.
type place struct {
	item  draft.Item
	field string
}

// placeOf finds the item and field of a path such as routes[2].methods[0].
func placeOf(doc *contract.Document, path string) place {
	if field, ok := strings.CutPrefix(path, "limits."); ok {
		return place{
			item:  draft.Item{Kind: draft.KindLimits, Name: string(draft.LimitsCallers)},
			field: field,
		}
	}
	list, rest, _ := strings.Cut(path, "[")
	index, field, _ := strings.Cut(rest, "].")
	i, err := strconv.Atoi(index)
	if err != nil || i < 0 {
		return place{field: path}
	}
	field, _, _ = strings.Cut(field, "[")
	pl := place{field: field}
	switch {
	case list == "services" && i < len(doc.Services):
		pl.item = draft.Item{Kind: draft.KindService, Name: string(doc.Services[i].Name)}
	case list == "contracts" && i < len(doc.Contracts):
		pl.item = draft.Item{Kind: draft.KindContract, Name: string(doc.Contracts[i].Name)}
	case list == "routes" && i < len(doc.Routes):
		pl.item = draft.Item{Kind: draft.KindRoute, Name: string(doc.Routes[i].Name)}
	}
	return pl
}
