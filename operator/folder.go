package operator

import (
	"fmt"
	"os"
)

// CheckFolder returns an error that names the key if folder does not exist or is not a directory.
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
