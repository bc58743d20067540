package stomp

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Version is a version of STOMP. The zero Version is that of a connection on which none is settled yet: frames are
// read and written without escapes, and a line may end with LF or CR LF, as a client that offers 1.2 may use.
type Version int

// The versions, from the lowest to the highest.
const (
	V10 Version = 1 + iota
	V11
	V12
)

// Versions are all that there are, as accept-version and the version header of a refusal have them.
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

// ParseVersion reads a version as headers have it.
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

// Negotiate returns the highest version that a CONNECT's headers accept. Without accept-version that is 1.0; versions
// that are not known here are passed over. With none in common the error is a *SyntaxError.
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
		return 0, bad("accept-version %.40q has none of "+Versions, list)
	}
	return best, nil
}

// Agreed returns the version that a server's CONNECTED settles on, 1.0 if it does not say. A version that is not known
// here is a *SyntaxError. Whether it was offered is the caller's to see.
func Agreed(connected Fields) (Version, error) {
	s, ok := connected.Lookup("version")
	if !ok {
		return V10, nil
	}
	v, ok := ParseVersion(s)
	if !ok {
		return 0, bad("version %.40q is none of "+Versions, s)
	}
	return v, nil
}

// MaxHeartBeat is the longest time that a heart-beat header may give, 24.8 days: many keep it in 32 bits.
const MaxHeartBeat = math.MaxInt32 * time.Millisecond

// HeartBeat is what one side says of heart-beats when it connects.
type HeartBeat struct {
	Can  time.Duration // it sends something at least this often; 0: it promises nothing
	Want time.Duration // it wants to hear something at least this often; 0: never mind
}

// String returns the value of a heart-beat header, in whole milliseconds.
func (h HeartBeat) String() string {
	return strconv.FormatInt(h.Can.Milliseconds(), 10) + "," + strconv.FormatInt(h.Want.Milliseconds(), 10)
}

// ParseHeartBeat reads the value of a heart-beat header: two numbers of milliseconds, up to MaxHeartBeat. What is
// wrong is a *SyntaxError.
func ParseHeartBeat(value string) (HeartBeat, error) {
	can, want, ok := strings.Cut(value, ",")
	if !ok {
		return HeartBeat{}, bad("heart-beat %.40q is not two numbers", value)
	}
	var h HeartBeat
	for _, x := range []struct {
		digits string
		to     *time.Duration
	}{{can, &h.Can}, {want, &h.Want}} {
		digits := strings.Trim(x.digits, " \t")
		for i := range len(digits) {
			if digits[i] < '0' || digits[i] > '9' {
				return HeartBeat{}, bad("heart-beat %.40q is not two numbers", value)
			}
		}
		ms, err := strconv.ParseUint(digits, 10, 31)
		if err != nil && digits == "" {
			return HeartBeat{}, bad("heart-beat %.40q is not two numbers", value)
		}
		if err != nil {
			return HeartBeat{}, bad("heart-beat %.40q is longer than %d ms", value, MaxHeartBeat.Milliseconds())
		}
		*x.to = time.Duration(ms) * time.Millisecond
	}
	return h, nil
}

// HeartBeatOf reads the heart-beat header of a CONNECT or CONNECTED; there need not be one.
func HeartBeatOf(h Fields) (HeartBeat, error) {
	value, ok := h.Lookup("heart-beat")
	if !ok {
		return HeartBeat{}, nil
	}
	return ParseHeartBeat(value)
}

// Interval returns how often one side sends at the least, who can what from says, to another, who wants what to says.
// 0 is no heart-beats in this direction.
func Interval(from, to HeartBeat) time.Duration {
	if from.Can == 0 || to.Want == 0 {
		return 0
	}
	return max(from.Can, to.Want)
}
