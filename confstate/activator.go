package confstate

import (
	"strconv"

	"fuchsiaflow/errs"
)

// Activator decides on a host which version is in force. The version in force never
// decreases while the process lives. After a restart the host is not ready until a
// linearizable read of its domain group has confirmed the newest version, because the version
// that it served before the restart may be newer than anything it has stored.
type Activator struct {
	active    Entry
	seen      uint64
	confirmed bool
}

// NewActivator returns the activator of a host that has just started.
func NewActivator() *Activator { return &Activator{} }

// Offer gives a version to the host. Durable states that the version is committed in the
// host's domain group; other offers are only noted for Behind. Offer reports whether the
// version in force changed. The error is not nil if the offer contradicts the version in
// force, which means that two groups committed different bodies under one number.
func (a *Activator) Offer(e Entry, durable bool) (bool, error) {
	if e.Version != 0 && e.Digest != digestBytes(e.Body) {
		return false, &errs.Corrupt{What: "configuration " + describeVersion(e.Version, e.Digest), Detail: "the digest does not belong to the body"}
	}
	if e.Version != 0 && e.Version == a.active.Version && e.Digest != a.active.Digest {
		return false, &errs.Conflict{
			Kind: "configuration", ID: "version " + uintString(e.Version),
			Have: describeVersion(a.active.Version, a.active.Digest), Got: describeVersion(e.Version, e.Digest),
		}
	}
	a.Notice(e.Version)
	if !durable || e.Version <= a.active.Version {
		return false, nil
	}
	a.active = e
	return true, nil
}

// Confirm gives the result of a linearizable read that was started after this process
// started. The zero Entry states that there is no configuration yet. A result that is older
// than the version in force was overtaken by an offer and confirms it as well.
func (a *Activator) Confirm(e Entry) (bool, error) {
	changed, err := a.Offer(e, true)
	if err != nil {
		return false, err
	}
	a.confirmed = true
	return changed, nil
}

// Notice records that another host works with the given version.
func (a *Activator) Notice(version uint64) { a.seen = max(a.seen, version) }

// Behind reports whether a newer version than the one in force is known to exist.
func (a *Activator) Behind() bool { return a.seen > a.active.Version }

// Ready reports whether the host may serve.
func (a *Activator) Ready() bool { return a.confirmed }

// Active returns the version in force, or the zero Entry.
func (a *Activator) Active() Entry { return a.active }

func uintString(v uint64) string { return strconv.FormatUint(v, 10) }

func describeVersion(version uint64, digest string) string {
	return "version " + uintString(version) + " with digest " + truncated(digest)
}
