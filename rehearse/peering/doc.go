// Package peering tests schedulers that know each other: it starts several processes of the daemon, puts relays between
// them, and does to processes and links what fails in service. It owns tests alone.
package peering
