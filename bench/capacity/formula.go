package capacity

import (
	"go/ast"
	"go/parser"
	"go/token"
	"math"
	"slices"
	"strconv"
)

// FormulaError reports a formula that can't be worked out.
type FormulaError struct {
	Formula string
	Detail  string
}

func (er *FormulaError) Error() string { return "formula " + er.Formula + ": " + er.Detail }

// Evaluate works out an arithmetic formula with named variables. It knows + - * /,
// parentheses and the functions max, min and sqrt.
func Evaluate(formula string, vars map[string]float64) (float64, error) {
	ex, err := parser.ParseExpr(formula)
	if err != nil {
		return 0, &FormulaError{Formula: formula, Detail: err.Error()}
	}
	ev := &evaluation{
		formula: formula,
		vars:    vars,
	}
	va := ev.value(ex)
	if ev.err != nil {
		return 0, ev.err
	}
	if math.IsNaN(va) || math.IsInf(va, 0) {
		return 0, &FormulaError{Formula: formula, Detail: "not a number"}
	}
	return va, nil
}

// Names lists the variables that a formula uses.
func Names(formula string) []string {
	ex, err := parser.ParseExpr(formula)
	if err != nil {
		return nil
	}
	var names []string
	ast.Inspect(ex, func(no ast.Node) bool {
		if ca, ok := no.(*ast.CallExpr); ok {
			for _, ar := range ca.Args {
				ast.Inspect(ar, collect(&names))
			}
			return false
		}
		return collect(&names)(no)
	})
	slices.Sort(names)
	return slices.Compact(names)
}

func collect(names *[]string) func(ast.Node) bool {
	return func(no ast.Node) bool {
		if id, ok := no.(*ast.Ident); ok {
			*names = append(*names, id.Name)
		}
		return true
	}
}

// evaluation keeps the first error of a formula.
type evaluation struct {
	formula string
	vars    map[string]float64
	err     error
}

func (ev *evaluation) fail(detail string) float64 {
	if ev.err == nil {
		ev.err = &FormulaError{Formula: ev.formula, Detail: detail}
	}
	return 0
}

func (ev *evaluation) value(ex ast.Expr) float64 {
	switch ex := ex.(type) {
	case *ast.BasicLit:
		return ev.number(ex)
	case *ast.Ident:
		va, ok := ev.vars[ex.Name]
		if !ok {
			return ev.fail("unknown name " + ex.Name)
		}
		return va
	case *ast.ParenExpr:
		return ev.value(ex.X)
	case *ast.UnaryExpr:
		if ex.Op == token.SUB {
			return -ev.value(ex.X)
		}
	case *ast.BinaryExpr:
		return ev.binary(ex)
	case *ast.CallExpr:
		return ev.call(ex)
	}
	return ev.fail("unknown expression")
}

func (ev *evaluation) number(li *ast.BasicLit) float64 {
	va, err := strconv.ParseFloat(li.Value, 64)
	if err != nil {
		return ev.fail(err.Error())
	}
	return va
}

func (ev *evaluation) binary(ex *ast.BinaryExpr) float64 {
	x, y := ev.value(ex.X), ev.value(ex.Y)
	switch ex.Op {
	case token.ADD:
		return x + y
	case token.SUB:
		return x - y
	case token.MUL:
		return x * y
	case token.QUO:
		return x / y
	}
	return ev.fail("unknown operator " + ex.Op.String())
}

func (ev *evaluation) call(ex *ast.CallExpr) float64 {
	fn, ok := ex.Fun.(*ast.Ident)
	if !ok {
		return ev.fail("unknown function")
	}
	args := make([]float64, 0, len(ex.Args))
	for _, ar := range ex.Args {
		args = append(args, ev.value(ar))
	}
	switch {
	case fn.Name == "max" && len(args) > 0:
		return slices.Max(args)
	case fn.Name == "min" && len(args) > 0:
		return slices.Min(args)
	case fn.Name == "sqrt" && len(args) == 1:
		return math.Sqrt(args[0])
	}
	return ev.fail("unknown function " + fn.Name)
}
