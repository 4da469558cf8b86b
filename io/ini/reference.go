package ini

import (
	"fmt"
	"strings"
)

// ReferenceFile returns a settings file that lists every key with its meaning and its
// default or an example value.
func ReferenceFile() string {
	var sb strings.Builder
	sb.WriteString("# Settings of a lynxfold node. Required keys have example values;\n")
	sb.WriteString("# the others are commented out and show their defaults.\n")
	section := ""
	for _, ke := range allKeys() {
		if ke.section != section {
			section = ke.section
			fmt.Fprintf(&sb, "\n[%s]\n", section)
		}
		fmt.Fprintf(&sb, "# %s\n", ke.help)
		if ke.required {
			fmt.Fprintf(&sb, "%s = %s\n", ke.name, examples[ke.section+"."+ke.name])
			continue
		}
		fmt.Fprintf(&sb, "; %s = %s\n", ke.name, ke.defaultText)
	}
	return sb.String()
}

// examples are the values of the required keys in the reference file.
var examples = map[string]string{
	"mesh.name":           "szeged",
	"host.id":             "press-hall-1",
	"host.data_centre":    "press-hall",
	"link.listen":         "127.0.0.1:7400",
	"caller.listen":       "127.0.0.1:7401",
	"upstream.listen":     "127.0.0.1:7402",
	"operator.listen":     "127.0.0.1:7403",
	"platform.table_url":  "http://127.0.0.1:7300",
	"platform.object_url": "http://127.0.0.1:7300",
}
