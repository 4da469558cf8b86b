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

// Plan holds the targets, the assumptions and the tables of the page.
type Plan struct {
	Title string `json:"title"`
	// Intro and the texts of tables are Markdown paragraphs.
	Intro       []string `json:"intro"`
	Targets     []Value  `json:"targets"`
	Assumptions []Value  `json:"assumptions"`
	Tables      []Table  `json:"tables"`
}

// Value is one named number: a target from letter 1 or an assumption. It is
// given as a number or worked out from the values before it.
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

// Row is one cost at the target size.
type Row struct {
	What    string `json:"what"`
	Formula string `json:"formula"`
	Unit    string `json:"unit"`
	// Limit is a formula; empty when no limit is set.
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

// page writes the Markdown of a plan with the figures of a measurement.
type page struct {
	plan   *Plan
	me     *Measurement
	source string
	vars   map[string]float64
	out    strings.Builder
}

// Render works out every figure and writes the page; source names the
// measurement's file in it.
func Render(pl *Plan, me *Measurement, source string) (string, error) {
	pa := &page{
		plan:   pl,
		me:     me,
		source: source,
		vars:   me.Variables(),
	}
	if err := pa.values(); err != nil {
		return "", err
	}
	pa.head()
	for _, ta := range pl.Tables {
		if err := pa.table(ta); err != nil {
			return "", err
		}
	}
	pa.slopes()
	return pa.out.String(), nil
}

// values works out targets and assumptions, in order.
func (pa *page) values() error {
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

func (pa *page) head() {
	pa.printf("# %s\n\n", pa.plan.Title)
	pa.printf("<!-- Generated from bench/capacity/plan.json and %s: go test ./bench/capacity -args -write -->\n\n", pa.source)
	pa.paragraphs(pa.plan.Intro)
	ma := pa.me.Machine
	pa.printf("Measured %s on %s, %d cores, %d MB, %s, commit %s. %s\n\n",
		ma.TakenAt, ma.Processor, ma.Cores, ma.MemoryMB, ma.Go, ma.Commit, ma.Note)
	pa.valueTable("Targets (letter 1)", pa.plan.Targets)
	pa.valueTable("Assumptions", pa.plan.Assumptions)
}

func (pa *page) paragraphs(texts []string) {
	for _, te := range texts {
		pa.printf("%s\n\n", te)
	}
}

func (pa *page) valueTable(title string, values []Value) {
	pa.printf("## %s\n\n| name | value | meaning |\n|---|---:|---|\n", title)
	for _, va := range values {
		pa.printf("| `%s` | %s | %s |\n", va.Name, Figure(pa.vars[va.Name]), va.Meaning)
	}
	pa.printf("\n")
}

func (pa *page) table(ta Table) error {
	pa.printf("## %s\n\n", ta.Title)
	pa.paragraphs(ta.Text)
	if len(ta.Rows) == 0 {
		return nil
	}
	pa.printf("| what | formula | slopes (line) | at the target | limit | ratio | mechanism | file |\n")
	pa.printf("|---|---|---|---:|---:|---:|---|---|\n")
	for _, ro := range ta.Rows {
		if err := pa.row(ro); err != nil {
			return err
		}
	}
	pa.printf("\n")
	return nil
}

func (pa *page) row(ro Row) error {
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
		limit = Figure(bound) + " " + ro.Unit
		ratio = fmt.Sprintf("%.2f", figure/bound)
		if figure > bound {
			ratio = "**" + ratio + " over**"
		}
	}
	pa.printf("| %s | `%s` | %s | %s %s | %s | %s | %s | %s |\n",
		ro.What, ro.Formula, pa.sources(ro.Formula), Figure(figure), ro.Unit, limit, ratio, ro.Mechanism, ro.File)
	return nil
}

// sources lists the measured slopes in a formula with their lines in the file.
func (pa *page) sources(formula string) string {
	var parts []string
	for _, na := range Names(formula) {
		if line := pa.me.Line(strings.TrimSuffix(na, "_base")); line > 0 {
			parts = append(parts, fmt.Sprintf("%s (%d)", Figure(pa.vars[na]), line))
		}
	}
	return strings.Join(parts, ", ")
}

func (pa *page) slopes() {
	pa.printf("## Measured slopes\n\n")
	pa.printf("| line | name | slope | intercept | unit | driver | sizes | residual | source |\n")
	pa.printf("|---:|---|---:|---:|---|---|---|---:|---|\n")
	for _, sl := range pa.me.Slopes {
		sizes := make([]string, 0, len(sl.Points))
		for _, po := range sl.Points {
			sizes = append(sizes, Figure(po.Size))
		}
		pa.printf("| %d | `%s` | %s | %s | %s | %s | %s | %.0f%% | %s |\n",
			pa.me.Line(sl.Name), sl.Name, Figure(sl.Fit.Slope), Figure(sl.Fit.Intercept), sl.Unit, sl.Driver,
			strings.Join(sizes, ", "), 100*sl.Fit.Residual, sl.Source)
	}
}

// Unused lists the slopes that no row uses.
func (pl *Plan) Unused(me *Measurement) []string {
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
		for _, na := range Names(fo) {
			delete(unused, strings.TrimSuffix(na, "_base"))
		}
	}
	return slices.Sorted(maps.Keys(unused))
}

// Figure writes a number with three significant digits, without an exponent.
func Figure(va float64) string {
	text := strconv.FormatFloat(va, 'g', 3, 64)
	rounded, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return text
	}
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}
