package main

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"fuchsiaflow/configcheck"
	"fuchsiaflow/confstate"
	"fuchsiaflow/errs"
	"fuchsiaflow/internal/settings"
	"fuchsiaflow/platform"
	"fuchsiaflow/routes"
)

type checkCommand struct {
	File     string `arg:"" type:"existingfile" help:"File to check."`
	Settings bool   `help:"The file holds settings of a host instead of a configuration."`
	Platform bool   `help:"The file is in the format of the users' platform."`
	Against  string `type:"existingfile" placeholder:"FILE" help:"With --platform: the configuration in force, to compare with."`
	JSON     bool   `name:"json" help:"With --platform: print the report as JSON."`
	Strict   bool   `help:"With --platform: warnings count as errors."`
}

// Run validates a file without contacting a host.
func (c *checkCommand) Run() error {
	if c.Settings || !c.Platform {
		if flag := c.reportFlag(); flag != "" {
			return &errs.Invalid{Path: flag, Want: "--platform and no --settings with it", Got: "a check without a report"}
		}
	}
	switch {
	case c.Platform && c.Settings:
		return c.checkPlatformSettings()
	case c.Platform:
		return c.checkPlatform(os.Stdout)
	case c.Settings:
		s, err := settings.Load(c.File)
		if err != nil {
			return err
		}
		fmt.Println("valid settings:", s)
		return nil
	}
	cfg, err := readConfig(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("valid configuration: version %d, digest %s, %d tenancies, %d pools\n",
		cfg.Version, confstate.Digest(cfg), len(cfg.Tenancies), len(cfg.Pools))
	return nil
}

// reportFlag returns a flag in use that applies only to the report about a configuration of the platform.
func (c *checkCommand) reportFlag() string {
	switch {
	case c.Against != "":
		return "--against"
	case c.JSON:
		return "--json"
	case c.Strict:
		return "--strict"
	}
	return ""
}

// checkPlatformSettings validates settings of a host in the format of the platform.
func (c *checkCommand) checkPlatformSettings() error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	s, err := platform.ParseSettings(data)
	if err != nil {
		return err
	}
	fmt.Printf("valid settings: host %s in %s, %d voters, seeds %v\n", s.Host, s.FailureDomain, s.VoterCount(), s.Seeds)
	return nil
}

// checkPlatform prints the report about a configuration in the format of the platform. It fails if the report has errors,
// or warnings that count as errors.
func (c *checkCommand) checkPlatform(out io.Writer) error {
	report, err := c.report()
	if err != nil {
		return err
	}
	if c.JSON {
		err = writeJSON(out, report)
	} else {
		err = writeReport(out, report)
	}
	if err != nil {
		return err
	}
	errorCount, warnings := report.Count(configcheck.Error), report.Count(configcheck.Warning)
	if errorCount == 0 && (!c.Strict || warnings == 0) {
		return nil
	}
	return &errs.Invalid{Path: c.File, Want: c.acceptance(), Got: fmt.Sprintf("errors: %d, warnings: %d", errorCount, warnings)}
}

// acceptance describes the configurations for which the check succeeds.
func (c *checkCommand) acceptance() string {
	if c.Strict {
		return "a configuration without errors and warnings"
	}
	return "a configuration without errors"
}

// report checks the configuration. A document that cannot be decoded is a finding, unless it is the one in force.
func (c *checkCommand) report() (*configcheck.Report, error) {
	var inForce *routes.Config
	if c.Against != "" {
		var err error
		if inForce, err = readPlatformConfig(c.Against); err != nil {
			return nil, errors.Wrap(err, c.Against)
		}
	}
	cfg, err := readPlatformConfig(c.File)
	var invalid *errs.Invalid
	switch {
	case errors.As(err, &invalid):
		return configcheck.Unreadable(invalid), nil
	case err != nil:
		return nil, err
	}
	return configcheck.Check(cfg, inForce), nil
}

func readPlatformConfig(path string) (*routes.Config, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return platform.ParseConfig(data)
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &errs.NotFound{Kind: "file", ID: path}
	}
	return data, nil
}
