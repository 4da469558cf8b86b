package capacity

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
)

// Plan is the content of the page: targets, assumptions and tables of formulas.
type Plan struct {
	Title string `json:"title"`
	// Intro holds Markdown paragraphs, like Table.Text.
	Intro       []string `json:"intro"`
	Targets     []Value  `json:"targets"`
	Assumptions []Value  `json:"assumptions"`
	Tables      []Table  `json:"tables"`
}

// Value is a named number: a target from the requirements or an assumption. It is
// either a constant or a formula over the slopes and the values before it.
type Value struct {
	Name    string  `json:"name"`
	Number  float64 `json:"number,omitempty"`
	Formula string  `json:"formula,omitempty"`
	Meaning string  `json:"meaning"`
}

// Table is one table of the page.
type Table struct {
	Title string   `json:"title"`
	Text  []string `json:"text,omitempty"`
	Rows  []Row    `json:"rows"`
}

// Row is one cost, computed at the target size.
type Row struct {
	Cost    string `json:"what"`
	Formula string `json:"formula"`
	Unit    string `json:"unit"`
	// Limit is the formula of the upper bound; empty means no limit.
	Limit     string `json:"limit,omitempty"`
	Mechanism string `json:"mechanism"`
	File      string `json:"file"`
}

// ReadPlan reads the plan from a JSON file.
func ReadPlan(path string) (*Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &MeasurementError{Detail: err.Error()}
	}
	pl := &Plan{}
	if err := json.Unmarshal(data, pl); err != nil {
		return nil, &MeasurementError{Detail: path + ": " + err.Error()}
	}
	return pl, nil
}

// page renders a plan as Markdown with the numbers of a measurement.
type page struct {
	plan   *Plan
	me     *Measurement
	source string
	vars   map[string]float64
	out    strings.Builder
}

// Render evaluates every formula of the plan and returns the page as Markdown.
// source is the path of the measurement file to print on the page.
func Render(pl *Plan, me *Measurement, source string) (string, error) {
	pa := &page{
		plan:   pl,
		me:     me,
		source: source,
		vars:   me.Variables(),
	}
	if err := pa.evaluateValues(); err != nil {
		return "", err
	}
	pa.writeHeader()
	for _, ta := range pl.Tables {
		if err := pa.writeTable(ta); err != nil {
			return "", err
		}
	}
	pa.writeSlopes()
	return pa.out.String(), nil
}

// evaluateValues computes targets and assumptions in order, as each may use those
// before it.
func (pa *page) evaluateValues() error {
	for _, va := range slices.Concat(pa.plan.Targets, pa.plan.Assumptions) {
		number := va.Number
		if va.Formula != "" {
			var err error
			number, err = Evaluate(va.Formula, pa.vars)
			if err != nil {
				return err
			}
		}
		pa.vars[va.Name] = number
	}
	return nil
}

func (pa *page) printf(format string, args ...any) { fmt.Fprintf(&pa.out, format, args...) }

func (pa *page) writeHeader() {
	pa.printf("# %s\n\n", pa.plan.Title)
	pa.printf("<!-- Generated from bench/capacity/plan.json and %s: go test ./bench/capacity -args -write -->\n\n", pa.source)
	pa.writeParagraphs(pa.plan.Intro)
	ma := pa.me.Machine
	pa.printf("Measured %s on %s, %d cores, %d MB, %s, commit %s. %s\n\n",
		ma.TakenAt, ma.Processor, ma.Cores, ma.MemoryMB, ma.Go, ma.Commit, ma.Note)
	pa.writeValueTable("Targets (letter 1)", pa.plan.Targets)
	pa.writeValueTable("Assumptions", pa.plan.Assumptions)
}

func (pa *page) writeParagraphs(texts []string) {
	for _, te := range texts {
		pa.printf("%s\n\n", te)
	}
}

