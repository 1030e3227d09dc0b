package docscheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// TestLogMessagesAreOnTheOnCallPage checks that docs/on-call.md has every constant log message of the levels warn,
// error and fatal.
func TestLogMessagesAreOnTheOnCallPage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "on-call.md"))
	if err != nil {
		t.Fatal(err)
	}
	found := 0
	err = filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			message, isWarning := warningMessage(node)
			if !isWarning {
				return true
			}
			found++
			if !strings.Contains(string(page), "`"+message+"`") {
				t.Errorf("%s: the message %q is not in docs/on-call.md", path, message)
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if found == 0 {
		t.Error("found no log message in the source; the search is broken")
	}
}

// warningMessage returns the message of a call such as log.Warn()...Msg("message") with the level Warn, Error or Fatal.
func warningMessage(node ast.Node) (message string, isWarning bool) {
	call, receiver, name := methodCall(node)
	if name != "Msg" || len(call.Args) != 1 {
		return "", false
	}
	literal, isLiteral := call.Args[0].(*ast.BasicLit)
	if !isLiteral {
		return "", false
	}
	message, err := strconv.Unquote(literal.Value)
	for name != "" {
		if call, receiver, name = methodCall(receiver); name == "Warn" || name == "Error" || name == "Fatal" {
			return message, err == nil && len(call.Args) == 0
		}
	}
	return "", false
}

// methodCall returns the parts of a method call. The name is empty if the node is not a method call.
func methodCall(node ast.Node) (call *ast.CallExpr, receiver ast.Expr, name string) {
	call, isCall := node.(*ast.CallExpr)
	if !isCall {
		return nil, nil, ""
	}
	selector, isSelector := call.Fun.(*ast.SelectorExpr)
	if !isSelector {
		return nil, nil, ""
	}
	return call, selector.X, selector.Sel.Name
}
