// Package docscheck tests that the documentation and the deploy file agree with the source code: the code that pages
// cite exists, the on-call page has the log messages, and the deploy file lists the scheduler's files. It only reads
// files.
package docscheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const root = "../.."

// checkedPages are the pages of docs in which all citations of code must be valid.
var checkedPages = []string{"architecture.md", "races.md", "promises.md", "platform.md"}

// These patterns recognise the forms of a citation, which stands between backquotes.
var (
	backquoted   = regexp.MustCompile("`([^`]+)`")
	goFile       = regexp.MustCompile(`^[\w./-]+\.go$`)
	nameInFile   = regexp.MustCompile(`^([\w./-]+\.go):([\w.]+)$`)
	folder       = regexp.MustCompile(`^(\.ci|cmd|deploy|docs|internal|platform|proto|scheduler|scripts)/[\w./-]*$`)
	testName     = regexp.MustCompile(`^(Test|Fuzz|Benchmark)[A-Z]\w*$`)
	dottedName   = regexp.MustCompile(`^[A-Za-z]\w*(\.[A-Za-z]\w*)+$`)
	mixedCase    = regexp.MustCompile(`^[A-Za-z]*[a-z][A-Z]\w*$`)
	fileThenName = regexp.MustCompile("`([\\w./-]+\\.go)` `([A-Za-z][\\w.]*)`")
	plainName    = regexp.MustCompile("`([A-Za-z]\\w*)`")
)

// codeIndex has the names that the Go files of the repository declare.
type codeIndex struct {
	// files has the names and Type.Member names of each file, by its path.
	files map[string]map[string]bool
	// names has the names that any file declares, each with and without its package's name before it, and the packages'
	// names.
	names map[string]bool
}

// TestCitedCodeExists checks that the files and names that the pages cite exist.
func TestCitedCodeExists(t *testing.T) {
	index := readCode(t)
	for _, page := range checkedPages {
		text, err := os.ReadFile(filepath.Join(root, "docs", page))
		if err != nil {
			t.Error(err)
			continue
		}
		codeColumn := -1
		for number, line := range strings.Split(string(text), "\n") {
			codeColumn = findCodeColumn(line, codeColumn)
			for _, missing := range append(index.missingIn(line), index.missingInCell(line, codeColumn)...) {
				t.Errorf("docs/%s:%d: `%s` is not in the code", page, number+1, missing)
			}
		}
	}
}

// TestMissingCitationsAreFound checks that a citation of something that doesn't exist is found, in each form.
func TestMissingCitationsAreFound(t *testing.T) {
	index := readCode(t)
	for _, line := range []string{
		"`internal/nowhere.go`", "`scripts/docscheck/docs_test.go:absent`", "`internal/nowhere`", "`TestOfNothing`",
		"`docscheck.absent`", "`absentName`", "`docs_test.go` `absent`", "`Absent.member`",
	} {
		if len(index.missingIn(line)) == 0 {
			t.Errorf("%s is not reported as missing", line)
		}
	}
	if len(index.missingInCell("| text | `Absentname` |", 2)) == 0 {
		t.Error("a missing name in a column of code is not reported")
	}
	for _, line := range []string{
		"`scripts/docscheck/docs_test.go:codeIndex.missingIn`", "`docscheck.readCode`", "`codeIndex.files`",
		"`docs/platform.md`",
	} {
		if missing := index.missingIn(line); len(missing) > 0 {
			t.Errorf("%s is reported as missing: %v", line, missing)
		}
	}
}

// missingIn returns the citations of a line that refer to nothing that exists.
func (c *codeIndex) missingIn(line string) (missing []string) {
	for _, match := range backquoted.FindAllStringSubmatch(line, -1) {
		if !c.resolves(match[1]) {
			missing = append(missing, match[1])
		}
	}
	for _, match := range fileThenName.FindAllStringSubmatch(line, -1) {
		if !dottedName.MatchString(match[2]) && !c.declares(match[1], match[2]) {
			missing = append(missing, match[1]+":"+match[2])
		}
	}
	return missing
}

