// Package capacity extrapolates the resource costs of a node to the target size
// from measured slopes, and renders the page docs/CAPACITY.md from them.
package capacity

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math"
	"os"
)

// Machine describes the machine and build that a measurement was taken on.
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

// Slope is one cost, fitted as a linear function of its driver, such as the number
// of known hosts.
type Slope struct {
	// Name is the variable for the slope in formulas; Name_base is the intercept.
	Name string `json:"slope"`
	// Unit is the unit of the value per unit of the driver.
	Unit   string  `json:"unit"`
	Driver string  `json:"driver"`
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
	// Source is the file of the program that measured it.
	Source string `json:"source"`
}

// Fit is a least-squares line. Residual is the root mean square of the residuals,
// as a fraction of the mean value.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	Residual  float64 `json:"residual"`
}

// minPoints is the minimum number of sizes for a fit.
const minPoints = 4

// FitLine fits a line to points by least squares.
func FitLine(points []Point) (Fit, error) {
	if len(points) < minPoints {
		return Fit{}, &MeasurementError{Detail: fmt.Sprintf("got %d sizes, need at least %d", len(points), minPoints)}
	}
	var sx, sy, sxx, sxy float64
	n := float64(len(points))
	for _, po := range points {
		sx += po.Size
		sy += po.Value
		sxx += po.Size * po.Size
		sxy += po.Size * po.Value
	}
	denominator := n*sxx - sx*sx
	if denominator == 0 {
		return Fit{}, &MeasurementError{Detail: "all sizes are equal"}
	}
	fi := Fit{Slope: (n*sxy - sx*sy) / denominator}
	fi.Intercept = (sy - fi.Slope*sx) / n
	var squaredResiduals float64
	for _, po := range points {
		residual := po.Value - fi.Intercept - fi.Slope*po.Size
		squaredResiduals += residual * residual
	}
	if mean := sy / n; mean != 0 {
		fi.Residual = math.Sqrt(squaredResiduals/n) / math.Abs(mean)
	}
	return fi, nil
}

// MeasurementError reports a measurement or plan that can't be read, written or fitted.
type MeasurementError struct {
	Detail string
}

func (er *MeasurementError) Error() string { return "measurement: " + er.Detail }

// Measurement is the result of one run: the machine and the measured slopes.
type Measurement struct {
	Machine Machine
	Slopes  []Slope
	// lines holds the line number in the file by slope name.
	lines map[string]int
}

// ReadMeasurement reads a JSON Lines file: the machine on the first line, then one
// slope per line. It fits each slope again from its points.
func ReadMeasurement(path string) (*Measurement, error) {
	fi, err := os.Open(path)
	if err != nil {
		return nil, &MeasurementError{Detail: err.Error()}
	}
	defer func() { _ = fi.Close() }()
	me := &Measurement{lines: map[string]int{}}
	sc := bufio.NewScanner(fi)
	sc.Buffer(nil, 1<<20)
	for line := 1; sc.Scan(); line++ {
		if err := me.parseLine(line, sc.Bytes()); err != nil {
			return nil, err
		}
	}
	return me, sc.Err()
}

func (me *Measurement) parseLine(line int, data []byte) error {
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

// Write writes the measurement in the format that ReadMeasurement reads.
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

// AddMissing adds the slopes that this run did not measure from the file of a
// previous run.
func (me *Measurement) AddMissing(path string) error {
	previous, err := ReadMeasurement(path)
	if err != nil {
		return err
	}
	measured := map[string]bool{}
	for _, sl := range me.Slopes {
		measured[sl.Name] = true
	}
	for _, sl := range previous.Slopes {
		if !measured[sl.Name] {
			me.Slopes = append(me.Slopes, sl)
		}
	}
	return nil
}

// Variables returns the slopes and intercepts by the names that formulas use.
func (me *Measurement) Variables() map[string]float64 {
	vars := map[string]float64{}
	for _, sl := range me.Slopes {
		vars[sl.Name] = sl.Fit.Slope
		vars[sl.Name+"_base"] = sl.Fit.Intercept
	}
	return vars
}

// Line returns the line number of a slope in the file, or 0 if the file lacks it.
func (me *Measurement) Line(name string) int { return me.lines[name] }
