package membership

import "github.com/cespare/xxhash/v2"

// Owner returns the host that owns a target by rendezvous hashing, or "" if hosts is empty. When a
// host joins or fails, ownership changes only for the targets that it gains or loses.
func Owner(targetID string, hosts []string) string {
	var best string
	var bestScore uint64
	var buf [160]byte
	for _, h := range hosts {
		b := append(buf[:0], h...)
		b = append(b, 0)
		b = append(b, targetID...)
		score := xxhash.Sum64(b)
		if best == "" || score > bestScore || score == bestScore && h < best {
			best, bestScore = h, score
		}
	}
	return best
}
