// Command readability prints a table of the module's packages for docs/status.md. For each package it has the largest
// hand-written file, the longest function, the number of lines over 120 characters, and how many withdrawn words the
// identifiers and comments contain: words that the project replaces by standard technical terms. Test files don't
// count. The command only reads files.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"unicode"
)

const maxLine = 120 // characters

// withdrawnWords are the words that the project replaces by standard technical terms. They are matched as whole words
// in comments and as parts of identifiers.
var withdrawnWords = []string{
	"kept", "told", "tell", "tells", "news", "leg", "legs", "gen", "gens", "generation", "generations", "room",
	"plant", "plants", "planted", "home", "homes", "owed", "seat", "seats", "beat", "beats", "ill", "heals",
	"roster", "reader", "readers", "writer", "writers", "throttled", "terminated", "trouble", "troubles",
}

// packageMetrics are the figures of one package, in the order in which they are printed.
type packageMetrics struct {
	largestFile     string
	fileLines       int
	longestFunction string
	functionLines   int
	longLines       int
	withdrawnWords  int
}

func main() {
	packages, err := measure(os.DirFS("."))
	if err != nil {
		fmt.Fprintln(os.Stderr, "readability:", err)
		os.Exit(1)
	}
	fmt.Println("| package | largest file | longest function | lines over 120 | withdrawn words |")
	fmt.Println("| --- | --- | --- | --- | --- |")
	for _, name := range sortedKeys(packages) {
		p := packages[name]
		fmt.Printf("| `%s` | %s %d | %s %d | %d | %d |\n", name, p.largestFile, p.fileLines, p.longestFunction,
			p.functionLines, p.longLines, p.withdrawnWords)
	}
}

func sortedKeys(packages map[string]*packageMetrics) []string {
	names := make([]string, 0, len(packages))
	for name := range packages {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// measure returns the figures of each package, by its path, from all hand-written Go files that are not tests.
func measure(tree fs.FS) (map[string]*packageMetrics, error) {
	packages := map[string]*packageMetrics{}
	err := fs.WalkDir(tree, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (strings.HasPrefix(entry.Name(), ".") && path != "." || entry.Name() == "testdata") {
			return fs.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		source, err := fs.ReadFile(tree, path)
		if err != nil {
			return err
		}
		return measureFile(packages, path, source)
	})
	return packages, err
}

// measureFile adds the figures of one file to those of its package. It ignores generated files.
func measureFile(packages map[string]*packageMetrics, path string, source []byte) error {
	files := token.NewFileSet()
	parsed, err := parser.ParseFile(files, path, source, parser.ParseComments)
	if err != nil {
		return fmt.Errorf("parsing %s: %w", path, err)
	}
	if ast.IsGenerated(parsed) {
		return nil
	}
	name := filepath.ToSlash(filepath.Dir(path))
	measured := packages[name]
	if measured == nil {
		measured = &packageMetrics{}
		packages[name] = measured
	}
	lines, long := countLines(source)
	measured.longLines += long
	if lines > measured.fileLines {
		measured.largestFile, measured.fileLines = filepath.Base(path), lines
	}
	for _, declaration := range parsed.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if !ok {
			continue
		}
		length := files.Position(function.End()).Line - files.Position(function.Pos()).Line + 1
		if length > measured.functionLines {
			measured.longestFunction, measured.functionLines = function.Name.Name, length
		}
	}
	measured.withdrawnWords += countWithdrawnInFile(parsed)
	return nil
}

// countLines returns how many lines a source has, and how many of them are over maxLine characters long.
func countLines(source []byte) (lines, long int) {
	scanner := bufio.NewScanner(bytes.NewReader(source))
	for scanner.Scan() {
		lines++
		if len([]rune(scanner.Text())) > maxLine {
			long++
		}
	}
	return lines, long
}

var wordPattern = regexp.MustCompile(`[A-Za-z]+`)

// countWithdrawnInFile counts the withdrawn words in the identifiers and comments of a file. It ignores strings, as
// they may be names on the wire.
func countWithdrawnInFile(file *ast.File) (count int) {
	ast.Inspect(file, func(node ast.Node) bool {
		if identifier, ok := node.(*ast.Ident); ok {
			count += countWithdrawn(splitIdentifier(identifier.Name))
		}
		return true
	})
	for _, group := range file.Comments {
		count += countWithdrawn(wordPattern.FindAllString(group.Text(), -1))
	}
	return count
}

func countWithdrawn(words []string) (count int) {
	for _, w := range words {
		if slices.Contains(withdrawnWords, strings.ToLower(w)) {
			count++
		}
	}
	return count
}

// splitIdentifier splits an identifier before each capital letter that does not follow a capital letter. Of the parts,
// only the last is also split at digits and underscores.
func splitIdentifier(name string) []string {
	var parts []string
	start := 0
	runes := []rune(name)
	for i := 1; i < len(runes); i++ {
		if unicode.IsUpper(runes[i]) && !unicode.IsUpper(runes[i-1]) {
			parts = append(parts, string(runes[start:i]))
			start = i
		}
	}
	return append(parts, wordPattern.FindAllString(string(runes[start:]), -1)...)
}
