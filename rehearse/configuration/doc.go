// Package configuration tests the configuration that sources keep and schedulers follow, with processes of both and relays between
// them.
package configuration
