package dispatcher

import (
	"github.com/crocuslb/crocuslb/encoder"
	"github.com/crocuslb/crocuslb/timer"
)

const (
	claimFlushInterval      = 25 * timer.Millisecond
	heartbeatInterval       = 100 * timer.Millisecond
	reportValidity          = 500 * timer.Millisecond
	leaseDuration           = 2 * timer.Second
	leaseMargin             = 500 * timer.Millisecond
	cleanupInterval         = timer.Second
	membershipRetryInterval = 500 * timer.Millisecond
	collectDelay            = timer.Second
	forwardRetryInterval    = 100 * timer.Millisecond
	maxHops                 = 4

	maxProvisional  = 64
	maxEffectBuffer = 4096

	// logSilence is the age of the last confirmation from which on the entry reports the log as unreachable. It is
	// several confirmation periods, so that one slow read is no outage, and half of the lease.
	logTimeout = timer.Second

	// redialAfter and silentAfter bound the detection of a dead peer: a new connection is tried after a missed
	// heartbeat, and the peer is held for dead 0.3 s beyond its heartbeat.
	reconnectTimeout = 200 * timer.Millisecond
	peerTimeout      = heartbeatInterval + 300*timer.Millisecond

	// ownPause is the time between two ticks from which on the entry itself was paused.
	pauseThreshold = 200 * timer.Millisecond

	// lostWait is how long after its last sign of life a sidecar delays takeovers. Beyond it no entry has a session
	// to the sidecar, so its lease has expired.
	lostSidecarWait = timer.Minute
)

type (
	// Settings are fixed while the process runs. Zero fields take the default values.
	Settings struct {
		Member         encoder.Member
		Address        string       // advertised address of the QUIC listener
		Domain         string       // failure domain of the entry
		KeyRetention   timer.Millis // how long answers are kept; 0 means 10 minutes
		KeptAnswers    int          // bound on kept answers; 0 means 200,000
		KeptBytes      int          // bound on bytes of kept answers; 0 means 64 MB
		MaxKeys        int          // bound on known submission keys; 0 means 4,000,000
		MaxJobs        int          // bound on submissions in flight; 0 means 100,000
		MaxTasks       int          // bound on tasks of a job; 0 means 1,000
		MaxKey         int          // bound on the length of a key; 0 means 200
		SidecarTimeout timer.Millis // silence after which a sidecar is gone; 0 means 10 s
		RunLimit       timer.Millis // longest run time of a task; 0 means 5 minutes
		MaxAttempts    uint32       // starts of one task that may be refused; 0 means 1,000

		// WithdrawRecord returns the configuration record that withdraws a domain, for the present configuration. The
		// author is "" when another entry took the operator's request.
		WithdrawRecord func(domain, author string) []byte

		// OnTask is called for each ended task of an own submission that is not answered yet. It must not block. May be nil.
		OnTask func(TaskReport)
	}
)

func (s Settings) withDefaults() Settings {
	s.KeyRetention = positiveOr(s.KeyRetention, 10*timer.Minute)
	s.KeptAnswers = positiveOr(s.KeptAnswers, 200_000)
	s.KeptBytes = positiveOr(s.KeptBytes, 64<<20)
	s.MaxKeys = positiveOr(s.MaxKeys, 4_000_000)
	s.MaxJobs = positiveOr(s.MaxJobs, 100_000)
	s.MaxTasks = positiveOr(s.MaxTasks, 1000)
	s.MaxKey = positiveOr(s.MaxKey, 200)
	s.SidecarTimeout = positiveOr(s.SidecarTimeout, 10*timer.Second)
	s.RunLimit = positiveOr(s.RunLimit, 5*timer.Minute)
	s.MaxAttempts = positiveOr(s.MaxAttempts, 1000)
	return s
}

func positiveOr[T int | uint32 | timer.Millis](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}
