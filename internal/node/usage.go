package node

import "syscall"

// cpuMicros returns the processor time that this process has used, user and
// system together, in microseconds.
func cpuMicros() int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	const second = 1_000_000
	return (u.Utime.Sec+u.Stime.Sec)*second + u.Utime.Usec + u.Stime.Usec
}
