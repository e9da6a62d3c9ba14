package membership

import "github.com/cespare/xxhash/v2"

// Owner returns the host that owns a target by rendezvous hashing, or "" without hosts. When
// a host joins or fails, only the targets that it gains or owned change their owner.
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
