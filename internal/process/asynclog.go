package process

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// logQueueLines bounds the lines that wait to be written.
	logQueueLines = 8192
	// logBatchBytes is the size from which waiting lines are written at once.
	logBatchBytes = 32 << 10
	// logDelay is the longest time that a line waits for others.
	logDelay = 100 * time.Millisecond
)

// AsyncWriter writes lines in the background. Write never blocks: a line that
// finds the queue full is dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	queue   chan []byte
	flush   chan chan struct{}
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, queue: make(chan []byte, logQueueLines), flush: make(chan chan struct{})}
	go w.run()
	return w
}

// Dropped returns the number of lines that found the queue full.
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

// Sync waits until the lines queued so far are written, up to a second.
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
			batch = w.collect(append(batch, line...), logDelay)
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

// collect adds waiting lines until the batch is full or the time is over.
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

// write writes a batch. An error leaves nothing to report it to.
func (w *AsyncWriter) write(batch []byte) {
	if len(batch) > 0 {
		_, _ = w.out.Write(batch)
	}
}
