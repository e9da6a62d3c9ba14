// Package limits enforces quotas of requests and tokens that many hosts use together: those of tenancies, per
// minute, and the requests a second that a target takes (package internal/ratelimit).
//
// The problem statement follows the article "Building Distributed AI Rate Limiting (RPM/TPM)
// with Envoy, envoyproxy/ratelimit and Redis": counters kept by each instance multiply a
// tenant's quota by the number of instances; counting requests alone is not enough, because
// token use varies by orders of magnitude between requests; and the token count of a request
// is only known after it has run, so tokens must be reserved first and settled with the
// actual usage later.
//
// The article keeps the shared counter in an external store. Here the consensus group of the
// tenancy's home domain replicates an allocator (for a target, the leader of the state group has one), which leases shares of the quota to hosts
// according to their demand. Each host reserves requests and tokens together against its share,
// without a message per request. An amount counts against the quota while a host may still spend
// it, and for one window after the host reports it as spent, so reservations never exceed the
// quota in any window.
//
// A host whose lease has expired spends only its fixed part of the cut-off share of its failure
// domain, which is excluded from all grants.
//
// Both types are deterministic and are not safe for concurrent use.
package limits
