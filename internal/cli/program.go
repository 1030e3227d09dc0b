// Package cli is the command line. Each command assembles parts of the program on event loops and runs them until they
// are done or the program is asked to stop.
//
// It owns flags, exit codes, ready files, cache files and the writing of logs. It relies on dispatch and admin for the
// service itself and on the test bed for stand-ins, scenarios and their audit. It never takes a routing decision.
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
	LogLevel string `enum:"debug,info,warn,error" default:"info" help:"Lowest level that is logged, on standard error: ${enum}."`

	Up        upCommand        `cmd:"" help:"Run everything on this machine: stand-in endpoints, discovery and one dispatcher."`
	Serve     serveCommand     `cmd:"" help:"Run one dispatcher."`
	Platform  platformCommand  `cmd:"" help:"Run one dispatcher on the users' platform, configured by BALANCER_CONFIG and others."`
	Admin     adminCommand     `cmd:"" help:"Run the administration, by which tenants are added, limited and removed."`
	Tenant    tenantCommand    `cmd:"" help:"Add, limit and remove tenants, and make their keys, over the administration's API."`
	Endpoints endpointsCommand `cmd:"" name:"hosts" help:"Run the stand-in endpoints of a deployment, with their discovery."`
	Discovery discoveryCommand `cmd:"" name:"roster" help:"Serve an endpoint list from a file, and push what changes in it."`
	Scenario  scenarioCommand  `cmd:"" name:"day" help:"Run a scenario with dispatchers as processes of their own, and audit it."`
	Audit     auditCommand     `cmd:"" help:"Audit a recorded scenario again."`
	Bench     benchCommand     `cmd:"" help:"Measure what the dispatcher adds, against the same endpoints called directly."`
	Fairness  fairnessCommand  `cmd:"" help:"Run scenarios in which one tenant floods, and compare what the other tenants get."`
	Restarts  restartsCommand  `cmd:"" help:"Restart all dispatchers at once, with and without discovery, from lists of several ages."`
	Batches   batchesCommand   `cmd:"" help:"Run chat with a flood of calls for embeddings, under learnt and fixed limits, and compare."`
	Sim       simCommand       `cmd:"" help:"Run scenarios in virtual time with faults drawn from seeds; find, shrink and replay failures."`
	Store     storeCommand     `cmd:"" help:"Inspect an embedded store."`
	Check     checkCommand     `cmd:"" help:"Check a deployment and name every fault."`
	Version   versionCommand   `cmd:"" help:"Print the version."`
}

// environment is what every command writes to.
type environment struct {
	stdout io.Writer
	stderr io.Writer
	log    zerolog.Logger
}

// printf prints results to standard output. A reader that is gone must not end what runs, so errors are dropped.
func (e *environment) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.stdout, format, args...)
}

// print prints texts to standard output.
func (e *environment) print(texts ...string) {
	_, _ = io.WriteString(e.stdout, strings.Join(texts, ""))
}

// reportf reports progress and details on standard error.
func (e *environment) reportf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.stderr, format, args...)
}

// errRuleBroken says that a scenario ran and its audit found a violation.
var errRuleBroken = errors.New("a rule was broken")

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

// runCommand runs the command that was parsed until it ends or a signal stops the program.
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

// newLogger logs as JSON lines, or in a form for people where the destination is a terminal.
func newLogger(logs logWriter, destination io.Writer, levelName string) zerolog.Logger {
	level, err := zerolog.ParseLevel(levelName)
	if err != nil {
		level = zerolog.InfoLevel // kong has checked the name
	}
	var out io.Writer = logs
	if file, ok := destination.(*os.File); ok && isatty.IsTerminal(file.Fd()) {
		out = zerolog.ConsoleWriter{Out: logs, TimeFormat: time.TimeOnly}
	}
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMicro
	return zerolog.New(out).Level(level).With().Timestamp().Logger()
}

// loadDeployment reads a deployment, or returns the built-in one for an empty path.
func loadDeployment(path string) (deployment.Deployment, error) {
	if path == "" {
		return deployment.Standard(), nil
	}
	return deployment.Load(path)
}

// seedOrRandom draws a seed where none was given.
func seedOrRandom(given int64) int64 {
	if given != 0 {
		return given
	}
	return rand.Int63()
}
