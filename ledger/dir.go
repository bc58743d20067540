//go:build !powerloss

package ledger

// Dir returns the folder at path, which must exist when it is locked.
func Dir(path string) FS { return osFolder(path) }
