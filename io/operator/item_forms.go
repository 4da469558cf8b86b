package operator

import (
	"fmt"
	"strconv"
	"strings"

	"lynxfold/core/contract"
	"lynxfold/core/draft"
)

// defaultTimeoutMS is the timeout that the form of a new contract proposes.
const defaultTimeoutMS = 5000

const nameHelp = "Up to 63 lower-case letters, digits and hyphens. It can't be changed later."

// emptyForm returns the form of a kind of item; nil if the kind is unknown.
func (cr *consoleRequest) emptyForm(ki draft.ItemKind) *formPage {
	switch ki {
	case draft.KindService:
		return serviceForm()
	case draft.KindContract:
		return contractForm()
	case draft.KindRoute:
		return routeForm(cr.draftDocument())
	case draft.KindLimits:
		return limitsForm()
	case draft.KindCustomer:
		return customerForm()
	}
	return nil
}

func limitsForm() *formPage {
	return &formPage{
		Item:  draft.Item{Kind: draft.KindLimits},
		Intro: "Limits bound what callers may send, on every host. 0 leaves a limit to the settings of each host.",
		Fields: []*formField{
			{Name: "name", Label: "Name", Kind: inputText, Value: string(draft.LimitsCallers), ReadOnly: true},
			{
				Name: "max_header_bytes", Label: "Header, in bytes", Kind: inputNumber, Value: "0",
				Help: "Requests with a longer header are refused with 431.",
			},
			{
				Name: "max_body_bytes", Label: "Body, in bytes", Kind: inputNumber, Value: "0",
				Help: "Requests with a longer body are refused with 413.",
			},
			{
				Name: "header_timeout_ms", Label: "Header timeout, in milliseconds", Kind: inputNumber, Value: "0",
				Help: "A header that takes longer to arrive is refused with 408.",
			},
			{
				Name: "idle_timeout_ms", Label: "Idle timeout, in milliseconds", Kind: inputNumber, Value: "0",
				Help: "A connection that is idle for longer is closed.",
			},
		},
	}
}

func serviceForm() *formPage {
	return &formPage{
		Item:  draft.Item{Kind: draft.KindService},
		Intro: "A service is a set of upstreams that answer the same calls. Upstreams announce themselves under its name.",
		Fields: []*formField{
			{Name: "name", Label: "Name", Help: nameHelp, Kind: inputText},
			{Name: "description", Label: "Description", Help: "For the people who read this; it changes nothing.", Kind: inputText},
			{Name: "health_path", Label: "Health path", Help: "Where an upstream says whether it is healthy, such as /healthz. A node asks there once after a restart. Empty means never.", Kind: inputText},
		},
	}
}

func contractForm() *formPage {
	return &formPage{
		Item:  draft.Item{Kind: draft.KindContract},
		Intro: "A contract says how calls may be made. Unless you say otherwise, a call is never repeated.",
		Fields: []*formField{
			{Name: "name", Label: "Name", Help: nameHelp, Kind: inputText},
			{
				Name: "idempotent", Label: "Idempotent: a call may run more than once", Kind: inputCheck,
				Help: "Only for calls that change nothing or change the same thing again, such as a lookup. Leave it off for bookings and payments.",
			},
			{
				Name: "keyed", Label: "Keyed: callers send an Idempotency-Key", Kind: inputCheck,
				Help: "A call with a key that was answered before gets the same answer again and does not run. It costs a write on the platform for each call.",
			},
			{
				Name: "timeout_ms", Label: "Timeout, in milliseconds", Kind: inputNumber, Value: strconv.Itoa(defaultTimeoutMS),
				Help: "A call that takes longer is given up.",
			},
			{
				Name: "retries", Label: "Retries", Kind: inputNumber, Value: "0",
				Help: "Further attempts, 0 to 5. A call that is not idempotent is tried again only when it certainly did not run.",
			},
			{
				Name: "hedge_after_ms", Label: "Hedge after, in milliseconds", Kind: inputNumber, Value: "0",
				Help: "An idempotent call without an answer after this time is sent a second time. 0 means never.",
			},
			{
				Name: "class", Label: "Class", Kind: inputSelect, Value: string(contract.ClassLookup),
				Help: "Bulk calls, such as photo sets, wait behind lookups.",
				Options: []formOption{
					{Value: string(contract.ClassLookup), Label: "lookup: short calls that somebody waits for", Selected: true},
					{Value: string(contract.ClassBulk), Label: "bulk: long transfers"},
				},
			},
			{
				Name: "rank", Label: "Rank", Kind: inputNumber, Value: "0",
				Help: "When an upstream is short of room, calls of rank 0 go before those of rank 1, and so on.",
			},
			{
				Name: "objective_ms", Label: "Objective, in milliseconds", Kind: inputNumber, Value: "0",
				Help: "The time within which an answer is wanted. 0 means any time before the timeout.",
			},
		},
	}
}

