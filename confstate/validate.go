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

// Ranges of numeric fields.
const (
	MaxNameBytes      = 128
	MaxStalenessBound = 1000
	MaxPolicyWeight   = 1000
	MaxWeight         = 1000
	MaxLoadsPerSecond = 100_000
	MaxConcurrent     = 100_000
	// MaxQueueDepth requests of 1 KiB take half of the 64 MB of a host.
	MaxQueueDepth = 32_768
	maxPercent    = 100
)

const (
	wantName   = "a name of 1 to 128 bytes: a letter or digit, then letters, digits, '.', '_' or '-'"
	wantModel  = "a name of 1 to 128 bytes: a letter or digit, then letters, digits, '.', '_', '-', '/' or ':'"
	wantUnique = "a value that occurs once"
)

func invalid(path, want, got string) error {
	return &errs.Invalid{Path: path, Want: want, Got: got}
}

// validName accepts composed letters only: the decomposed form of an accented letter contains a
// mark, which is not a letter. Two spellings of "Sololá" would be two failure domains.
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
		at := fmt.Sprintf("$.pools[%d]", i)
		if err := validatePool(at, p); err != nil {
			return err
		}
		if pools[p.Name] != nil {
			return invalid(at+".name", wantUnique, quoted(p.Name))
		}
		pools[p.Name] = p
	}
	if err := validateTenancies(c, pools); err != nil {
		return err
	}
	return validateShared(c)
}

func validateShared(c *Config) error {
	if err := positive("$.weight_store.loads_per_second", c.WeightStore.LoadsPerSecond, MaxLoadsPerSecond); err != nil {
		return err
	}
	if err := inRange("$.weight_store.max_concurrent", c.WeightStore.MaxConcurrent, 1, MaxConcurrent); err != nil {
		return err
	}
	if err := inRange("$.queues.desk", c.Queues.Desk, 1, MaxQueueDepth); err != nil {
		return err
	}
	return inRange("$.queues.samples", c.Queues.Samples, 1, MaxQueueDepth)
}

func validatePool(at string, p *Pool) error {
	if !validName(p.Name, false) {
		return invalid(at+".name", wantName, quoted(p.Name))
	}
	switch p.Kind {
	case Engine:
		if len(p.Models) == 0 {
			return invalid(at+".models", "at least one model for an engine pool", "none")
		}
	case Service:
		if len(p.Models) > 0 {
			return invalid(at+".models", "no models for a service pool", strconv.Itoa(len(p.Models)))
		}
		if p.ChecksFence {
			return invalid(at+".checks_fence", "false for a service pool", "true")
		}
	default:
		return invalid(at+".kind", "engine or service", quoted(string(p.Kind)))
	}
	switch p.InFlight {
	case "", InFlightFinish, Resume, Discard:
	default:
		return invalid(at+".in_flight", "finish, resume or discard", quoted(string(p.InFlight)))
	}
	if p.MaxUnavailablePercent > maxPercent {
		return invalid(at+".max_unavailable_percent", "an integer from 1 to 100", strconv.FormatUint(p.MaxUnavailablePercent, 10))
	}
	if err := names(at+".models", p.Models, wantModel, func(s string) bool { return validName(s, true) }); err != nil {
		return err
	}
	if err := names(at+".targets.admit", p.Targets.Admit, "a pattern of path.Match of 1 to 128 bytes", validPattern); err != nil {
		return err
	}
	return names(at+".targets.retire", p.Targets.Retire, wantModel, func(s string) bool { return validName(s, true) })
}

func validPattern(s string) bool {
	_, err := path.Match(s, "")
	return err == nil && s != "" && len(s) <= MaxNameBytes
}

// names checks that every item is valid and occurs once.
func names(at string, items []string, want string, valid func(string) bool) error {
	seen := make(map[string]bool, len(items))
	for i, s := range items {
		here := fmt.Sprintf("%s[%d]", at, i)
		if !valid(s) {
			return invalid(here, want, quoted(s))
		}
		if seen[s] {
			return invalid(here, wantUnique, quoted(s))
		}
		seen[s] = true
	}
	return nil
}

func validateTenancies(c *Config, pools map[string]*Pool) error {
	byName := make(map[string]bool, len(c.Tenancies))
	byToken := make(map[string]bool, len(c.Tenancies))
	for i := range c.Tenancies {
		t := &c.Tenancies[i]
		at := fmt.Sprintf("$.tenancies[%d]", i)
		if err := validateTenancy(at, t); err != nil {
			return err
		}
		if err := validateReferences(at, t, pools); err != nil {
			return err
		}
		if byName[t.Name] {
			return invalid(at+".name", wantUnique, quoted(t.Name))
		}
		// A shared token would let one tenancy act as another.
		if byToken[t.TokenSHA256] {
			return invalid(at+".token_sha256", wantUnique, "the digest of another tenancy")
		}
		byName[t.Name], byToken[t.TokenSHA256] = true, true
	}
	return nil
}

