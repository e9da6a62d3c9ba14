// Package e2e contains end-to-end tests that run the fuchsiaflow binary as real processes on
// loopback. They start hosts in three failure domains, kill, suspend and isolate them, and
// check the guarantees P1 to P9 of docs/design.md.
//
// FUCHSIAFLOW_E2E=long runs the longer variants.
package e2e
