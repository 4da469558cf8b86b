package record

import (
	"fmt"
	"strings"
)

// Summary formats the decision as one line of text.
func (en Entry) Summary() string {
	line := strings.ReplaceAll(string(en.Kind), "_", " ")
	for _, pa := range []struct {
		label string
		value string
	}{
		{label: "host", value: string(en.Host)},
		{label: "data centre", value: en.DataCentre},
		{label: "version", value: en.versionText()},
		{label: "attempt", value: string(en.Attempt)},
		{label: "route", value: string(en.Route)},
		{label: "service", value: string(en.Service)},
		{label: "customer", value: string(en.Customer)},
		{label: "outcome", value: en.Outcome},
		{label: "because", value: en.Reason},
	} {
		if pa.value != "" {
			line += ", " + pa.label + " " + pa.value
		}
	}
	if en.Detail != "" {
		line += ": " + en.Detail
	}
	return line
}

func (en Entry) versionText() string {
	if en.Version == 0 {
		return ""
	}
	return fmt.Sprint(en.Version)
}
