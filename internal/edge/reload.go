package edge

import (
	"math"
	"reflect"
	"runtime/debug"
	"time"

	"github.com/croftturn/croftturn/internal/clock"
	"github.com/croftturn/croftturn/internal/relaybuf"
	"github.com/croftturn/croftturn/internal/retry"
	"github.com/croftturn/croftturn/internal/settings"
)

// Reload reads the settings again and applies those that can change while the node runs: the proof
// age, the retry limits and the memory limit. A change of any other setting, such as an address,
// is logged and takes effect at the next start.
func (e *Edge) Reload(load func() (*settings.Settings, error)) {
	s, err := load()
	if err != nil {
		e.settingsRefused.Store(1)
		e.log.Error("settings not reloaded; the previous ones stay in force", "error", err.Error())
		return
	}
	e.settingsRefused.Store(0)
	e.proof.SetMaxAge(proofMaxAge(s))
	e.budget.SetLimits(retryLimits(s))
	e.setMemory(s)
	if e.relayBudget != nil {
		e.relayBudget.SetLimit(clock.Now(), relaybuf.Limit(s.MemoryMb))
	}
	e.log.Info("settings reloaded", "revoke_within_ms", s.RevokeWithinMs, "retry_share", s.RetryShare, "retry_extra", s.RetryExtra,
		"memory_mb", s.MemoryMb, "restart_needed", needsRestart(e.settings, s))
}

// needsRestart reports whether two settings differ in what is read at the start only.
func needsRestart(running, next *settings.Settings) bool {
	same := *next
	same.RevokeWithinMs, same.ServeUnproven = running.RevokeWithinMs, running.ServeUnproven
	same.RetryShare, same.RetryExtra, same.MemoryMb = running.RetryShare, running.RetryExtra, running.MemoryMb
	same.FirstStart = running.FirstStart // This describes the last start.
	return !reflect.DeepEqual(&same, running)
}

// proofMaxAge returns how long a proof of the configuration is valid.
func proofMaxAge(s *settings.Settings) time.Duration {
	if s.ServeUnproven {
		return math.MaxInt64
	}
	return scaleMs(proofShare, s.RevokeWithinMs)
}

// cores returns the processor capacity that the settings allow, in cores.
func cores(s *settings.Settings) float64 { return s.ProcessorShare * s.ProcessorSpeed }

// retryLimits returns the retry limits of the settings.
func retryLimits(s *settings.Settings) retry.Limits {
	return retry.Limits{Share: s.RetryShare, Extra: s.RetryExtra, Window: ms(s.RetryWindowMs)}
}

// setMemory sets the soft memory limit of the garbage collector, and what the bodies of requests may take.
func (e *Edge) setMemory(s *settings.Settings) {
	e.bodies.SetMemory(s.MemoryMb)
	limit := int64(math.MaxInt64)
	if s.MemoryMb > 0 {
		limit = int64(memoryLimitShare * s.MemoryMb * (1 << 20))
	}
	debug.SetMemoryLimit(limit)
}
