package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"time"
)

// eventInterval is the time between batches of cache events.
const eventInterval = 50 * time.Millisecond

// serveEngines runs the stand-in engines and prints their addresses, one a line.
func serveEngines() {
	for i := range engines {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fmt.Fprintln(os.Stderr, "agentload:", err)
			os.Exit(1)
		}
		fmt.Println(l.Addr())
		mux := http.NewServeMux()
		mux.HandleFunc("/metrics", serveMetrics)
		mux.HandleFunc("/v1/chat/completions", serveCompletion)
		mux.HandleFunc("/v1/cache/events", serveEvents(uint64(i)<<48))
		go func() { _ = http.Serve(l, mux) }()
	}
	select {}
}

func serveMetrics(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprint(w, "engine_requests_running 1\nengine_requests_waiting 0\nengine_cache_usage_ratio 0.9\n"+
		"engine_info{model=\"m\",version=\"v1\",boot_id=\"b\"} 1\n")
}

// serveCompletion streams a response with one token per tokenGap.
func serveCompletion(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	t := time.NewTicker(tokenGap)
	defer t.Stop()
	for i := range tokensPerRequest {
		fmt.Fprintf(w, "data: {\"id\":\"c\",\"object\":\"chat.completion.chunk\",\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word %d\"}}]}\n\n", i)
		w.(http.Flusher).Flush()
		select {
		case <-t.C:
		case <-r.Context().Done():
			return
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// serveEvents sends events that store blocksPerEngine blocks, and then stores and
// removes one block after the other at the event rate. A client that reads from
// the start, as after a change of the boot id, receives all events again. Block
// numbers are multiplied by 2^64 divided by the golden ratio, which spreads
// consecutive numbers over the range of hashes.
func serveEvents(base uint64) http.HandlerFunc {
	next, oldest, seq := base, base, uint64(0)
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("after") == "0" {
			next, oldest, seq = base, base, 0
		}
		send := func(kind string, hash uint64) {
			seq++
			fmt.Fprintf(w, "data: {\"seq\":%d,\"boot_id\":\"b\",\"type\":%q,\"request_id\":\"\",\"blocks\":[{\"hash\":%d,\"tokens\":64}]}\n\n", seq, kind, hash)
		}
		for next < base+blocksPerEngine {
			next++
			send("stored", next*0x9e3779b97f4a7c15)
		}
		t := time.NewTicker(eventInterval)
		defer t.Stop()
		for {
			for range int(eventsPerSecond*eventInterval/time.Second) / engines / 2 {
				next, oldest = next+1, oldest+1
				send("stored", next*0x9e3779b97f4a7c15)
				send("removed", oldest*0x9e3779b97f4a7c15)
			}
			w.(http.Flusher).Flush()
			select {
			case <-t.C:
			case <-r.Context().Done():
				return
			}
		}
	}
}
