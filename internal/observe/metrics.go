package observe

import (
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	namespace = "fuchsiaflow"

	// maxLabelValues is the number of distinct values of a label without a fixed list. Further
	// values become OtherLabelValue, so that clients cannot grow the registry without bound.
	maxLabelValues = 64

	// OtherLabelValue replaces missing values and values that a label does not accept.
	OtherLabelValue = "other"
)

// Label is the name of a label and its accepted values. A label without a list accepts the first 64
// distinct values; it is meant for names that operators choose, such as pools.
type Label struct {
	Name   string
	Values []string
}

// Metrics is the metrics registry of a host.
type Metrics struct {
	registry *prometheus.Registry
	rings    *ringCollector
}

// NewMetrics returns a registry with the metrics of the process and of the Go runtime.
func NewMetrics() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry(), rings: newRingCollector()}
	m.registry.MustRegister(m.rings, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Registry returns the underlying registry for tests and additional collectors.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// labelSet limits the label values of one metric.
type labelSet struct {
	labels []Label
	mu     sync.Mutex
	seen   []map[string]bool // accepted values without a fixed list, by the index of the label
}

func newLabelSet(labels []Label) *labelSet {
	s := &labelSet{labels: labels, seen: make([]map[string]bool, len(labels))}
	for i := range s.seen {
		s.seen[i] = make(map[string]bool)
	}
	return s
}

func (s *labelSet) names() []string {
	names := make([]string, len(s.labels))
	for i, l := range s.labels {
		names[i] = l.Name
	}
	return names
}

// limitValues returns one value for each label. Missing values and values that are not accepted
// become OtherLabelValue.
func (s *labelSet) limitValues(values []string) []string {
	limited := make([]string, len(s.labels))
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, l := range s.labels {
		limited[i] = OtherLabelValue
		if i < len(values) && s.admit(i, l, values[i]) {
			limited[i] = strings.ToValidUTF8(values[i], "?")
		}
	}
	return limited
}

// admit reports whether label i accepts the value, and records a new value of a label without a
// fixed list. The caller holds s.mu.
func (s *labelSet) admit(i int, l Label, v string) bool {
	if len(l.Values) > 0 {
		return slices.Contains(l.Values, v)
	}
	if s.seen[i][v] {
		return true
	}
	if len(s.seen[i]) >= maxLabelValues {
		return false
	}
	s.seen[i][v] = true
	return true
}

// Counter is a counter whose label values are bounded.
type Counter struct {
	labels *labelSet
	vec    *prometheus.CounterVec
}

// Counter registers a counter. It panics if the name is already registered.
func (m *Metrics) Counter(name, help string, labels ...Label) *Counter {
	c := &Counter{labels: newLabelSet(labels)}
	c.vec = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, c.labels.names())
	m.registry.MustRegister(c.vec)
	return c
}

// Add adds v to the counter with the label values, which are in the order of the labels.
func (c *Counter) Add(v float64, values ...string) {
	c.vec.WithLabelValues(c.labels.limitValues(values)...).Add(v)
}

// Inc adds 1 to the counter with the label values.
func (c *Counter) Inc(values ...string) { c.Add(1, values...) }

// Gauge is a gauge whose label values are bounded.
type Gauge struct {
	labels *labelSet
	vec    *prometheus.GaugeVec
}

// Gauge registers a gauge. It panics if the name is already registered.
func (m *Metrics) Gauge(name, help string, labels ...Label) *Gauge {
	g := &Gauge{labels: newLabelSet(labels)}
	g.vec = prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, g.labels.names())
	m.registry.MustRegister(g.vec)
	return g
}

// Set sets the gauge with the label values.
func (g *Gauge) Set(v float64, values ...string) {
	g.vec.WithLabelValues(g.labels.limitValues(values)...).Set(v)
}

// Histogram is a histogram whose label values are bounded.
type Histogram struct {
	labels *labelSet
	vec    *prometheus.HistogramVec
}

// SecondsBuckets are histogram buckets from a local response to a step of four minutes.
var SecondsBuckets = []float64{.0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60, 120, 240}

// Histogram registers a histogram. It panics if the name is already registered.
func (m *Metrics) Histogram(name, help string, buckets []float64, labels ...Label) *Histogram {
	h := &Histogram{labels: newLabelSet(labels)}
	h.vec = prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, h.labels.names())
	m.registry.MustRegister(h.vec)
	return h
}

// Observe adds an observation to the histogram with the label values.
func (h *Histogram) Observe(v float64, values ...string) {
	h.vec.WithLabelValues(h.labels.limitValues(values)...).Observe(v)
}

// GaugeFunc registers a gauge whose value is computed by read at each collection.
func (m *Metrics) GaugeFunc(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// Ring is the part of a kernel.Ring that the metrics read.
type Ring interface {
	Name() string
	Depth() int
	Dropped() uint64
}

// RegisterRings adds the depth and the drops of rings to the metrics. A ring replaces an earlier one of
// the same name.
func (m *Metrics) RegisterRings(rings ...Ring) { m.rings.add(rings...) }

type ringCollector struct {
	depth, drops *prometheus.Desc
	mu           sync.Mutex
	rings        map[string]Ring
}

func newRingCollector() *ringCollector {
	fqName := func(s string) string { return prometheus.BuildFQName(namespace, "ring", s) }
	return &ringCollector{
		depth: prometheus.NewDesc(fqName("depth"), "Elements queued in a ring.", []string{"ring"}, nil),
		drops: prometheus.NewDesc(fqName("drops_total"), "Elements that a full ring rejected or dropped.", []string{"ring"}, nil),
		rings: make(map[string]Ring),
	}
}

func (c *ringCollector) add(rings ...Ring) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range rings {
		c.rings[r.Name()] = r
	}
}

// Describe implements prometheus.Collector.
func (c *ringCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- c.depth
	descs <- c.drops
}

// Collect implements prometheus.Collector.
func (c *ringCollector) Collect(metrics chan<- prometheus.Metric) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, r := range c.rings {
		metrics <- prometheus.MustNewConstMetric(c.depth, prometheus.GaugeValue, float64(r.Depth()), name)
		metrics <- prometheus.MustNewConstMetric(c.drops, prometheus.CounterValue, float64(r.Dropped()), name)
	}
}
