package cli

import (
	"os"
	"runtime/debug"

	"plumspindle/internal/deployment"
	"plumspindle/internal/platform/launch"
)

type platformCommand struct{}

// Run runs a dispatcher as the platform configures it.
func (platformCommand) Run(env *environment) error { return launch.Run(env.log, os.Getenv) }

type checkCommand struct {
	File string `arg:"" help:"Deployment, as protobuf text format."`
}

// Run names every fault of a deployment.
func (c *checkCommand) Run(env *environment) error {
	dep, err := deployment.Load(c.File)
	if err != nil {
		return err
	}
	env.printf("%s: without fault: %d zones, %d products, %d kinds, %d tenants\n", c.File,
		len(dep.Zones), len(dep.Products), len(dep.Kinds), len(dep.Tenants))
	return nil
}

type versionCommand struct{}

// revisionDigits is how much of a revision's hash is printed.
const revisionDigits = 12

// Run prints what the build knows of itself.
func (versionCommand) Run(env *environment) error {
	version, revision := "unreleased", ""
	if build, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range build.Settings {
			if setting.Key == "vcs.revision" && len(setting.Value) >= revisionDigits {
				revision = " " + setting.Value[:revisionDigits]
			}
		}
	}
	env.printf("plumspindle %s%s\n", version, revision)
	return nil
}
