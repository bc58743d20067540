package job

import "context"

// leaveCheckKey is the key of a context's leave check.
type leaveCheckKey struct{}

// WithLeaveCheck returns a copy of ctx with a function that checks whether the client of a job has left. A context ends only after a
// goroutine has run that the system has notified, and after a pause of the process other goroutines may run before that one. hasLeft must
// not block, and ends ctx if it reports true.
func WithLeaveCheck(ctx context.Context, hasLeft func() bool) context.Context {
	return context.WithValue(ctx, leaveCheckKey{}, hasLeft)
}

// HasLeft reports whether ctx has ended or its leave check, if it has one, says that the client has left. It does not block.
func HasLeft(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	hasLeft, ok := ctx.Value(leaveCheckKey{}).(func() bool)
	return ok && hasLeft()
}
