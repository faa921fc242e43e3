package queue

import "github.com/citrontiller/citrontiller/kernel"

// ID is the plug-in's id in the kernel.
const ID = "scorer.queue"

func init() { kernel.Register(kernel.Plugin{ID: ID, New: func() any { return new(Scorer) }}) }
