// Package limits enforces request and token quotas per minute for tenancies that are served
// by many hosts.
//
// The problem statement follows the article "Building Distributed AI Rate Limiting (RPM/TPM)
// with Envoy, envoyproxy/ratelimit and Redis": counters kept by each instance multiply a
// tenant's quota by the number of instances; counting requests alone is not enough, because
// token use varies by orders of magnitude between requests; and the tokens of a request are
// known only afterwards, so they must be reserved first and settled by real usage.
//
// The article's shared counter is an external store. Here the tenancy's home domain group
// keeps a Home, which leases parts of the quota (shares) to hosts by demand. A Host reserves
// requests and tokens together against its share, without a message per request. An amount
// counts against the quota while a host may still spend it, and for one window after the
// report that it was spent, so reservations never exceed the quota in any window.
//
// A host whose lease ended spends only its fixed part of its domain's cut-off share, which
// Home keeps out of all grants.
//
// Both cores are deterministic and are not safe for concurrent use.
package limits
