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

	// logTimeout is the age of the last confirmation above which the entry reports the log as unreachable. It is several
	// confirmation intervals, so that a single slow read does not count as an outage, and half of the lease.
	logTimeout = timer.Second

	// reconnectTimeout and peerTimeout bound the detection of a failed peer: a new connection is opened after a missed
	// heartbeat, and the peer counts as failed 0.3 s after its heartbeat was due.
	reconnectTimeout = 200 * timer.Millisecond
	peerTimeout      = heartbeatInterval + 300*timer.Millisecond

	// pauseThreshold is the time between two ticks above which the entry itself counts as having been paused.
	pauseThreshold = 200 * timer.Millisecond

	// lostSidecarWait is the time after the last contact during which an unreachable sidecar delays takeovers. After it no
	// entry has a session to the sidecar, so its lease has expired.
	lostSidecarWait = timer.Minute
)

type (
	// Settings are constant while the process runs. Zero fields are set to their defaults.
	Settings struct {
		Member               encoder.Member
		Address              string       // advertised address of the QUIC listener
		Domain               string       // failure domain of the entry
		KeyRetention         timer.Millis // retention of answers and keys; 0 means 10 minutes
		MaxCachedAnswers     int          // maximum number of cached answers; 0 means 200,000
		MaxCachedAnswerBytes int          // maximum size of the cached answers in bytes; 0 means 64 MB
		MaxKeys              int          // maximum number of known submission keys; 0 means 4,000,000
		MaxJobs              int          // maximum number of submissions in flight; 0 means 100,000
		MaxTasks             int          // maximum number of tasks of a job; 0 means 1,000
		MaxKeyLength         int          // maximum length of a key in bytes; 0 means 200
		SidecarTimeout       timer.Millis // time without a session after which a sidecar counts as lost; 0 means 10 s
		RunLimit             timer.Millis // maximum run time of a task; 0 means 5 minutes
		MaxAttempts          uint32       // maximum number of refused starts of a task; 0 means 1,000

		// WithdrawRecord returns the configuration record that withdraws a domain, based on the current configuration.
		// author is "" if another entry received the operator's request.
		WithdrawRecord func(domain, author string) []byte

		// OnTask is called for each ended task of a submission that this entry owns and has not answered yet. It must not
		// block. It may be nil.
		OnTask func(TaskReport)
	}
)

func (s Settings) withDefaults() Settings {
	s.KeyRetention = positiveOr(s.KeyRetention, 10*timer.Minute)
	s.MaxCachedAnswers = positiveOr(s.MaxCachedAnswers, 200_000)
	s.MaxCachedAnswerBytes = positiveOr(s.MaxCachedAnswerBytes, 64<<20)
	s.MaxKeys = positiveOr(s.MaxKeys, 4_000_000)
	s.MaxJobs = positiveOr(s.MaxJobs, 100_000)
	s.MaxTasks = positiveOr(s.MaxTasks, 1000)
	s.MaxKeyLength = positiveOr(s.MaxKeyLength, 200)
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
