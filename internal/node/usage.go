package node

import (
	"runtime/metrics"
	"syscall"
)

// cpuMicros returns the process's user and system CPU time in microseconds, or 0 on
// error.
func cpuMicros() int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	const second = 1_000_000
	return (u.Utime.Sec+u.Stime.Sec)*second + u.Utime.Usec + u.Stime.Usec
}

// runtimeMetric returns a metric of the Go runtime, in bytes, or 0 if it does not exist.
func runtimeMetric(name string) int64 {
	sample := []metrics.Sample{{Name: name}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return int64(sample[0].Value.Uint64())
}