func (pa *page) writeValueTable(title string, values []Value) {
	pa.printf("## %s\n\n| name | value | meaning |\n|---|---:|---|\n", title)
	for _, va := range values {
		pa.printf("| `%s` | %s | %s |\n", va.Name, FormatNumber(pa.vars[va.Name]), va.Meaning)
	}
	pa.printf("\n")
}

func (pa *page) writeTable(ta Table) error {
	pa.printf("## %s\n\n", ta.Title)
	pa.writeParagraphs(ta.Text)
	if len(ta.Rows) == 0 {
		return nil
	}
	pa.printf("| what | formula | slopes (line) | at the target | limit | ratio | mechanism | file |\n")
	pa.printf("|---|---|---|---:|---:|---:|---|---|\n")
	for _, ro := range ta.Rows {
		if err := pa.writeRow(ro); err != nil {
			return err
		}
	}
	pa.printf("\n")
	return nil
}

func (pa *page) writeRow(ro Row) error {
	figure, err := Evaluate(ro.Formula, pa.vars)
	if err != nil {
		return err
	}
	limit, ratio := "none", ""
	if ro.Limit != "" {
		bound, err := Evaluate(ro.Limit, pa.vars)
		if err != nil {
			return err
		}
		limit = FormatNumber(bound) + " " + ro.Unit
		ratio = fmt.Sprintf("%.2f", figure/bound)
		if figure > bound {
			ratio = "**" + ratio + " over**"
		}
	}
	pa.printf("| %s | `%s` | %s | %s %s | %s | %s | %s | %s |\n",
		ro.Cost, ro.Formula, pa.slopeReferences(ro.Formula), FormatNumber(figure), ro.Unit, limit, ratio, ro.Mechanism, ro.File)
	return nil
}

// slopeReferences lists the measured slopes in a formula with their line numbers in
// the measurement file.
func (pa *page) slopeReferences(formula string) string {
	var parts []string
	for _, na := range VariableNames(formula) {
		if line := pa.me.Line(strings.TrimSuffix(na, "_base")); line > 0 {
			parts = append(parts, fmt.Sprintf("%s (%d)", FormatNumber(pa.vars[na]), line))
		}
	}
	return strings.Join(parts, ", ")
}

func (pa *page) writeSlopes() {
	pa.printf("## Measured slopes\n\n")
	pa.printf("| line | name | slope | intercept | unit | driver | sizes | residual | source |\n")
	pa.printf("|---:|---|---:|---:|---|---|---|---:|---|\n")
	for _, sl := range pa.me.Slopes {
		sizes := make([]string, 0, len(sl.Points))
		for _, po := range sl.Points {
			sizes = append(sizes, FormatNumber(po.Size))
		}
		pa.printf("| %d | `%s` | %s | %s | %s | %s | %s | %.0f%% | %s |\n",
			pa.me.Line(sl.Name), sl.Name, FormatNumber(sl.Fit.Slope), FormatNumber(sl.Fit.Intercept), sl.Unit, sl.Driver,
			strings.Join(sizes, ", "), 100*sl.Fit.Residual, sl.Source)
	}
}

// UnusedSlopes returns the names of the slopes that no formula of the plan uses.
func (pl *Plan) UnusedSlopes(me *Measurement) []string {
	unused := map[string]bool{}
	for _, sl := range me.Slopes {
		unused[sl.Name] = true
	}
	var formulas []string
	for _, va := range slices.Concat(pl.Targets, pl.Assumptions) {
		formulas = append(formulas, va.Formula)
	}
	for _, ta := range pl.Tables {
		for _, ro := range ta.Rows {
			formulas = append(formulas, ro.Formula, ro.Limit)
		}
	}
	for _, fo := range formulas {
		for _, na := range VariableNames(fo) {
			delete(unused, strings.TrimSuffix(na, "_base"))
		}
	}
	return slices.Sorted(maps.Keys(unused))
}

// FormatNumber formats a number with three significant digits and no exponent.
func FormatNumber(va float64) string {
	text := strconv.FormatFloat(va, 'g', 3, 64)
	rounded, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return text
	}
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}
