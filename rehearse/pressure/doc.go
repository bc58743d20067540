// Package pressure holds tests of the daemon's program under bad clients: many slow ones at once, one at full speed, and ones that leave.
// A quiet client beside them, the process's peak memory and what its workers see are the judges.
package pressure
