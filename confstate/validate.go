package confstate

import (
	"encoding/hex"
	"fmt"
	"path"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"fuchsiaflow/errs"
)

// Upper limits of names and numeric fields.
const (
	MaxNameBytes      = 128
	MaxStalenessBound = 1000
	MaxPolicyWeight   = 1000
	MaxWeight         = 1000
	MaxLoadsPerSecond = 100_000
	MaxConcurrent     = 100_000
	// MaxQueueDepth requests of 1 KiB use half of a host's 64 MB of memory.
	MaxQueueDepth = 32_768
	maxPercent    = 100
)

const (
	wantName   = "a name of 1 to 128 bytes: a letter or digit, then letters, digits, '.', '_' or '-'"
	wantModel  = "a name of 1 to 128 bytes: a letter or digit, then letters, digits, '.', '_', '-', '/' or ':'"
	wantUnique = "a unique value"
)

func invalid(path, want, got string) error {
	return &errs.Invalid{Path: path, Want: want, Got: got}
}

// validName reports whether s is a valid name, or a valid model name if model is set. It rejects
// decomposed accented letters, because a combining mark is not a letter. Otherwise the two
// encodings of "Sololá" would name two failure domains.
func validName(s string, model bool) bool {
	if s == "" || len(s) > MaxNameBytes {
		return false
	}
	for i, r := range s {
		if unicode.IsLetter(r) || unicode.IsDigit(r) {
			continue
		}
		if i > 0 && (strings.ContainsRune("._-", r) || model && strings.ContainsRune("/:", r)) {
			continue
		}
		return false
	}
	return true
}

func validate(c *Config) error {
	if c.Version == 0 {
		return invalid("$.version", "an integer above 0", "0")
	}
	pools := make(map[string]*Pool, len(c.Pools))
	for i := range c.Pools {
		p := &c.Pools[i]
		path := fmt.Sprintf("$.pools[%d]", i)
		if err := validatePool(path, p); err != nil {
			return err
		}
		if pools[p.Name] != nil {
			return invalid(path+".name", wantUnique, quoted(p.Name))
		}
		pools[p.Name] = p
	}
	if err := validateTenancies(c, pools); err != nil {
		return err
	}
	return validateSystemLimits(c)
}

func validateSystemLimits(c *Config) error {
	if err := validatePositive("$.weight_store.loads_per_second", c.WeightStore.LoadsPerSecond, MaxLoadsPerSecond); err != nil {
		return err
	}
	if err := validateRange("$.weight_store.max_concurrent", c.WeightStore.MaxConcurrent, 1, MaxConcurrent); err != nil {
		return err
	}
	if err := validateRange("$.queues.desk", c.Queues.Desk, 1, MaxQueueDepth); err != nil {
		return err
	}
	return validateRange("$.queues.samples", c.Queues.Samples, 1, MaxQueueDepth)
}

func validatePool(path string, p *Pool) error {
	if !validName(p.Name, false) {
		return invalid(path+".name", wantName, quoted(p.Name))
	}
	switch p.Kind {
	case Engine:
		if len(p.Models) == 0 {
			return invalid(path+".models", "at least one model for an engine pool", "none")
		}
	case Service:
		if len(p.Models) > 0 {
			return invalid(path+".models", "no models for a service pool", strconv.Itoa(len(p.Models)))
		}
		if p.ChecksFence {
			return invalid(path+".checks_fence", "false for a service pool", "true")
		}
	default:
		return invalid(path+".kind", "engine or service", quoted(string(p.Kind)))
	}
	switch p.InFlight {
	case "", InFlightFinish, InFlightResume, InFlightDiscard:
	default:
		return invalid(path+".in_flight", "finish, resume or discard", quoted(string(p.InFlight)))
	}
	if p.MaxUnavailablePercent > maxPercent {
		return invalid(path+".max_unavailable_percent", "an integer from 1 to 100", strconv.FormatUint(p.MaxUnavailablePercent, 10))
	}
	if err := validateNames(path+".models", p.Models, wantModel, func(s string) bool { return validName(s, true) }); err != nil {
		return err
	}
	if err := validateNames(path+".targets.admit", p.Targets.Admit, "a pattern of 1 to 128 bytes in the syntax of path.Match", validPattern); err != nil {
		return err
	}
	return validateNames(path+".targets.retire", p.Targets.Retire, wantModel, func(s string) bool { return validName(s, true) })
}

func validPattern(s string) bool {
	_, err := path.Match(s, "")
	return err == nil && s != "" && len(s) <= MaxNameBytes
}

// validateNames checks that all items are valid and unique.
func validateNames(path string, items []string, want string, valid func(string) bool) error {
	seen := make(map[string]bool, len(items))
	for i, s := range items {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		if !valid(s) {
			return invalid(itemPath, want, quoted(s))
		}
		if seen[s] {
			return invalid(itemPath, wantUnique, quoted(s))
		}
		seen[s] = true
	}
	return nil
}

func validateTenancies(c *Config, pools map[string]*Pool) error {
	seenNames := make(map[string]bool, len(c.Tenancies))
	seenTokens := make(map[string]bool, len(c.Tenancies))
	for i := range c.Tenancies {
		t := &c.Tenancies[i]
		path := fmt.Sprintf("$.tenancies[%d]", i)
		if err := validateTenancy(path, t); err != nil {
			return err
		}
		if err := validatePoolReferences(path, t, pools); err != nil {
			return err
		}
		if seenNames[t.Name] {
			return invalid(path+".name", wantUnique, quoted(t.Name))
		}
		// With a shared token one tenancy could act as another.
		if seenTokens[t.TokenSHA256] {
			return invalid(path+".token_sha256", wantUnique, "the same digest as another tenancy")
		}
		seenNames[t.Name], seenTokens[t.TokenSHA256] = true, true
	}
	return nil
}

