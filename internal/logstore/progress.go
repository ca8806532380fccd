package logstore

import "context"

type progressKey struct{}

// WithProgress returns a context whose calls of a Keyed tell when a part of an answer
// has come, some time before the whole of it on a slow link.
func WithProgress(ctx context.Context, told func()) context.Context {
	return context.WithValue(ctx, progressKey{}, told)
}

// ReportProgress tells that a part of an answer has come. Implementations of Keyed call it with
// the context of the call.
func ReportProgress(ctx context.Context) {
	if told, ok := ctx.Value(progressKey{}).(func()); ok {
		told()
	}
}
