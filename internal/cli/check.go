package cli

import (
	"os"
	"runtime/debug"

	"plumspindle/internal/deployment"
	"plumspindle/internal/platform/launch"
)

type platformCommand struct{}

// Run runs a dispatcher with the configuration that the platform's environment variables name.
func (platformCommand) Run(env *environment) error { return launch.Run(env.log, os.Getenv) }

type checkCommand struct {
	File string `arg:"" help:"File with the deployment in protobuf text format."`
}

// Run validates a deployment. The error that it returns lists everything that is invalid.
func (c *checkCommand) Run(env *environment) error {
	dep, err := deployment.Load(c.File)
	if err != nil {
		return err
	}
	env.printf("%s: valid: %d zones, %d products, %d kinds, %d tenants\n", c.File,
		len(dep.Zones), len(dep.Products), len(dep.Kinds), len(dep.Tenants))
	return nil
}

type versionCommand struct{}

// revisionDigits is the number of digits of the revision's hash that are printed.
const revisionDigits = 12

// Run prints the version and, if the build recorded it, the VCS revision.
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