func validateTenancy(path string, t *Tenancy) error {
	if !validName(t.Name, false) {
		return invalid(path+".name", wantName, quoted(t.Name))
	}
	if !validName(t.Home, false) {
		return invalid(path+".home", wantName, quoted(t.Home))
	}
	digest, err := hex.DecodeString(t.TokenSHA256)
	if err != nil || len(digest) != 32 || strings.ToLower(t.TokenSHA256) != t.TokenSHA256 {
		// The error does not contain the value, which may be a plain token.
		return invalid(path+".token_sha256", "64 lower-case hex digits, the SHA-256 of the token", fmt.Sprintf("%d bytes in another format", len(t.TokenSHA256)))
	}
	if t.Model != "" && !validName(t.Model, true) {
		return invalid(path+".model", wantModel, quoted(t.Model))
	}
	if t.Weight < 0 || t.Weight > MaxWeight {
		return invalid(path+".weight", fmt.Sprintf("a number above 0 and up to %d", MaxWeight), formatFloat(t.Weight))
	}
	if err := validateKind(path, t); err != nil {
		return err
	}
	return validateLimits(path+".limits", t.Limits)
}

func validateKind(path string, t *Tenancy) error {
	switch t.Kind {
	case Trainer:
		return validateTrainer(path, t)
	case Desk:
		if t.StalenessBound != nil {
			return invalid(path+".staleness_bound", "no value for a desk", strconv.FormatUint(*t.StalenessBound, 10))
		}
		if t.Policy != nil {
			return invalid(path+".policy", "no value for a desk", "an object")
		}
		return nil
	default:
		return invalid(path+".kind", "trainer or desk", quoted(string(t.Kind)))
	}
}

func validateTrainer(path string, t *Tenancy) error {
	if t.Model == "" {
		return invalid(path+".model", wantModel, "a missing field")
	}
	if t.StalenessBound == nil {
		return invalid(path+".staleness_bound", fmt.Sprintf("an integer from 0 to %d", MaxStalenessBound), "a missing field")
	}
	if err := validateRange(path+".staleness_bound", *t.StalenessBound, 0, MaxStalenessBound); err != nil {
		return err
	}
	if t.Policy == nil {
		return invalid(path+".policy", "an object with the fields idle_weight, staleness_weight", "a missing field")
	}
	idle, staleness := t.Policy.IdleWeight, t.Policy.StalenessWeight
	if err := validateFloatRange(path+".policy.idle_weight", idle, MaxPolicyWeight); err != nil {
		return err
	}
	if err := validateFloatRange(path+".policy.staleness_weight", staleness, MaxPolicyWeight); err != nil {
		return err
	}
	if idle == 0 && staleness == 0 {
		return invalid(path+".policy", "at least one weight above 0", "both 0")
	}
	return nil
}

func validateLimits(path string, l *Limits) error {
	if l == nil {
		return nil
	}
	if l.RequestsPerMinute == 0 {
		return invalid(path+".requests_per_minute", "an integer above 0", "0")
	}
	if l.TokensPerMinute == 0 {
		return invalid(path+".tokens_per_minute", "an integer above 0", "0")
	}
	return validateFloatRange(path+".cut_off_share", l.CutOffShare, 1)
}

// validatePoolReferences checks that the pools of a tenancy exist, are unique and fit its kind
// and model.
func validatePoolReferences(path string, t *Tenancy, pools map[string]*Pool) error {
	if len(t.Pools) == 0 {
		return invalid(path+".pools", "at least one pool", "none")
	}
	seen := make(map[string]bool, len(t.Pools))
	for i, name := range t.Pools {
		itemPath := fmt.Sprintf("%s.pools[%d]", path, i)
		p := pools[name]
		if p == nil {
			return invalid(itemPath, "the name of a pool in $.pools", quoted(name))
		}
		if seen[name] {
			return invalid(itemPath, wantUnique, quoted(name))
		}
		seen[name] = true
		if t.Kind == Trainer && p.Kind != Engine {
			return invalid(itemPath, "an engine pool for a trainer", quoted(name))
		}
		if t.Model != "" && p.Kind == Engine && !slices.Contains(p.Models, t.Model) {
			return invalid(itemPath, "a pool that serves the model "+quoted(t.Model), quoted(name))
		}
	}
	return nil
}

func validateRange(path string, v, minimum, maximum uint64) error {
	if v < minimum || v > maximum {
		return invalid(path, fmt.Sprintf("an integer from %d to %d", minimum, maximum), strconv.FormatUint(v, 10))
	}
	return nil
}

func validateFloatRange(path string, v, maximum float64) error {
	if v < 0 || v > maximum {
		return invalid(path, fmt.Sprintf("a number from 0 to %s", formatFloat(maximum)), formatFloat(v))
	}
	return nil
}

func validatePositive(path string, v, maximum float64) error {
	if v <= 0 || v > maximum {
		return invalid(path, fmt.Sprintf("a number above 0 and up to %s", formatFloat(maximum)), formatFloat(v))
	}
	return nil
}

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }
