// Package docscheck holds the test that the pages which cite code cite what is there. It reads source and pages only;
// it owns nothing and changes nothing.
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

// checkedPages are the pages whose citations have to hold, all of them.
var checkedPages = []string{"architecture.md", "races.md", "promises.md", "platform.md"}

// Forms of a citation, each between backquotes.
var (
	cited      = regexp.MustCompile("`([^`]+)`")
	goFile     = regexp.MustCompile(`^[\w./-]+\.go$`)
	inFile     = regexp.MustCompile(`^([\w./-]+\.go):([\w.]+)$`)
	folder     = regexp.MustCompile(`^(\.ci|cmd|deploy|docs|internal|platform|proto|scheduler|scripts)/[\w./-]*$`)
	testName   = regexp.MustCompile(`^(Test|Fuzz|Benchmark)[A-Z]\w*$`)
	dottedName = regexp.MustCompile(`^[A-Za-z]\w*(\.[A-Za-z]\w*)+$`)
	mixedCase  = regexp.MustCompile(`^[A-Za-z]*[a-z][A-Z]\w*$`)
	fileAndFun = regexp.MustCompile("`([\\w./-]+\\.go)` `([A-Za-z][\\w.]*)`")
	plainName  = regexp.MustCompile("`([A-Za-z]\\w*)`")
)

// code is what the repository declares.
type code struct {
	files map[string]map[string]bool // by path: names and Type.Member names
	names map[string]bool            // of all files, also with the package's name before them
}

func TestCitedCodeExists(t *testing.T) {
	declared := readCode(t)
	for _, page := range checkedPages {
		text, err := os.ReadFile(filepath.Join(root, "docs", page))
		if err != nil {
			t.Error(err)
			continue
		}
		codeColumn := -1
		for number, line := range strings.Split(string(text), "\n") {
			codeColumn = codeColumnOf(line, codeColumn)
			for _, missing := range append(declared.missingIn(line), declared.missingInCell(line, codeColumn)...) {
				t.Errorf("docs/%s:%d: `%s` is not in the code", page, number+1, missing)
			}
		}
	}
}

// TestMissingCitationsAreFound makes sure that each form of a citation can fail.
func TestMissingCitationsAreFound(t *testing.T) {
	declared := readCode(t)
	for _, line := range []string{
		"`internal/nowhere.go`", "`scripts/docscheck/docs_test.go:absent`", "`internal/nowhere`", "`TestOfNothing`",
		"`docscheck.absent`", "`absentName`", "`docs_test.go` `absent`", "`Absent.member`",
	} {
		if len(declared.missingIn(line)) == 0 {
			t.Errorf("%s passes", line)
		}
	}
	if len(declared.missingInCell("| text | `Absentname` |", 2)) == 0 {
		t.Error("a name in a column of code passes")
	}
	for _, line := range []string{
		"`scripts/docscheck/docs_test.go:code.missingIn`", "`docscheck.readCode`", "`code.files`", "`docs/platform.md`",
	} {
		if missing := declared.missingIn(line); len(missing) > 0 {
			t.Errorf("%s does not pass", line)
		}
	}
}

// missingIn returns the citations of a line that name nothing.
func (c *code) missingIn(line string) (missing []string) {
	for _, match := range cited.FindAllStringSubmatch(line, -1) {
		if !c.has(match[1]) {
			missing = append(missing, match[1])
		}
	}
	for _, match := range fileAndFun.FindAllStringSubmatch(line, -1) {
		if !dottedName.MatchString(match[2]) && !c.declares(match[1], match[2]) {
			missing = append(missing, match[1]+":"+match[2])
		}
	}
	return missing
}

// codeColumnOf returns which column of a table's line has code: the one whose head says so, until the table ends.
func codeColumnOf(line string, before int) int {
	if !strings.HasPrefix(line, "|") {
		return -1
	}
	for i, cell := range strings.Split(line, "|") {
		if strings.TrimSpace(cell) == "code" {
			return i
		}
	}
	return before
}

// missingInCell returns the names in a table's cell that name nothing, of whatever form.
func (c *code) missingInCell(line string, column int) (missing []string) {
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

// has reports whether a citation names something; what is not written like a name in Go or a path always does.
func (c *code) has(citation string) bool {
	if match := inFile.FindStringSubmatch(citation); match != nil {
		return c.declares(match[1], match[2])
	}
	switch {
	case goFile.MatchString(citation):
		return len(c.matching(citation)) > 0
	case folder.MatchString(citation):
		return exists(citation) || exists(filepath.Join("internal", citation))
	case testName.MatchString(citation), mixedCase.MatchString(citation):
		return c.names[citation]
	case dottedName.MatchString(citation):
		return c.names[citation] || exists(citation) || exists(filepath.Join("docs", citation))
	}
	return true
}

// declares reports whether one of the files that a citation may mean declares a name.
func (c *code) declares(path, declared string) bool {
	for _, file := range c.matching(path) {
		if c.files[file][declared] {
			return true
		}
	}
	return false
}

// matching are the files that a path, or the end of one, may mean.
func (c *code) matching(path string) (files []string) {
	path = "/" + strings.TrimPrefix(path, "../")
	for file := range c.files {
		if strings.HasSuffix("/"+file, path) {
			files = append(files, file)
		}
	}
	return files
}

func exists(path string) bool {
	_, err := os.Stat(filepath.Join(root, path))
	return err == nil
}

func readCode(t *testing.T) *code {
	t.Helper()
	c := &code{files: map[string]map[string]bool{}, names: map[string]bool{}}
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
		names := declaredIn(parsed)
		c.files[filepath.ToSlash(relative)] = names
		c.names[parsed.Name.Name] = true
		for declared := range names {
			c.names[declared] = true
			c.names[parsed.Name.Name+"."+declared] = true
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// declaredIn are the names that a file declares; a method or a field is there by its own name and as Type.Member.
func declaredIn(file *ast.File) map[string]bool {
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
