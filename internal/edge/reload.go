package edge

import (
	"math"
	"runtime/debug"
	"time"

	"github.com/croftturn/croftturn/internal/retry"
	"github.com/croftturn/croftturn/internal/settings"
)

// Reload reads the settings again and puts in force those that can change while
// the node runs: the age of the proof, the limits of retries, and memory. What
// can't change, such as an address, is logged and waits for the next start.
func (e *Edge) Reload(load func() (*settings.Settings, error)) {
	s, err := load()
	if err != nil {
		e.log.Error("settings not reloaded; the old ones stay in force", "error", err.Error())
		return
	}
	e.proof.SetMaxAge(proofLife(s))
	e.budget.SetLimits(retryLimits(s))
	setMemoryLimit(s)
	e.log.Info("settings reloaded", "revoke_within_ms", s.RevokeWithinMs, "retry_share", s.RetryShare, "retry_extra", s.RetryExtra,
		"memory_mb", s.MemoryMb, "restart_needed", !sameSettings(s, e.settings))
}

// sameSettings reports whether two settings are alike in what needs a restart.
func sameSettings(a, b *settings.Settings) bool {
	return a.Instance == b.Instance && a.Hall == b.Hall && a.CallerAddress == b.CallerAddress && a.DirectoryAddress == b.DirectoryAddress &&
		a.ReadyAddress == b.ReadyAddress && a.PeerAddress == b.PeerAddress && a.AdminAddress == b.AdminAddress && a.StopGraceMs == b.StopGraceMs &&
		a.RetryWindowMs == b.RetryWindowMs && len(a.PlatformAddresses) == len(b.PlatformAddresses) && a.PlatformAddresses[0] == b.PlatformAddresses[0]
}

// proofLife returns how long a proof of the configuration holds.
func proofLife(s *settings.Settings) time.Duration {
	if s.ServeUnproven {
		return math.MaxInt64
	}
	return share(proofShare, s.RevokeWithinMs)
}

// cores returns the processor that the settings allow, in cores.
func cores(s *settings.Settings) float64 { return s.ProcessorShare * s.ProcessorSpeed }

// retryLimits returns the limits of retries in the settings.
func retryLimits(s *settings.Settings) retry.Limits {
	return retry.Limits{Share: s.RetryShare, Extra: s.RetryExtra, Window: ms(s.RetryWindowMs)}
}

// setMemoryLimit makes the collector work harder near the memory allowed.
func setMemoryLimit(s *settings.Settings) {
	limit := int64(math.MaxInt64)
	if s.MemoryMb > 0 {
		limit = int64(memoryShare * float64(s.MemoryMb) * (1 << 20))
	}
	debug.SetMemoryLimit(limit)
}
