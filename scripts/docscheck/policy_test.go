package docscheck

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var (
	policyLine = regexp.MustCompile(`(?m)^policy = \[(.*)\]$`)
	quoted     = regexp.MustCompile(`"([^"]*)"`)
)

// TestDeployFileListsTheSchedulerAsPolicy checks that the policy of the deploy file lists the Go files of the folder
// scheduler, except tests, and no others.
func TestDeployFileListsTheSchedulerAsPolicy(t *testing.T) {
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	line := policyLine.FindSubmatch(deploy)
	if line == nil {
		t.Fatal("deploy/balancer.toml has no line for policy")
	}
	var listed []string
	for _, match := range quoted.FindAllSubmatch(line[1], -1) {
		listed = append(listed, string(match[1]))
	}
	files, err := filepath.Glob(filepath.Join(root, "scheduler", "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, file := range files {
		if !strings.HasSuffix(file, "_test.go") {
			want = append(want, "scheduler/"+filepath.Base(file))
		}
	}
	slices.Sort(listed)
	slices.Sort(want)
	if !slices.Equal(listed, want) {
		t.Errorf("policy lists\n%v\nthe scheduler's files are\n%v", listed, want)
	}
}
