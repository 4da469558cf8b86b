package core_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// forbiddenImports may not be used by decisions: sockets, files and adapters.
var forbiddenImports = []string{"net", "net/http", "os", "os/exec", "syscall", "math/rand", "crypto/rand"}

// forbiddenCalls read the clock or the shared random source.
var forbiddenCalls = map[string][]string{
	"time": {"Now", "Since", "Until", "After", "AfterFunc", "Sleep", "NewTimer", "NewTicker", "Tick"},
	"rand": {"Int", "IntN", "Int64", "Int64N", "Uint64", "Uint32", "Float64", "Perm", "Shuffle", "N", "ExpFloat64", "NormFloat64"},
}

// TestCoreIsPure keeps sockets, clocks, goroutines and random sources out of core.
func TestCoreIsPure(t *testing.T) {
	files := 0
	err := filepath.WalkDir(".", func(path string, de fs.DirEntry, err error) error {
		if err != nil || de.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		if strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") {
			return nil
		}
		files++
		for _, fault := range impurities(t, path) {
			t.Errorf("%s: %s", path, fault)
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, files > 10, "only %d files were checked", files)
}

func impurities(t *testing.T, path string) []string {
	t.Helper()
	fset := token.NewFileSet()
	fi, err := parser.ParseFile(fset, path, nil, 0)
	assert.NilError(t, err)
	return check(fi)
}

func check(fi *ast.File) []string {
	var faults []string
	for _, im := range fi.Imports {
		name := strings.Trim(im.Path.Value, `"`)
		if slices.Contains(forbiddenImports, name) || strings.HasPrefix(name, "lynxfold/io") {
			faults = append(faults, "imports "+name)
		}
	}
	ast.Inspect(fi, func(no ast.Node) bool {
		switch no := no.(type) {
		case *ast.GoStmt:
			faults = append(faults, "starts a goroutine")
		case *ast.SelectorExpr:
			id, ok := no.X.(*ast.Ident)
			if ok && id.Obj == nil && slices.Contains(forbiddenCalls[id.Name], no.Sel.Name) {
				faults = append(faults, "uses "+id.Name+"."+no.Sel.Name)
			}
		}
		return true
	})
	return faults
}

// TestPurityCheckFindsFaults shows that the check can fail.
func TestPurityCheckFindsFaults(t *testing.T) {
	const source = `package x
import ("net"; "time"; "math/rand/v2"; "lynxfold/io/node")
func f() { go f(); _ = time.Now(); _ = rand.IntN(3) }`
	fi, err := parser.ParseFile(token.NewFileSet(), "x.go", source, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, check(fi), []string{
		"imports net",
		"imports lynxfold/io/node",
		"starts a goroutine",
		"uses time.Now",
		"uses rand.IntN",
	})
}
