package operator

import (
	"fmt"
	"os"
)

// CheckFolder reports if the folder that a key names is not there, or is none. The error names the key.
func CheckFolder(key, folder string) error {
	info, err := os.Stat(folder)
	if err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	if !info.IsDir() {
		return fmt.Errorf("%s: %s is no folder", key, folder)
	}
	return nil
}
