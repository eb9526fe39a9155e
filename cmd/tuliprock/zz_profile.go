package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/pprof"
	"syscall"
	"tuliprock/internal/memusage"
)

func init() {
	if os.Getenv("ZZPROF") == "" {
		return
	}
	runtime.MemProfileRate = 1024
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGUSR1)
	go func() {
		for range c {
			u := memusage.Read()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			f, _ := os.Create(os.Getenv("ZZPROF"))
			pprof.Lookup("heap").WriteTo(f, 0)
			f.Close()
			fmt.Fprintf(os.Stderr, "ZZ %+v heapinuse %d heapsys %d stackinuse %d nextgc %d numgc %d gccpu %.3f mspan %d gcsys %d other %d bucks %d\n", u, m.HeapInuse, m.HeapSys, m.StackInuse, m.NextGC, m.NumGC, m.GCCPUFraction, m.MSpanInuse, m.GCSys, m.OtherSys, m.BuckHashSys)
		}
	}()
}
