package routing

import "time"

// Config holds the parameters of a Dispatcher. Zero values are replaced by defaults.
type Config struct {
	// QueueLimit bounds the queued requests of a pool.
	QueueLimit int
	// SampleShare is the share of QueueLimit that samples may occupy, so that a burst of
	// samples cannot cause the refusal of desk requests.
	SampleShare float64
	// Weights are the tenancies' weights in fair queueing; 1 where absent.
	Weights map[string]float64
	// MaxWindow bounds the dispatch window of a target that does not state its slots.
	MaxWindow int
	// ReportLag is the assumed age of a load report that does not state when it was measured.
	ReportLag time.Duration
	// SilentAfter is the time without a load report or result after which a target is suspended.
	SilentAfter time.Duration
	// SlowFactor suspends a target whose time per token exceeds the pool's by this factor.
	SlowFactor float64
	// ProbeInterval is the first delay between probes of a suspended target; it doubles up to
	// MaxProbeInterval.
	ProbeInterval    time.Duration
	MaxProbeInterval time.Duration
	// Candidates is the number of random endpoints examined per decision besides the holders
	// of the prefix. A pool with at most this many free endpoints is examined whole.
	Candidates int
	// PrefixEntries bounds the number of prefix keys remembered.
	PrefixEntries int
	// PrefixHalfLife is the age at which a cache entry counts half.
	PrefixHalfLife time.Duration
	// DeskSlowdown bounds the time per token on the few targets that are kept quiet for desk
	// requests while a pool serves both kinds, relative to a lone request.
	DeskSlowdown float64
	// Profile chooses among endpoints; DefaultProfile where nil.
	Profile *Profile
}

const (
	defaultQueueLimit       = 4096
	defaultSampleShare      = 0.75
	defaultMaxWindow        = 64
	defaultReportLag        = 500 * time.Millisecond
	defaultSilentAfter      = 3 * time.Second // three announcements of one second each
	defaultSlowFactor       = 3
	defaultProbeInterval    = 2 * time.Second
	defaultMaxProbeInterval = 16 * time.Second
	defaultCandidates       = 16
	defaultPrefixEntries    = 1 << 16
	defaultPrefixHalfLife   = 2 * time.Minute
	defaultDeskSlowdown     = 1.3 // keeps the desk p99, with desk requests on top, within 1.5 times that of an idle pool
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
	c.Candidates = orDefault(c.Candidates, defaultCandidates)
	c.PrefixEntries = orDefault(c.PrefixEntries, defaultPrefixEntries)
	c.PrefixHalfLife = orDefault(c.PrefixHalfLife, defaultPrefixHalfLife)
	c.DeskSlowdown = orDefault(c.DeskSlowdown, defaultDeskSlowdown)
	if c.Profile == nil {
		c.Profile = DefaultProfile()
	}
	return c
}

// SetLimits replaces the bound of the queue per pool, the share of it that samples may
// occupy, and the tenancies' weights. Requests that are queued already stay.
func (d *Dispatcher) SetLimits(queueLimit int, sampleShare float64, weights map[string]float64) {
	d.cfg.QueueLimit = orDefault(queueLimit, defaultQueueLimit)
	d.cfg.SampleShare = orDefault(sampleShare, defaultSampleShare)
	d.cfg.Weights = weights
}
