//go:build !powerloss

package uptime

// Now returns the current Moment.
func Now() Moment { return systemMoment() }
