package logstore

import "context"

// progressKey is the context key of the function that WithProgress takes.
type progressKey struct{}

// WithProgress returns a context that makes the calls of a KeyedLog call onReceive for each
// part of an answer that arrives: on a slow link long before the whole answer is there.
func WithProgress(ctx context.Context, onReceive func()) context.Context {
	return context.WithValue(ctx, progressKey{}, onReceive)
}

// ReportProgress calls the function that WithProgress put into ctx, if any. Implementations of
// KeyedLog call it with the context of the call whenever a part of the answer arrives.
func ReportProgress(ctx context.Context) {
	if onReceive, ok := ctx.Value(progressKey{}).(func()); ok {
		onReceive()
	}
}
