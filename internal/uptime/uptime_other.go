//go:build !linux

package uptime

// systemMoment returns the current Moment; only its Unix time can be compared across processes.
func systemMoment() Moment { return withoutBootClock() }