func routeForm(doc *contract.Document) *formPage {
	var services, contracts []formOption
	fallbacks := []formOption{{Label: "none"}}
	for _, se := range doc.Services {
		services = append(services, formOption{Value: string(se.Name), Label: string(se.Name)})
	}
	for _, te := range doc.Contracts {
		label := string(te.Name) + ": never repeated"
		if te.Idempotent {
			label = string(te.Name) + ": idempotent"
		}
		contracts = append(contracts, formOption{Value: string(te.Name), Label: label})
	}
	for _, ro := range doc.Routes {
		fallbacks = append(fallbacks, formOption{Value: string(ro.Name), Label: string(ro.Name)})
	}
	return &formPage{
		Item:  draft.Item{Kind: draft.KindRoute},
		Intro: "A route sends the calls for a path to a service under a contract. The longest path that fits goes first.",
		Fields: []*formField{
			{Name: "name", Label: "Name", Help: nameHelp, Kind: inputText},
			{Name: "host", Label: "Host", Help: "Only calls to this host name, such as portal.example. Empty means any host that no route names.", Kind: inputText},
			{Name: "path_prefix", Label: "Path", Help: "Calls to this path and everything below it, such as /results.", Kind: inputText, Value: "/"},
			{Name: "methods", Label: "Methods", Help: "Separated by spaces, such as GET HEAD. Empty means all.", Kind: inputText},
			{Name: "service", Label: "Service", Kind: inputSelect, Options: services},
			{Name: "split", Label: "Split", Help: "Several services with weights in place of one, such as portal=90 archive=10. Empty means that all calls go to the service above.", Kind: inputText},
			{Name: "contract", Label: "Contract", Kind: inputSelect, Options: contracts},
			{
				Name: "fallback", Label: "Fallback", Kind: inputSelect, Options: fallbacks,
				Help: "The route that is taken when the service has no usable upstream.",
			},
			{
				Name: "public", Label: "Public: calls need no key", Kind: inputCheck,
				Help: "Where the configuration has customers, calls on all other routes need the key of one.",
			},
		},
	}
}

// fill sets the fields of a form from an item of the draft document. It returns false if
// there is no such item.
func (cr *consoleRequest) fill(fp *formPage, it draft.Item) bool {
	doc := cr.draftDocument()
	switch it.Kind {
	case draft.KindService:
		for _, se := range doc.Services {
			if string(se.Name) == it.Name {
				fp.setValues(map[string]string{"name": it.Name, "description": se.Description, "health_path": se.HealthPath})
				return true
			}
		}
	case draft.KindContract:
		for _, te := range doc.Contracts {
			if string(te.Name) == it.Name {
				fp.fillTerms(te)
				return true
			}
		}
	case draft.KindRoute:
		for _, ro := range doc.Routes {
			if string(ro.Name) == it.Name {
				fp.fillRoute(ro)
				return true
			}
		}
	case draft.KindLimits:
		if doc.Limits != nil {
			fp.fillLimits(*doc.Limits)
			return true
		}
	case draft.KindCustomer:
		for _, cu := range doc.Customers {
			if string(cu.Name) == it.Name {
				fp.fillCustomer(cu)
				return true
			}
		}
	}
	return false
}

func (fp *formPage) setValues(values map[string]string) {
	for name, va := range values {
		fi := fp.field(name)
		if fi.Kind == inputSelect {
			fi.selectOption(va)
			continue
		}
		fi.Value = va
	}
}

