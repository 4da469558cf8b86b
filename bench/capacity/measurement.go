// Package capacity works out what a node costs at the target size from measured
// slopes, and renders the page docs/CAPACITY.md from them.
package capacity

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math"
	"os"
)

// Machine describes where a measurement was taken.
type Machine struct {
	TakenAt   string `json:"taken_at"`
	Processor string `json:"processor"`
	Cores     int    `json:"cores"`
	MemoryMB  int    `json:"memory_mb"`
	Go        string `json:"go"`
	Commit    string `json:"commit"`
	Note      string `json:"note,omitempty"`
}

// Point is one measured value at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Slope is one cost fitted against what drives it.
type Slope struct {
	// Name is used in formulas: Name is the slope, Name_base the intercept.
	Name string `json:"slope"`
	// Unit is the unit of the value for each unit of the driver.
	Unit   string  `json:"unit"`
	Driver string  `json:"driver"`
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
	// Source is the test that measured it.
	Source string `json:"source"`
}

// Fit is a least-squares line; Residual is the root mean square of what it
// leaves, as a share of the mean value.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	Residual  float64 `json:"residual"`
}

// minPoints is the least number of sizes that a slope is fitted to.
const minPoints = 4

// FitLine fits a line to points by least squares.
func FitLine(points []Point) (Fit, error) {
	if len(points) < minPoints {
		return Fit{}, &MeasurementError{Detail: fmt.Sprintf("%d sizes, at least %d", len(points), minPoints)}
	}
	var sx, sy, sxx, sxy float64
	n := float64(len(points))
	for _, po := range points {
		sx += po.Size
		sy += po.Value
		sxx += po.Size * po.Size
		sxy += po.Size * po.Value
	}
	spread := n*sxx - sx*sx
	if spread == 0 {
		return Fit{}, &MeasurementError{Detail: "all sizes are the same"}
	}
	fi := Fit{Slope: (n*sxy - sx*sy) / spread}
	fi.Intercept = (sy - fi.Slope*sx) / n
	var squares float64
	for _, po := range points {
		left := po.Value - fi.Intercept - fi.Slope*po.Size
		squares += left * left
	}
	if mean := sy / n; mean != 0 {
		fi.Residual = math.Sqrt(squares/n) / math.Abs(mean)
	}
	return fi, nil
}

// MeasurementError reports a measurement that can't be used.
type MeasurementError struct {
	Detail string
}

func (er *MeasurementError) Error() string { return "measurement: " + er.Detail }

// Measurement is one run: the machine and its slopes by name.
type Measurement struct {
	Machine Machine
	Slopes  []Slope
	lines   map[string]int
}

// Read reads a JSON-lines file: the machine first, then a line for each slope.
func Read(path string) (*Measurement, error) {
	fi, err := os.Open(path)
	if err != nil {
		return nil, &MeasurementError{Detail: err.Error()}
	}
	defer func() { _ = fi.Close() }()
	me := &Measurement{lines: map[string]int{}}
	sc := bufio.NewScanner(fi)
	sc.Buffer(nil, 1<<20)
	for line := 1; sc.Scan(); line++ {
		if err := me.take(line, sc.Bytes()); err != nil {
			return nil, err
		}
	}
	return me, sc.Err()
}

func (me *Measurement) take(line int, data []byte) error {
	if line == 1 {
		return json.Unmarshal(data, &me.Machine)
	}
	var sl Slope
	if err := json.Unmarshal(data, &sl); err != nil {
		return err
	}
	fi, err := FitLine(sl.Points)
	if err != nil {
		return err
	}
	sl.Fit = fi
	me.Slopes = append(me.Slopes, sl)
	me.lines[sl.Name] = line
	return nil
}

// Write writes the JSON-lines file.
func (me *Measurement) Write(path string) error {
	fi, err := os.Create(path)
	if err != nil {
		return &MeasurementError{Detail: err.Error()}
	}
	en := json.NewEncoder(fi)
	if err := en.Encode(me.Machine); err != nil {
		return err
	}
	for _, sl := range me.Slopes {
		if err := en.Encode(sl); err != nil {
			return err
		}
	}
	return fi.Close()
}

// Keep takes the slopes that this run did not measure from a former run's file.
func (me *Measurement) Keep(path string) error {
	former, err := Read(path)
	if err != nil {
		return err
	}
	fresh := map[string]bool{}
	for _, sl := range me.Slopes {
		fresh[sl.Name] = true
	}
	for _, sl := range former.Slopes {
		if !fresh[sl.Name] {
			me.Slopes = append(me.Slopes, sl)
		}
	}
	return nil
}

// Variables are the names that formulas may use, from the slopes.
func (me *Measurement) Variables() map[string]float64 {
	vars := map[string]float64{}
	for _, sl := range me.Slopes {
		vars[sl.Name] = sl.Fit.Slope
		vars[sl.Name+"_base"] = sl.Fit.Intercept
	}
	return vars
}

// Line is the line of the file that holds a slope, 0 when there is none.
func (me *Measurement) Line(name string) int { return me.lines[name] }
