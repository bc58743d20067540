//go:build powerloss

package ledger

// WrapFolder, if set, wraps the folder of a store. It is used by rehearsals of a power loss and is not part of the normal
// build; see package faultfs.
var WrapFolder func(path string, fs FS) FS

// Dir returns the folder at path, wrapped by Under if that is set.
func Dir(path string) FS {
	if WrapFolder == nil {
		return osFolder(path)
	}
	return WrapFolder(path, osFolder(path))
}
