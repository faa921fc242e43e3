package infra

import "context"

// progressKey is the context key of a progress report.
type progressKey struct{}

// WithProgress returns a context with which a call reports that parts of a long response
// arrive. report must be safe for concurrent use and must not block.
func WithProgress(ctx context.Context, report func()) context.Context {
	return context.WithValue(ctx, progressKey{}, report)
}

// ReportProgress reports that a part of a response has arrived. It does nothing for a context
// without a report.
func ReportProgress(ctx context.Context) {
	if report, ok := ctx.Value(progressKey{}).(func()); ok {
		report()
	}
}
