package configuration

import (
	"testing"

	"laddertide/internal/pin"
)

func TestMain(m *testing.M) { pin.Run(m) }
