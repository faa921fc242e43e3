package process

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// logQueueLines bounds the number of queued lines.
	logQueueLines = 8192
	// logBatchBytes is the size at which a batch is written without further delay.
	logBatchBytes = 32 << 10
	// maxLogDelay bounds the time that a line waits for its batch to fill.
	maxLogDelay = 100 * time.Millisecond
)

// AsyncWriter writes lines in batches in the background. Write never blocks: if
// the queue is full, the line is dropped and counted. It is safe for concurrent use.
type AsyncWriter struct {
	out     io.Writer
	queue   chan []byte
	flush   chan chan struct{}
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer to out and starts its goroutine, which runs for
// the life of the process.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, queue: make(chan []byte, logQueueLines), flush: make(chan chan struct{})}
	go w.run()
	return w
}

// Dropped returns the number of lines dropped because the queue was full.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

// Write queues a copy of a line. It never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync waits up to a second until the lines queued so far are written. It always
// returns nil.
func (w *AsyncWriter) Sync() error {
	done := make(chan struct{})
	timeout := time.After(time.Second)
	select {
	case w.flush <- done:
	case <-timeout:
		return nil
	}
	select {
	case <-done:
	case <-timeout:
	}
	return nil
}

func (w *AsyncWriter) run() {
	batch := make([]byte, 0, 2*logBatchBytes)
	for {
		select {
		case line := <-w.queue:
			batch = w.collect(append(batch, line...), maxLogDelay)
		case done := <-w.flush:
			batch = w.collect(batch, 0)
			w.write(batch)
			batch = batch[:0]
			close(done)
			continue
		}
		w.write(batch)
		batch = batch[:0]
	}
}

// collect adds queued lines to the batch until the batch is full or wait has
// passed.
func (w *AsyncWriter) collect(batch []byte, wait time.Duration) []byte {
	timeout := time.After(wait)
	for len(batch) < logBatchBytes {
		select {
		case line := <-w.queue:
			batch = append(batch, line...)
			continue
		default:
		}
		select {
		case line := <-w.queue:
			batch = append(batch, line...)
		case <-timeout:
			return batch
		}
	}
	return batch
}

// write writes a batch. It ignores errors, because the log is the only place to
// report them.
func (w *AsyncWriter) write(batch []byte) {
	if len(batch) > 0 {
		_, _ = w.out.Write(batch)
	}
}
