package limits

import "time"

// Window is the length of the sliding window: quotas are per minute.
const Window = time.Minute

// bucketLength is the resolution of the sliding window. A bucket leaves the window when its
// newest possible entry does, so the resolution costs utilization (1/60) but not safety.
const bucketLength = time.Second

// bucket is what was spent in one interval. The fields are exported for encoding.
type bucket struct {
	Index int64 // Unix time divided by bucketLength
	Spent Amount
}

// slidingWindow sums what was spent in the last Window.
type slidingWindow struct {
	Buckets []bucket
	Sum     Amount
}

func bucketIndex(now time.Time) int64 { return now.UnixNano() / int64(bucketLength) }

// expire drops the buckets that lie entirely before the window.
func (w *slidingWindow) expire(now time.Time) {
	first := bucketIndex(now.Add(-Window))
	n := 0
	for n < len(w.Buckets) && w.Buckets[n].Index < first {
		w.Sum = w.Sum.Sub(w.Buckets[n].Spent)
		n++
	}
	if n > 0 {
		w.Buckets = append(w.Buckets[:0], w.Buckets[n:]...)
	}
}

func (w *slidingWindow) add(now time.Time, a Amount) {
	w.expire(now)
	i := bucketIndex(now)
	if n := len(w.Buckets); n > 0 && w.Buckets[n-1].Index >= i {
		w.Buckets[n-1].Spent = w.Buckets[n-1].Spent.Add(a)
	} else {
		w.Buckets = append(w.Buckets, bucket{i, a})
	}
	w.Sum = w.Sum.Add(a)
}

// refund takes back spending that turned out smaller, from the oldest buckets: what remains
// then leaves the window later than it might, never earlier. It returns what it took.
func (w *slidingWindow) refund(now time.Time, a Amount) Amount {
	w.expire(now)
	var taken Amount
	for i := range w.Buckets {
		part := a.Sub(taken).Min(w.Buckets[i].Spent).Max(Amount{})
		w.Buckets[i].Spent = w.Buckets[i].Spent.Sub(part)
		taken = taken.Add(part)
	}
	w.Sum = w.Sum.Sub(taken)
	return taken
}

// freeAt returns when at least need leaves the window, or one window from now.
func (w *slidingWindow) freeAt(now time.Time, need Amount) time.Duration {
	var freed Amount
	for _, b := range w.Buckets {
		freed = freed.Add(b.Spent)
		if freed.Covers(need) {
			end := time.Unix(0, (b.Index+1)*int64(bucketLength)).Add(Window)
			return max(bucketLength, end.Sub(now))
		}
	}
	return Window
}