func validateTenancy(at string, t *Tenancy) error {
	if !validName(t.Name, false) {
		return invalid(at+".name", wantName, quoted(t.Name))
	}
	if !validName(t.Home, false) {
		return invalid(at+".home", wantName, quoted(t.Home))
	}
	raw, err := hex.DecodeString(t.TokenSHA256)
	if err != nil || len(raw) != 32 || strings.ToLower(t.TokenSHA256) != t.TokenSHA256 {
		// The value is not repeated, because a plain token may have been put here.
		return invalid(at+".token_sha256", "64 lower-case hex digits, the SHA-256 of the token", fmt.Sprintf("%d bytes of another form", len(t.TokenSHA256)))
	}
	if t.Model != "" && !validName(t.Model, true) {
		return invalid(at+".model", wantModel, quoted(t.Model))
	}
	if t.Weight < 0 || t.Weight > MaxWeight {
		return invalid(at+".weight", fmt.Sprintf("a number above 0 and up to %d", MaxWeight), number(t.Weight))
	}
	if err := validateKind(at, t); err != nil {
		return err
	}
	return validateLimits(at+".limits", t.Limits)
}

func validateKind(at string, t *Tenancy) error {
	switch t.Kind {
	case Trainer:
		return validateTrainer(at, t)
	case Desk:
		if t.StalenessBound != nil {
			return invalid(at+".staleness_bound", "no value for a desk", strconv.FormatUint(*t.StalenessBound, 10))
		}
		if t.Policy != nil {
			return invalid(at+".policy", "no value for a desk", "an object")
		}
		return nil
	default:
		return invalid(at+".kind", "trainer or desk", quoted(string(t.Kind)))
	}
}

func validateTrainer(at string, t *Tenancy) error {
	if t.Model == "" {
		return invalid(at+".model", wantModel, "a missing field")
	}
	if t.StalenessBound == nil {
		return invalid(at+".staleness_bound", fmt.Sprintf("an integer from 0 to %d", MaxStalenessBound), "a missing field")
	}
	if err := inRange(at+".staleness_bound", *t.StalenessBound, 0, MaxStalenessBound); err != nil {
		return err
	}
	if t.Policy == nil {
		return invalid(at+".policy", "an object with the fields idle_weight, staleness_weight", "a missing field")
	}
	idle, stale := t.Policy.IdleWeight, t.Policy.StalenessWeight
	if err := between(at+".policy.idle_weight", idle, MaxPolicyWeight); err != nil {
		return err
	}
	if err := between(at+".policy.staleness_weight", stale, MaxPolicyWeight); err != nil {
		return err
	}
	if idle == 0 && stale == 0 {
		return invalid(at+".policy", "at least one weight above 0", "both 0")
	}
	return nil
}

func validateLimits(at string, l *Limits) error {
	if l == nil {
		return nil
	}
	if l.RequestsPerMinute == 0 {
		return invalid(at+".requests_per_minute", "an integer above 0", "0")
	}
	if l.TokensPerMinute == 0 {
		return invalid(at+".tokens_per_minute", "an integer above 0", "0")
	}
	return between(at+".cut_off_share", l.CutOffShare, 1)
}

// validateReferences checks that the pools of a tenancy exist and serve its model.
func validateReferences(at string, t *Tenancy, pools map[string]*Pool) error {
	if len(t.Pools) == 0 {
		return invalid(at+".pools", "at least one pool", "none")
	}
	seen := make(map[string]bool, len(t.Pools))
	for i, name := range t.Pools {
		here := fmt.Sprintf("%s.pools[%d]", at, i)
		p := pools[name]
		if p == nil {
			return invalid(here, "the name of a pool in $.pools", quoted(name))
		}
		if seen[name] {
			return invalid(here, wantUnique, quoted(name))
		}
		seen[name] = true
		if t.Kind == Trainer && p.Kind != Engine {
			return invalid(here, "an engine pool for a trainer", quoted(name))
		}
		if t.Model != "" && p.Kind == Engine && !slices.Contains(p.Models, t.Model) {
			return invalid(here, "a pool that serves the model "+quoted(t.Model), quoted(name))
		}
	}
	return nil
}

func inRange(at string, v, low, high uint64) error {
	if v < low || v > high {
		return invalid(at, fmt.Sprintf("an integer from %d to %d", low, high), strconv.FormatUint(v, 10))
	}
	return nil
}

func between(at string, v, high float64) error {
	if v < 0 || v > high {
		return invalid(at, fmt.Sprintf("a number from 0 to %s", number(high)), number(v))
	}
	return nil
}

func positive(at string, v, high float64) error {
	if v <= 0 || v > high {
		return invalid(at, fmt.Sprintf("a number above 0 and up to %s", number(high)), number(v))
	}
	return nil
}

func number(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }
