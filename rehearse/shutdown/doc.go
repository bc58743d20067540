// Package shutdown holds tests of how a scheduler's process ends. They run the daemon as a program between workers that hang,
// clients that use their connections until the end, and signals that come when they may, and look at one thing: whether
// everything that the process had taken was answered before it ended.
package shutdown
