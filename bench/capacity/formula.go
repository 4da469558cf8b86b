package capacity

import (
	"go/ast"
	"go/parser"
	"go/token"
	"math"
	"slices"
	"strconv"
)

// FormulaError reports a formula that is malformed or has no finite value.
type FormulaError struct {
	Formula string
	Detail  string
}

func (er *FormulaError) Error() string { return "formula " + er.Formula + ": " + er.Detail }

// Evaluate computes an arithmetic formula with named variables. It supports + - * /,
// parentheses and the functions max, min and sqrt.
func Evaluate(formula string, vars map[string]float64) (float64, error) {
	ex, err := parser.ParseExpr(formula)
	if err != nil {
		return 0, &FormulaError{Formula: formula, Detail: err.Error()}
	}
	ev := &evaluator{
		formula: formula,
		vars:    vars,
	}
	va := ev.value(ex)
	if ev.err != nil {
		return 0, ev.err
	}
	if math.IsNaN(va) || math.IsInf(va, 0) {
		return 0, &FormulaError{Formula: formula, Detail: "result is not a finite number"}
	}
	return va, nil
}

// VariableNames returns the variables that a formula uses, sorted and without duplicates.
func VariableNames(formula string) []string {
	ex, err := parser.ParseExpr(formula)
	if err != nil {
		return nil
	}
	var names []string
	ast.Inspect(ex, func(no ast.Node) bool {
		if ca, ok := no.(*ast.CallExpr); ok {
			for _, ar := range ca.Args {
				ast.Inspect(ar, collectIdentifiers(&names))
			}
			return false
		}
		return collectIdentifiers(&names)(no)
	})
	slices.Sort(names)
	return slices.Compact(names)
}

func collectIdentifiers(names *[]string) func(ast.Node) bool {
	return func(no ast.Node) bool {
		if id, ok := no.(*ast.Ident); ok {
			*names = append(*names, id.Name)
		}
		return true
	}
}

// evaluator computes one formula and keeps the first error.
type evaluator struct {
	formula string
	vars    map[string]float64
	err     error
}

func (ev *evaluator) fail(detail string) float64 {
	if ev.err == nil {
		ev.err = &FormulaError{Formula: ev.formula, Detail: detail}
	}
	return 0
}

func (ev *evaluator) value(ex ast.Expr) float64 {
	switch ex := ex.(type) {
	case *ast.BasicLit:
		return ev.number(ex)
	case *ast.Ident:
		va, ok := ev.vars[ex.Name]
		if !ok {
			return ev.fail("unknown variable " + ex.Name)
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
	return ev.fail("unsupported expression")
}

func (ev *evaluator) number(li *ast.BasicLit) float64 {
	va, err := strconv.ParseFloat(li.Value, 64)
	if err != nil {
		return ev.fail(err.Error())
	}
	return va
}

func (ev *evaluator) binary(ex *ast.BinaryExpr) float64 {
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
	return ev.fail("unsupported operator " + ex.Op.String())
}

func (ev *evaluator) call(ex *ast.CallExpr) float64 {
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
