// Package e2e tests real processes of the fuchsiaflow binary on loopback. Its tests start
// hosts in three failure domains, kill, suspend and cut them off, and check the guarantees
// P1 to P9 of docs/design.md. It has no code outside tests.
//
// FUCHSIAFLOW_E2E=long runs the longer variants.
package e2e
