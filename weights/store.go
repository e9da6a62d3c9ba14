package weights

// SetStoreRate replaces the rate of the weight store, in loads per second, and the loads
// that may start at once. At least one load may start, so that a small share of a rate
// still makes progress.
func (p *Planner) SetStoreRate(rate, burst float64) {
	p.cfg.StoreRate = rate
	p.cfg.StoreBurst = max(1, burst)
	p.tokens = min(p.tokens, p.cfg.StoreBurst)
}
