package configuration

import (
	"errors"
	"fmt"

	wire "laddertide/wire/configuration"
)

// Decision is what a follower does with a version that it receives.
type Decision uint8

// The decisions.
const (
	Ignore Decision = iota // it has the version already or has refused it: it reports what it has
	Apply                  // it checks the version, and then takes or refuses it
)

// Errors for a version that a follower receives. None of them changes what is in force.
var (
	ErrOlder  = errors.New("configuration: the version is older than one that this process has had")
	ErrDigest = errors.New("configuration: the document does not match its digest")
	ErrFork   = errors.New("configuration: another document by the same version")
)

// Follower is what a scheduler knows of its configuration: which version is in force, and the newest that it has ever had. The
// zero value has had none. It is not safe for concurrent use.
type Follower struct {
	version       uint64
	digest        wire.Digest
	refused       uint64
	refusedDigest wire.Digest
	reason        string
}

// NewFollower returns a Follower that has had a version, as saved on disk.
func NewFollower(version uint64, digest wire.Digest) *Follower {
	return &Follower{version: version, digest: digest}
}

// Offer decides what to do with a version that a source has sent.
func (f *Follower) Offer(p *wire.Push) (Decision, error) {
	if p.Version == 0 { // the source has no version yet
		return Ignore, nil
	}
	if wire.DigestOf(p.Document) != p.Digest {
		return Ignore, fmt.Errorf("%w: version %d", ErrDigest, p.Version)
	}
	switch {
	case p.Version < f.version:
		return Ignore, fmt.Errorf("%w: %d, after %d", ErrOlder, p.Version, f.version)
	case p.Version == f.version && p.Digest != f.digest:
		return Ignore, fmt.Errorf("%w: %d", ErrFork, p.Version)
	case p.Version == f.version:
		return Ignore, nil
	case p.Version == f.refused && p.Digest != f.refusedDigest:
		return Ignore, fmt.Errorf("%w: %d", ErrFork, p.Version)
	case p.Version <= f.refused:
		return Ignore, nil
	}
	return Apply, nil
}

// Applied records that an offered version is in force.
func (f *Follower) Applied(p *wire.Push) {
	f.version, f.digest = p.Version, p.Digest
	f.refused, f.refusedDigest, f.reason = 0, wire.Digest{}, ""
}

// Refused records that an offered version cannot be used here, and why. The version in force stays.
func (f *Follower) Refused(p *wire.Push, reason string) {
	if len(reason) > wire.MaxReason {
		reason = reason[:wire.MaxReason]
	}
	f.refused, f.refusedDigest, f.reason = p.Version, p.Digest, reason
}

// Report returns the report that a follower sends to its source.
func (f *Follower) Report() wire.Report {
	return wire.Report{Version: f.version, Digest: f.digest, Refused: f.refused, Reason: f.reason}
}
