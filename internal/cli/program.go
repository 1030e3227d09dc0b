// Package cli implements the command line. Each command assembles components of the program on event loops and runs
// them until they finish or the program receives a stop signal.
//
// The package owns the flags, exit codes, ready files, cache files and log output. It relies on packages dispatch and
// admin for the service itself and on the test bed for stand-in endpoints, scenarios and their audit. It never makes a
// routing decision.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/mattn/go-isatty"
	"github.com/rs/zerolog"

	"plumspindle/internal/deployment"
	"plumspindle/internal/testbed/scenarios"
)

// commands is the root of the command line; kong derives the names of commands and flags from its fields.
type commands struct {
	LogLevel string `enum:"debug,info,warn,error" default:"info" help:"Lowest level that is logged to standard error: ${enum}."`

	Up        upCommand        `cmd:"" help:"Run stand-in endpoints, discovery, the admin service and one dispatcher on this machine."`
	Serve     serveCommand     `cmd:"" help:"Run one dispatcher."`
	Platform  platformCommand  `cmd:"" help:"Run one dispatcher on the users' platform, configured by BALANCER_CONFIG and other environment variables."`
	Admin     adminCommand     `cmd:"" help:"Run the admin service, through which operators add, limit and remove tenants."`
	Tenant    tenantCommand    `cmd:"" help:"Add, limit and remove tenants, and create and revoke their keys, over the admin API."`
	Endpoints endpointsCommand `cmd:"" name:"hosts" help:"Run the stand-in endpoints of a deployment and their discovery service."`
	Discovery discoveryCommand `cmd:"" name:"roster" help:"Serve the endpoint list of a file and push its changes to dispatchers."`
	Scenario  scenarioCommand  `cmd:"" name:"day" help:"Run a scenario with each dispatcher in its own process, and audit it."`
	Audit     auditCommand     `cmd:"" help:"Audit the record of an earlier scenario again."`
	Bench     benchCommand     `cmd:"" help:"Measure the overhead of the dispatcher against direct calls to the same endpoints."`
	Fairness  fairnessCommand  `cmd:"" help:"Run scenarios in which one tenant floods, and compare the service that the other tenants get."`
	Restarts  restartsCommand  `cmd:"" help:"Restart all dispatchers at once from cached endpoint lists of several ages, with and without discovery."`
	Batches   batchesCommand   `cmd:"" help:"Run chat beside a flood of embeddings calls, and compare adaptive with fixed limits on batches."`
	Sim       simCommand       `cmd:"" help:"Run scenarios in virtual time with faults generated from seeds; find, shrink and replay failures."`
	Store     storeCommand     `cmd:"" help:"Inspect an embedded store."`
	Check     checkCommand     `cmd:"" help:"Check a deployment and report every error in it."`
	Version   versionCommand   `cmd:"" help:"Print the version."`
}

// environment holds the outputs that every command writes to.
type environment struct {
	stdout io.Writer
	stderr io.Writer
	log    zerolog.Logger
}

// printf prints results to standard output. It ignores write errors, so that a command goes on when whoever reads its
// output has gone away.
func (e *environment) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.stdout, format, args...)
}

// print prints texts to standard output and ignores write errors.
func (e *environment) print(texts ...string) {
	_, _ = io.WriteString(e.stdout, strings.Join(texts, ""))
}

// reportf prints progress and details to standard error and ignores write errors.
func (e *environment) reportf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.stderr, format, args...)
}

// errRuleViolated reports that scenarios ran to their end but at least one of them failed its audit or another check.
var errRuleViolated = errors.New("a rule was violated")

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var root commands
	exitCode := -1
	parser, err := kong.New(&root, kong.Name("plumspindle"), kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { exitCode = code }),
		kong.Description("A router for language-model serving with prefill and decode on separate engines."),
		kong.UsageOnError(), kong.Vars{
			"days":     strings.Join(scenarios.Names(), ", "),
			"troubles": strings.Join(scenarios.FaultKinds(), ", "),
		})
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
	parsed, err := parser.Parse(args)
	if exitCode >= 0 {
		return exitCode // --help
	}
	if err != nil {
		parser.Errorf("%s", err)
		return exitUsage
	}
	return runCommand(parsed, &root, stdout, stderr)
}

// runCommand runs the parsed command until it returns. SIGINT and SIGTERM cancel the context that the command gets.
func runCommand(parsed *kong.Context, root *commands, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	logs := newLogWriter(stderr)
	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.Bind(&root.Tenant)
	err := parsed.Run(&environment{stdout: stdout, stderr: stderr, log: newLogger(logs, stderr, root.LogLevel)})
	logs.flush()
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return exitFailed
	}
	return exitOK
}

// newLogger returns a logger that writes JSON lines, or a human-readable format where the destination is a terminal.
func newLogger(logs logWriter, destination io.Writer, levelName string) zerolog.Logger {
	level, err := zerolog.ParseLevel(levelName)
	if err != nil {
		level = zerolog.InfoLevel // can't happen: kong has checked the name
	}
	var out io.Writer = logs
	if file, ok := destination.(*os.File); ok && isatty.IsTerminal(file.Fd()) {
		out = zerolog.ConsoleWriter{Out: logs, TimeFormat: time.TimeOnly}
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMicro
	return zerolog.New(out).Level(level).With().Timestamp().Logger()
}

// loadDeployment reads a deployment from a file, or returns the built-in deployment if the path is empty.
func loadDeployment(path string) (deployment.Deployment, error) {
	if path == "" {
		return deployment.Standard(), nil
	}
	return deployment.Load(path)
}

// seedOrRandom returns the given seed, or a random one if the given seed is 0.
func seedOrRandom(given int64) int64 {
	if given != 0 {
		return given
	}
	return rand.Int63()
}
