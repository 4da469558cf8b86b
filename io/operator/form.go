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

// inputKind is the kind of HTML input of a field.
type inputKind string

// Kinds of inputs.
const (
	inputText   inputKind = "text"
	inputNumber inputKind = "number"
	inputCheck  inputKind = "check"
	inputSelect inputKind = "select"
)

// formField is one field of an item's form.
type formField struct {
	Name    string
	Label   string
	Help    string
	Kind    inputKind
	Value   string
	Checked bool
	Options []formOption
	// ReadOnly marks a field that cannot be edited.
	ReadOnly bool
	Error    string
	// Focus marks the field that gets the keyboard focus: the first one with an error,
	// else the first one that can be edited.
	Focus bool
}

// formOption is one option of a select field.
type formOption struct {
	Value    string
	Label    string
	Selected bool
}

// formPage is the content of the form page, which edits one item.
type formPage struct {
	Item draft.Item
	// New marks an item that is not in the draft document yet; only then can the name be
	// edited.
	New    bool
	Intro  string
	Fields []*formField
	// Errors is the number of fields with an error.
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

// addError adds an error to the named field, or to the first field if there is no such
// field.
func (fp *formPage) addError(name, detail string) {
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

// hasError reports whether the named field has an error. Its value, such as a number that
// cannot be parsed, is then not validated further.
func (fp *formPage) hasError(name string) bool {
	fi := fp.field(name)
	return fi != nil && fi.Error != ""
}

func (fp *formPage) setFocus() {
	for _, fi := range fp.Fields {
		if fi.Error != "" {
			fi.Focus = true
			return
		}
	}
	for _, fi := range fp.Fields {
		if !fi.ReadOnly {
			fi.Focus = true
			return
		}
	}
}

// newItem shows an empty form with safe defaults.
func (cr *consoleRequest) newItem(arg string) {
	it := parseItem(arg)
	fp := cr.emptyForm(it.Kind)
	if fp == nil {
		cr.status = fasthttp.StatusBadRequest
		cr.showOverview()
		return
	}
	fp.New = true
	cr.showForm(fp)
}

// editItem shows the form of an item.
func (cr *consoleRequest) editItem(arg string) {
	it := parseItem(arg)
	fp := cr.emptyForm(it.Kind)
	if fp == nil || !cr.fill(fp, it) {
		cr.notice = fmt.Sprintf("There is no %s %s.", it.Kind, it.Name)
		cr.status = fasthttp.StatusNotFound
		cr.showOverview()
		return
	}
	fp.Item = it
	cr.showForm(fp)
}

func (cr *consoleRequest) showForm(fp *formPage) {
	if !fp.New {
		name := fp.field("name")
		name.ReadOnly, name.Help = true, "The name can't be changed."
	}
	fp.setFocus()
	cr.render(pageForm, fp)
}

// saveItem saves a submitted form in the draft, or shows it again with its errors.
func (cr *consoleRequest) saveItem(arg string) {
	it := parseItem(arg)
	fp := cr.emptyForm(it.Kind)
	if fp == nil {
		cr.status = fasthttp.StatusBadRequest
		cr.showOverview()
		return
	}
	fp.Item, fp.New = it, it.Name == ""
	cr.readInputs(fp)
	if fp.New {
		it.Name = fp.field("name").Value
		cr.checkNameUnused(fp, it)
	}
	cr.putInDraft(fp, it)
	if fp.Errors > 0 {
		cr.status = fasthttp.StatusUnprocessableEntity
		cr.showForm(fp)
		return
	}
	cr.notice = fmt.Sprintf("The draft holds %s %s. Nothing is in force before you accept it.", it.Kind, it.Name)
	cr.showOverview()
}

// readInputs sets the fields of a form from the submitted values.
func (cr *consoleRequest) readInputs(fp *formPage) {
	for _, fi := range fp.Fields {
		if fi.ReadOnly {
			continue
		}
		text := strings.TrimSpace(cr.formValue(fi.Name))
		switch fi.Kind {
		case inputCheck:
			fi.Checked = text != ""
		case inputSelect:
			fi.selectOption(text)
		case inputNumber:
			fi.Value = text
			if _, err := strconv.ParseInt(text, 10, 64); err != nil && text != "" {
				fp.addError(fi.Name, "use a whole number")
			}
		default:
			fi.Value = text
		}
	}
	if !fp.New {
		fp.field("name").Value = fp.Item.Name
	}
}

// selectOption selects the option with the value. If there is none, it adds one that is
// labelled as not in the configuration.
func (fi *formField) selectOption(value string) {
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

func (fi *formField) intValue() int64 {
	nu, _ := strconv.ParseInt(fi.Value, 10, 64) // readInputs has reported an invalid number
	return nu
}

// checkNameUnused adds an error to the name field if an item of that kind and name exists.
func (cr *consoleRequest) checkNameUnused(fp *formPage, it draft.Item) {
	doc := cr.draftDocument()
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
	case draft.KindCustomer:
		taken = slices.ContainsFunc(doc.Customers, func(cu contract.Customer) bool { return string(cu.Name) == it.Name })
	}
	if taken {
		fp.addError("name", fmt.Sprintf("there is a %s of this name already", it.Kind))
	}
}

// putInDraft puts an item into the draft and adds the validation errors of the item to
// the form, except for fields that have an error already. If the form has any errors, it
// restores the draft.
func (cr *consoleRequest) putInDraft(fp *formPage, it draft.Item) {
	before := cr.draft.Encode()
	doc := cr.activeConfig().Document
	switch it.Kind {
	case draft.KindService:
		cr.draft.PutService(doc, serviceOf(fp))
	case draft.KindContract:
		cr.draft.PutContract(doc, termsOf(fp))
	case draft.KindRoute:
		cr.draft.PutRoute(doc, routeOf(fp))
	case draft.KindLimits:
		cr.draft.PutLimits(doc, limitsOf(fp))
	case draft.KindCustomer:
		cr.draft.PutCustomer(doc, cr.customerOf(fp))
	}
	after := cr.draftDocument()
	for _, fe := range fieldErrors(after) {
		lo := locationOf(after, fe.Path)
		if lo.item == it && !fp.hasError(lo.field) {
			fp.addError(lo.field, fe.Detail)
		}
	}
	if fp.Errors == 0 {
		return
	}
	if dr, err := draft.Parse(before); err == nil {
		cr.draft = dr
	}
}

// location is the item and field that a validation error refers to.
type location struct {
	item  draft.Item
	field string
}

// locationOf resolves the path of a validation error, such as routes[2].methods[0].
func locationOf(doc *contract.Document, path string) location {
	if field, ok := strings.CutPrefix(path, "limits."); ok {
		return location{
			item:  draft.Item{Kind: draft.KindLimits, Name: string(draft.LimitsCallers)},
			field: field,
		}
	}
	list, rest, _ := strings.Cut(path, "[")
	index, field, _ := strings.Cut(rest, "].")
	i, err := strconv.Atoi(index)
	if err != nil || i < 0 {
		return location{field: path}
	}
	field, _, _ = strings.Cut(field, "[")
	lo := location{field: field}
	switch {
	case list == "services" && i < len(doc.Services):
		lo.item = draft.Item{Kind: draft.KindService, Name: string(doc.Services[i].Name)}
	case list == "contracts" && i < len(doc.Contracts):
		lo.item = draft.Item{Kind: draft.KindContract, Name: string(doc.Contracts[i].Name)}
	case list == "customers" && i < len(doc.Customers):
		lo.item = draft.Item{Kind: draft.KindCustomer, Name: string(doc.Customers[i].Name)}
	case list == "routes" && i < len(doc.Routes):
		lo.item = draft.Item{Kind: draft.KindRoute, Name: string(doc.Routes[i].Name)}
	}
	return lo
}