// findCodeColumn returns the index of the column with the heading "code" in the table that a line belongs to, or -1 if
// there is no such column. The parameter previous is the result for the line before.
func findCodeColumn(line string, previous int) int {
	if !strings.HasPrefix(line, "|") {
		return -1
	}
	for i, cell := range strings.Split(line, "|") {
		if strings.TrimSpace(cell) == "code" {
			return i
		}
	}
	return previous
}

// missingInCell returns the names in one column of a table's line that the code doesn't declare. It takes every word
// between backquotes for a name.
func (c *codeIndex) missingInCell(line string, column int) (missing []string) {
	cells := strings.Split(line, "|")
	if column < 0 || column >= len(cells) {
		return nil
	}
	for _, match := range plainName.FindAllStringSubmatch(cells[column], -1) {
		if !c.names[match[1]] {
			missing = append(missing, match[1])
		}
	}
	return missing
}

// resolves reports whether a citation refers to something that exists. It returns true for a text that doesn't look
// like a name in Go or a path.
func (c *codeIndex) resolves(citation string) bool {
	if match := nameInFile.FindStringSubmatch(citation); match != nil {
		return c.declares(match[1], match[2])
	}
	switch {
	case goFile.MatchString(citation):
		return len(c.filesMatching(citation)) > 0
	case folder.MatchString(citation):
		return pathExists(citation) || pathExists(filepath.Join("internal", citation))
	case testName.MatchString(citation), mixedCase.MatchString(citation):
		return c.names[citation]
	case dottedName.MatchString(citation):
		return c.names[citation] || pathExists(citation) || pathExists(filepath.Join("docs", citation))
	}
	return true
}

// declares reports whether any of the files that match a path declares the name.
func (c *codeIndex) declares(path, name string) bool {
	for _, file := range c.filesMatching(path) {
		if c.files[file][name] {
			return true
		}
	}
	return false
}

// filesMatching returns the files whose path is the given one or ends with it.
func (c *codeIndex) filesMatching(path string) (files []string) {
	path = "/" + strings.TrimPrefix(path, "../")
	for file := range c.files {
		if strings.HasSuffix("/"+file, path) {
			files = append(files, file)
		}
	}
	return files
}

func pathExists(path string) bool {
	_, err := os.Stat(filepath.Join(root, path))
	return err == nil
}

// readCode parses all Go files of the repository.
func readCode(t *testing.T) *codeIndex {
	t.Helper()
	c := &codeIndex{files: map[string]map[string]bool{}, names: map[string]bool{}}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" {
			return err
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		names := declaredNames(parsed)
		c.files[filepath.ToSlash(relative)] = names
		c.names[parsed.Name.Name] = true
		for name := range names {
			c.names[name] = true
			c.names[parsed.Name.Name+"."+name] = true
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// declaredNames returns the names that a file declares: methods and fields by their own names and as Type.Member.
func declaredNames(file *ast.File) map[string]bool {
	names := map[string]bool{}
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			names[d.Name.Name] = true
			if d.Recv != nil {
				names[receiverType(d)+"."+d.Name.Name] = true
			}
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				addSpec(names, spec)
			}
		}
	}
	return names
}

func receiverType(method *ast.FuncDecl) string {
	receiver := method.Recv.List[0].Type
	if star, ok := receiver.(*ast.StarExpr); ok {
		receiver = star.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	ident, ok := receiver.(*ast.Ident)
	if !ok {
		return ""
	}
	return ident.Name
}

func addSpec(names map[string]bool, spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, ident := range s.Names {
			names[ident.Name] = true
		}
	case *ast.TypeSpec:
		names[s.Name.Name] = true
		switch typ := s.Type.(type) {
		case *ast.StructType:
			addMembers(names, s.Name.Name, typ.Fields)
		case *ast.InterfaceType:
			addMembers(names, s.Name.Name, typ.Methods)
		}
	}
}

func addMembers(names map[string]bool, typeName string, members *ast.FieldList) {
	for _, member := range members.List {
		for _, ident := range member.Names {
			names[ident.Name] = true
			names[typeName+"."+ident.Name] = true
		}
	}
}
