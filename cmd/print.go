package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"lynxfold/core/draft"
	"lynxfold/io/operator"
)

func printJSON(wr io.Writer, body any) {
	en := json.NewEncoder(wr)
	en.SetIndent("", "  ")
	en.SetEscapeHTML(false)
	// An error of the output stream can't be reported anywhere.
	_ = en.Encode(body)
}

// printProblem prints the fields and conflicts of a problem.
func printProblem(wr io.Writer, pr operator.Problem) {
	for i := range pr.Fields {
		_, _ = fmt.Fprintf(wr, "  %s\n", pr.Fields[i].Error())
	}
	for _, co := range pr.Conflicts {
		_, _ = fmt.Fprintf(wr, "  %s %s\n", co.Kind, co.Name)
		printConflictFields(wr, co)
	}
}

// printConflictFields prints the fields in which the two edits of an item differ.
func printConflictFields(wr io.Writer, co operator.ConflictBody) {
	labels := co.Before
	for _, fields := range [][]draft.Field{co.Theirs, co.Yours} {
		if len(fields) > len(labels) {
			labels = fields
		}
	}
	for i, fi := range labels {
		was, theirs, yours := valueAt(co.Before, i), valueAt(co.Theirs, i), valueAt(co.Yours, i)
		if theirs != yours {
			_, _ = fmt.Fprintf(wr, "    %s: was %s, theirs %s, yours %s\n", fi.Label, was, theirs, yours)
		}
	}
}

func valueAt(fields []draft.Field, i int) string {
	if i >= len(fields) {
		return "not there"
	}
	return fields[i].Value
}

// table prints rows in aligned columns.
func table(wr io.Writer, rows [][]string) {
	var widths []int
	for _, row := range rows {
		for i, cell := range row {
			if i == len(widths) {
				widths = append(widths, 0)
			}
			widths[i] = max(widths[i], len(cell))
		}
	}
	for _, row := range rows {
		var sb strings.Builder
		for i, cell := range row {
			fmt.Fprintf(&sb, "%-*s  ", widths[i], cell)
		}
		_, _ = fmt.Fprintln(wr, strings.TrimRight(sb.String(), " "))
	}
}
