//go:build !linux

package consumer

import (
	"net"
	"time"
)

// sinceArrival is not known here.
func sinceArrival(net.Conn) time.Duration { return 0 }