func (fp *formPage) fillTerms(te contract.Terms) {
	fp.field("idempotent").Checked = te.Idempotent
	fp.field("keyed").Checked = te.Keyed
	fp.setValues(map[string]string{
		"name":           string(te.Name),
		"timeout_ms":     strconv.FormatInt(te.TimeoutMS, 10),
		"retries":        strconv.Itoa(te.Retries),
		"hedge_after_ms": strconv.FormatInt(te.HedgeAfterMS, 10),
		"class":          string(te.Class),
		"rank":           strconv.Itoa(te.Rank),
		"objective_ms":   strconv.FormatInt(te.ObjectiveMS, 10),
	})
}

func (fp *formPage) fillRoute(ro contract.Route) {
	fp.field("public").Checked = ro.Public
	fp.setValues(map[string]string{
		"name":        string(ro.Name),
		"host":        ro.Host,
		"path_prefix": ro.PathPrefix,
		"split":       contract.FormatSplit(ro.Split),
		"methods":     strings.Join(ro.Methods, " "),
		"service":     string(ro.Service),
		"contract":    string(ro.Contract),
		"fallback":    string(ro.Fallback),
	})
}

func (fp *formPage) fillLimits(li contract.Limits) {
	fp.setValues(map[string]string{
		"max_header_bytes":  strconv.FormatInt(li.MaxHeaderBytes, 10),
		"max_body_bytes":    strconv.FormatInt(li.MaxBodyBytes, 10),
		"header_timeout_ms": strconv.FormatInt(li.HeaderTimeoutMS, 10),
		"idle_timeout_ms":   strconv.FormatInt(li.IdleTimeoutMS, 10),
	})
}

func limitsOf(fp *formPage) contract.Limits {
	return contract.Limits{
		MaxHeaderBytes:  fp.field("max_header_bytes").intValue(),
		MaxBodyBytes:    fp.field("max_body_bytes").intValue(),
		HeaderTimeoutMS: fp.field("header_timeout_ms").intValue(),
		IdleTimeoutMS:   fp.field("idle_timeout_ms").intValue(),
	}
}

func serviceOf(fp *formPage) contract.Service {
	return contract.Service{
		Name:        contract.ServiceName(fp.field("name").Value),
		Description: fp.field("description").Value,
		HealthPath:  fp.field("health_path").Value,
	}
}

func termsOf(fp *formPage) contract.Terms {
	return contract.Terms{
		Name:         contract.TermsName(fp.field("name").Value),
		Idempotent:   fp.field("idempotent").Checked,
		Keyed:        fp.field("keyed").Checked,
		TimeoutMS:    fp.field("timeout_ms").intValue(),
		Retries:      int(fp.field("retries").intValue()),
		HedgeAfterMS: fp.field("hedge_after_ms").intValue(),
		Class:        contract.Class(fp.field("class").Value),
		Rank:         int(fp.field("rank").intValue()),
		ObjectiveMS:  fp.field("objective_ms").intValue(),
	}
}

func routeOf(fp *formPage) contract.Route {
	ro := contract.Route{
		Name:       contract.RouteName(fp.field("name").Value),
		PathPrefix: fp.field("path_prefix").Value,
		Service:    contract.ServiceName(fp.field("service").Value),
		Contract:   contract.TermsName(fp.field("contract").Value),
		Fallback:   contract.RouteName(fp.field("fallback").Value),
		Host:       strings.ToLower(strings.TrimSpace(fp.field("host").Value)),
		Split:      contract.ParseSplit(fp.field("split").Value),
		Public:     fp.field("public").Checked,
	}
	if len(ro.Split) > 0 {
		ro.Service = ""
	}
	for _, me := range strings.FieldsFunc(fp.field("methods").Value, func(ru rune) bool { return ru == ' ' || ru == ',' }) {
		ro.Methods = append(ro.Methods, strings.ToUpper(me))
	}
	return ro
}

func plural(n int, noun string) string {
	switch {
	case n == 1:
		return "1 " + noun
	case strings.HasSuffix(noun, "y"):
		return fmt.Sprintf("%d %sies", n, strings.TrimSuffix(noun, "y"))
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

func formatMilliseconds(ms int64) string { return fmt.Sprintf("%d ms", ms) }
