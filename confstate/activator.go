package confstate

import (
	"strconv"

	"fuchsiaflow/errs"
)

// Activator decides which version of the configuration is active on a host. The active version
// never decreases while the process runs. After a restart the host is not ready until a
// linearizable read of its domain group confirms the newest version, because the version that
// it served before the restart may be newer than any version it has stored.
type Activator struct {
	active     Entry
	newestSeen uint64
	confirmed  bool
}

// NewActivator returns an activator without an active version.
func NewActivator() *Activator { return &Activator{} }

// Offer activates a version if it is newer than the active one and committed, which means
// committed in the host's domain group. A version that is not committed is only recorded for
// Behind. Offer reports whether the active version changed. It returns errs.Corrupt if the
// digest does not match the body, and errs.Conflict if the active version has the same number
// and another digest, that is, if two groups committed different bodies under one number.
func (a *Activator) Offer(e Entry, committed bool) (bool, error) {
	if e.Version != 0 && e.Digest != bodyDigest(e.Body) {
		return false, &errs.Corrupt{What: "configuration " + describeVersion(e.Version, e.Digest), Detail: "the digest does not match the body"}
	}
	if e.Version != 0 && e.Version == a.active.Version && e.Digest != a.active.Digest {
		return false, &errs.Conflict{
			Kind: "configuration", ID: "version " + formatUint(e.Version),
			Stored: describeVersion(a.active.Version, a.active.Digest), Received: describeVersion(e.Version, e.Digest),
		}
	}
	a.ObserveVersion(e.Version)
	if !committed || e.Version <= a.active.Version {
		return false, nil
	}
	a.active = e
	return true, nil
}

// Confirm offers the result of a linearizable read that began after the process started, and
// makes the host ready. The zero Entry means that there is no configuration yet. A result older
// than the active version is not an error: a newer version was offered during the read. Confirm
// reports whether the active version changed.
func (a *Activator) Confirm(e Entry) (bool, error) {
	changed, err := a.Offer(e, true)
	if err != nil {
		return false, err
	}
	a.confirmed = true
	return changed, nil
}

// ObserveVersion records that another host uses the given version.
func (a *Activator) ObserveVersion(version uint64) { a.newestSeen = max(a.newestSeen, version) }

// Behind reports whether a version newer than the active one is known to exist.
func (a *Activator) Behind() bool { return a.newestSeen > a.active.Version }

// Ready reports whether a read has confirmed the configuration, so that the host may serve.
func (a *Activator) Ready() bool { return a.confirmed }

// Active returns the active version, or the zero Entry.
func (a *Activator) Active() Entry { return a.active }

func formatUint(v uint64) string { return strconv.FormatUint(v, 10) }

func describeVersion(version uint64, digest string) string {
	return "version " + formatUint(version) + " with digest " + truncated(digest)
}
