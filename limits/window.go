package limits

import "time"

// Window is the length of the sliding window of quotas per minute.
const Window = time.Minute

// bucketsPerWindow is the resolution of a sliding window. A bucket leaves the window when its
// newest possible entry does, so the resolution costs up to 1/60 of utilization but never admits
// more than the quota.
const bucketsPerWindow = 60

// bucket holds the amount spent in one interval of slidingWindow.bucketLength. The fields are exported
// for encoding.
type bucket struct {
	Index int64 // Unix time divided by the length of a bucket
	Spent Amount
}

// slidingWindow sums the amounts spent in the last interval of its length. The exported fields are encoded.
type slidingWindow struct {
	Buckets []bucket
	Sum     Amount
	length  time.Duration // 0 means Window
}

// span returns the length of the window.
func (w *slidingWindow) span() time.Duration {
	if w.length > 0 {
		return w.length
	}
	return Window
}

func (w *slidingWindow) bucketLength() time.Duration { return max(w.span()/bucketsPerWindow, 1) }

func (w *slidingWindow) bucketIndex(now time.Time) int64 {
	return now.UnixNano() / int64(w.bucketLength())
}

// expire removes the buckets that lie entirely before the window.
func (w *slidingWindow) expire(now time.Time) {
	first := w.bucketIndex(now.Add(-w.span()))
	expired := 0
	for expired < len(w.Buckets) && w.Buckets[expired].Index < first {
		w.Sum = w.Sum.Sub(w.Buckets[expired].Spent)
		expired++
	}
	if expired > 0 {
		w.Buckets = append(w.Buckets[:0], w.Buckets[expired:]...)
	}
}

// add charges an amount at the given time. If the clock has stepped back, the newest bucket is
// charged.
func (w *slidingWindow) add(now time.Time, a Amount) {
	w.expire(now)
	index := w.bucketIndex(now)
	if n := len(w.Buckets); n > 0 && w.Buckets[n-1].Index >= index {
		w.Buckets[n-1].Spent = w.Buckets[n-1].Spent.Add(a)
	} else {
		w.Buckets = append(w.Buckets, bucket{index, a})
	}
	w.Sum = w.Sum.Add(a)
}

// refund reverts spending, starting with the oldest buckets, so that the remaining amounts leave
// the window later than they could, never earlier. It returns the amount reverted.
func (w *slidingWindow) refund(now time.Time, a Amount) Amount {
	w.expire(now)
	var reverted Amount
	for i := range w.Buckets {
		part := a.Sub(reverted).Min(w.Buckets[i].Spent).Max(Amount{})
		w.Buckets[i].Spent = w.Buckets[i].Spent.Sub(part)
		reverted = reverted.Add(part)
	}
	w.Sum = w.Sum.Sub(reverted)
	return reverted
}

// timeUntilFree returns the time until at least need has left the window. It returns the length of the
// window if it holds less.
func (w *slidingWindow) timeUntilFree(now time.Time, need Amount) time.Duration {
	var freed Amount
	for _, b := range w.Buckets {
		freed = freed.Add(b.Spent)
		if freed.Covers(need) {
			end := time.Unix(0, (b.Index+1)*int64(w.bucketLength())).Add(w.span())
			return max(w.bucketLength(), end.Sub(now))
		}
	}
	return w.span()
}
