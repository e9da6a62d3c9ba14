package main

import (
	"os"
	"slices"
	"time"

	"fuchsiaflow/errs"
	"fuchsiaflow/internal/demo"
	"fuchsiaflow/internal/measure"
)

type measureCommand struct {
	Seed       uint64        `default:"1" help:"Seed of all random choices; equal seeds give equal figures."`
	Duration   time.Duration `default:"1h" help:"Simulated time with trainers."`
	Deployment string        `default:"all" enum:"all,drumworks,caal-ixcoy" help:"Deployment to measure."`
	JSON       bool          `name:"json" help:"Print the figures as JSON."`
}

// Run measures this policy and the baselines with the same seed. It fails only if a guarantee is
// violated; a missed target is only shown in the figures.
func (c *measureCommand) Run() error {
	deployments := measure.Deployments()
	if c.Deployment != "all" {
		deployments = slices.DeleteFunc(deployments, func(d measure.Deployment) bool { return d.Name != c.Deployment })
	}
	result := measure.Run(measure.Config{Seed: c.Seed, Duration: c.Duration, Deployments: deployments})
	if c.JSON {
		if err := printJSON(result); err != nil {
			return err
		}
	} else if err := result.WriteText(os.Stdout); err != nil {
		return &errs.Interrupted{Operation: "standard output", Reason: err.Error()}
	}
	return checkGuarantees(result)
}

// checkGuarantees returns an error if a policy lost a sample, delivered it twice, or delivered it beyond
// its staleness bound.
func checkGuarantees(result measure.Result) error {
	for _, d := range result.Deployments {
		for _, p := range d.Policies {
			if n := p.SamplesLost + p.SamplesDuplicated + p.SamplesOverBound; n > 0 {
				return &demo.GuaranteeViolation{Guarantee: "every sample is delivered once and within the staleness bound, policy " + p.Policy + " on " + d.Name, Count: n}
			}
		}
	}
	return nil
}
