package routing

import "time"

// Config holds the parameters of a Dispatcher. Values that are zero or negative are replaced by
// defaults.
type Config struct {
	// QueueLimit is the maximum number of queued requests per pool.
	QueueLimit int
	// SampleShare is the fraction of QueueLimit that samples may occupy. The rest is reserved
	// for desk requests, so that a burst of samples does not cause them to be refused.
	SampleShare float64
	// TenancyWeights holds the fair-queueing weight of each tenancy. The default weight is 1.
	TenancyWeights map[string]float64
	// MaxWindow is the maximum dispatch window of a target that does not announce its slots.
	MaxWindow int
	// ReportLag is the assumed age of a load report without a measurement time.
	ReportLag time.Duration
	// SilentAfter is the time without a load report or a result after which a target receives
	// probes only.
	SilentAfter time.Duration
	// SlowFactor is the ratio of a target's time per token to its pool's average above which
	// the target is suspended.
	SlowFactor float64
	// ProbeInterval is the initial delay between probes of a suspended target. It doubles with
	// each probe, up to MaxProbeInterval.
	ProbeInterval    time.Duration
	MaxProbeInterval time.Duration
	// RandomCandidates is the number of randomly drawn endpoints that are considered for a
	// request, in addition to the endpoints that hold its prefix. If no more endpoints than
	// this are free, all of them are considered.
	RandomCandidates int
	// MaxPrefixKeys is the maximum number of prefix keys in the prefix index.
	MaxPrefixKeys int
	// PrefixHalfLife is the time in which the confidence in a prefix entry halves.
	PrefixHalfLife time.Duration
	// MaxDeskSlowdown limits the samples on targets that are reserved for desk requests. Such a
	// target receives no more samples at the load that multiplies its time per token by this
	// factor, compared with a single request on an otherwise idle target. Targets are reserved only
	// while a pool serves both kinds.
	MaxDeskSlowdown float64
	// Profile selects among endpoints. Nil means DefaultProfile.
	Profile *Profile
}

const (
	defaultQueueLimit       = 4096
	defaultSampleShare      = 0.75
	defaultMaxWindow        = 64
	defaultReportLag        = 500 * time.Millisecond
	defaultSilentAfter      = 3 * time.Second // three missed announcements, which are sent every second
	defaultSlowFactor       = 3
	defaultProbeInterval    = 2 * time.Second
	defaultMaxProbeInterval = 16 * time.Second
	defaultRandomCandidates = 16
	defaultMaxPrefixKeys    = 1 << 16
	defaultPrefixHalfLife   = 2 * time.Minute
	defaultMaxDeskSlowdown  = 1.3 // desk requests add to the load, but desk p99 stays within 1.5 times that of an idle pool
)

func orDefault[T int | float64 | time.Duration](v, d T) T {
	if v <= 0 {
		return d
	}
	return v
}

func (c Config) withDefaults() Config {
	c.QueueLimit = orDefault(c.QueueLimit, defaultQueueLimit)
	c.SampleShare = orDefault(c.SampleShare, defaultSampleShare)
	c.MaxWindow = orDefault(c.MaxWindow, defaultMaxWindow)
	c.ReportLag = orDefault(c.ReportLag, defaultReportLag)
	c.SilentAfter = orDefault(c.SilentAfter, defaultSilentAfter)
	c.SlowFactor = orDefault(c.SlowFactor, defaultSlowFactor)
	c.ProbeInterval = orDefault(c.ProbeInterval, defaultProbeInterval)
	c.MaxProbeInterval = orDefault(c.MaxProbeInterval, defaultMaxProbeInterval)
	c.RandomCandidates = orDefault(c.RandomCandidates, defaultRandomCandidates)
	c.MaxPrefixKeys = orDefault(c.MaxPrefixKeys, defaultMaxPrefixKeys)
	c.PrefixHalfLife = orDefault(c.PrefixHalfLife, defaultPrefixHalfLife)
	c.MaxDeskSlowdown = orDefault(c.MaxDeskSlowdown, defaultMaxDeskSlowdown)
	if c.Profile == nil {
		c.Profile = DefaultProfile()
	}
	return c
}

// SetLimits replaces the queue limit per pool, the fraction of it that samples may occupy, and
// the weights of the tenancies. Requests that are already queued are kept.
func (d *Dispatcher) SetLimits(queueLimit int, sampleShare float64, weights map[string]float64) {
	d.cfg.QueueLimit = orDefault(queueLimit, defaultQueueLimit)
	d.cfg.SampleShare = orDefault(sampleShare, defaultSampleShare)
	d.cfg.TenancyWeights = weights
}
