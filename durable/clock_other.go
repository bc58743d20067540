//go:build !linux

package durable

import "laddertide/core/leases"

func now() leases.Clock { return fallback() }
