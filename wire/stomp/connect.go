package stomp

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Version is a version of STOMP. The zero Version is for a connection before negotiation: frames are read and written
// without escapes, and a line may end with LF or with CR LF, which a client that offers 1.2 may use.
type Version int

// The versions, from the lowest to the highest.
const (
	V10 Version = 1 + iota
	V11
	V12
)

// Versions lists all versions in the form of the accept-version header, and of the version header of an ERROR that refuses a client.
const Versions = "1.0,1.1,1.2"

func (v Version) String() string {
	switch v {
	case 0:
		return "without a version"
	case V10:
		return "1.0"
	case V11:
		return "1.1"
	case V12:
		return "1.2"
	}
	return "of unknown version " + strconv.Itoa(int(v))
}

// ParseVersion parses a version as it appears in headers.
func ParseVersion(s string) (Version, bool) {
	switch s {
	case "1.0":
		return V10, true
	case "1.1":
		return V11, true
	case "1.2":
		return V12, true
	}
	return 0, false
}

// Negotiate returns the highest version that a CONNECT's headers accept. Without accept-version that is 1.0. Unknown
// versions are ignored. If there is no common version, the error is a *SyntaxError.
func Negotiate(connect Fields) (Version, error) {
	list, ok := connect.Lookup("accept-version")
	if !ok {
		return V10, nil
	}
	var best Version
	for s := range strings.SplitSeq(list, ",") {
		if v, ok := ParseVersion(strings.Trim(s, " \t")); ok {
			best = max(best, v)
		}
	}
	if best == 0 {
		return 0, syntaxError("accept-version %.40q has none of "+Versions, list)
	}
	return best, nil
}

// ConnectedVersion returns the version in a server's CONNECTED, or 1.0 if it has none. For an unknown version the error is a
// *SyntaxError. The caller must check that the version was offered.
func ConnectedVersion(connected Fields) (Version, error) {
	s, ok := connected.Lookup("version")
	if !ok {
		return V10, nil
	}
	v, ok := ParseVersion(s)
	if !ok {
		return 0, syntaxError("version %.40q is none of "+Versions, s)
	}
	return v, nil
}

// MaxHeartBeat is the longest interval that a heart-beat header may contain, 24.8 days: many implementations store it in 32 bits.
const MaxHeartBeat = math.MaxInt32 * time.Millisecond

// HeartBeat is the heart-beat setting that one side sends when it connects.
type HeartBeat struct {
	Can  time.Duration // it can send something at least this often; 0: it sends no heart-beats
	Want time.Duration // it wants to receive something at least this often; 0: it needs no heart-beats
}

// String returns the value of a heart-beat header, in whole milliseconds.
func (h HeartBeat) String() string {
	return strconv.FormatInt(h.Can.Milliseconds(), 10) + "," + strconv.FormatInt(h.Want.Milliseconds(), 10)
}

// ParseHeartBeat parses the value of a heart-beat header: two numbers of milliseconds, up to MaxHeartBeat. Any error is a
// *SyntaxError.
func ParseHeartBeat(value string) (HeartBeat, error) {
	can, want, ok := strings.Cut(value, ",")
	if !ok {
		return HeartBeat{}, syntaxError("heart-beat %.40q is not two numbers", value)
	}
	var h HeartBeat
	for _, x := range []struct {
		digits string
		to     *time.Duration
	}{{can, &h.Can}, {want, &h.Want}} {
		digits := strings.Trim(x.digits, " \t")
		for i := range len(digits) {
			if digits[i] < '0' || digits[i] > '9' {
				return HeartBeat{}, syntaxError("heart-beat %.40q is not two numbers", value)
			}
		}
		ms, err := strconv.ParseUint(digits, 10, 31)
		if err != nil && digits == "" {
			return HeartBeat{}, syntaxError("heart-beat %.40q is not two numbers", value)
		}
		if err != nil {
			return HeartBeat{}, syntaxError("heart-beat %.40q is longer than %d ms", value, MaxHeartBeat.Milliseconds())
		}
		*x.to = time.Duration(ms) * time.Millisecond
	}
	return h, nil
}

// HeartBeatOf parses the heart-beat header of a CONNECT or CONNECTED. Without one it returns zero.
func HeartBeatOf(h Fields) (HeartBeat, error) {
	value, ok := h.Lookup("heart-beat")
	if !ok {
		return HeartBeat{}, nil
	}
	return ParseHeartBeat(value)
}

// Interval returns the longest interval at which the side with the setting from must send to the side with the setting to.
// 0 means no heart-beats in this direction.
func Interval(from, to HeartBeat) time.Duration {
	if from.Can == 0 || to.Want == 0 {
		return 0
	}
	return max(from.Can, to.Want)
}
