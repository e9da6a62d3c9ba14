package weights

// SetStoreRate sets the rate at which targets may load from the weight store, in loads per
// second, and the number of loads that may start at once. The burst is at least 1, so that a
// domain with a small share of the rate still makes progress.
func (p *Planner) SetStoreRate(rate, burst float64) {
	p.cfg.StoreRate = rate
	p.cfg.StoreBurst = max(1, burst)
	p.tokens = min(p.tokens, p.cfg.StoreBurst)
}
