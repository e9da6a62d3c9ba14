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

	// maxValues bounds the different values of a label without a fixed list. Beyond it,
	// values are counted as Other, so that callers cannot make a registry grow.
	maxValues = 64

	// Other is the label value for what does not have its own.
	Other = "other"
)

// Label names a label and the values that it may take. A label without values takes the
// first 64 that are seen; it suits names that operators choose, such as pools.
type Label struct {
	Name   string
	Values []string
}

// Metrics is the registry of one host.
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

// Handler serves the metrics in the text format of Prometheus.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Registry returns the registry, for tests and further collectors.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// labelSet limits the values of the labels of one metric.
type labelSet struct {
	labels []Label
	mu     sync.Mutex
	seen   []map[string]bool // parallel to labels
}

func newLabelSet(labels []Label) *labelSet {
	s := &labelSet{labels: labels, seen: make([]map[string]bool, len(labels))}
	for i := range s.seen {
		s.seen[i] = make(map[string]bool)
	}
	return s
}

func (s *labelSet) names() []string {
	out := make([]string, len(s.labels))
	for i, l := range s.labels {
		out[i] = l.Name
	}
	return out
}

// bound replaces values that are not allowed by Other, and missing values too.
func (s *labelSet) bound(values []string) []string {
	out := make([]string, len(s.labels))
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, l := range s.labels {
		out[i] = Other
		if i < len(values) && s.allowed(i, l, values[i]) {
			out[i] = strings.ToValidUTF8(values[i], "?")
		}
	}
	return out
}

func (s *labelSet) allowed(i int, l Label, v string) bool {
	if len(l.Values) > 0 {
		return slices.Contains(l.Values, v)
	}
	if s.seen[i][v] {
		return true
	}
	if len(s.seen[i]) >= maxValues {
		return false
	}
	s.seen[i][v] = true
	return true
}

// Counter is a counter with a bounded set of labels.
type Counter struct {
	labels *labelSet
	vec    *prometheus.CounterVec
}

// Counter registers a counter. It panics when the name is registered already.
func (m *Metrics) Counter(name, help string, labels ...Label) *Counter {
	c := &Counter{labels: newLabelSet(labels)}
	c.vec = prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, c.labels.names())
	m.registry.MustRegister(c.vec)
	return c
}

// Add adds v to the counter of the label values, which are in the order of the labels.
func (c *Counter) Add(v float64, values ...string) {
	c.vec.WithLabelValues(c.labels.bound(values)...).Add(v)
}

// Inc adds one.
func (c *Counter) Inc(values ...string) { c.Add(1, values...) }

// Gauge is a gauge with a bounded set of labels.
type Gauge struct {
	labels *labelSet
	vec    *prometheus.GaugeVec
}

// Gauge registers a gauge. It panics when the name is registered already.
func (m *Metrics) Gauge(name, help string, labels ...Label) *Gauge {
	g := &Gauge{labels: newLabelSet(labels)}
	g.vec = prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, g.labels.names())
	m.registry.MustRegister(g.vec)
	return g
}

// Set sets the gauge of the label values.
func (g *Gauge) Set(v float64, values ...string) {
	g.vec.WithLabelValues(g.labels.bound(values)...).Set(v)
}

// Histogram is a histogram with a bounded set of labels.
type Histogram struct {
	labels *labelSet
	vec    *prometheus.HistogramVec
}

// SecondsBuckets cover a local answer as well as a step of four minutes.
var SecondsBuckets = []float64{.0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60, 120, 240}

// Histogram registers a histogram. It panics when the name is registered already.
func (m *Metrics) Histogram(name, help string, buckets []float64, labels ...Label) *Histogram {
	h := &Histogram{labels: newLabelSet(labels)}
	h.vec = prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}, h.labels.names())
	m.registry.MustRegister(h.vec)
	return h
}

// Observe adds a value to the histogram of the label values.
func (h *Histogram) Observe(v float64, values ...string) {
	h.vec.WithLabelValues(h.labels.bound(values)...).Observe(v)
}

// GaugeFunc registers a gauge whose value is read when the metrics are collected.
func (m *Metrics) GaugeFunc(name, help string, read func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// Ring is the part of a kernel.Ring that is measured.
type Ring interface {
	Name() string
	Depth() int
	Dropped() uint64
}

// WatchRings adds rings to the metrics. A ring replaces an earlier one of the same name.
func (m *Metrics) WatchRings(rings ...Ring) { m.rings.add(rings...) }

type ringCollector struct {
	depth, drops *prometheus.Desc
	mu           sync.Mutex
	rings        map[string]Ring
}

func newRingCollector() *ringCollector {
	name := func(s string) string { return prometheus.BuildFQName(namespace, "ring", s) }
	return &ringCollector{
		depth: prometheus.NewDesc(name("depth"), "Queued elements of a ring.", []string{"ring"}, nil),
		drops: prometheus.NewDesc(name("drops_total"), "Elements that a full ring refused or dropped.", []string{"ring"}, nil),
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
func (c *ringCollector) Describe(out chan<- *prometheus.Desc) {
	out <- c.depth
	out <- c.drops
}

// Collect implements prometheus.Collector.
func (c *ringCollector) Collect(out chan<- prometheus.Metric) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, r := range c.rings {
		out <- prometheus.MustNewConstMetric(c.depth, prometheus.GaugeValue, float64(r.Depth()), name)
		out <- prometheus.MustNewConstMetric(c.drops, prometheus.CounterValue, float64(r.Dropped()), name)
	}
}
