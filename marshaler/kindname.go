package marshaler

import "strconv"

// kindNames are the names of the message types in metrics. They do not depend on the names of the Go types.
var kindNames = [...]string{
	kindHello:                 "hello",
	kindHeartbeat:             "beat",
	kindPeers:                 "peers",
	kindConfiguration:         "configuration",
	kindBackend:               "backend",
	kindLoad:                  "load",
	kindStart:                 "start",
	kindStop:                  "stop",
	kindOutcome:               "outcome",
	kindActiveRuns:            "held",
	kindLoadSubscription:      "subscribe",
	kindResourceRequest:       "ask",
	kindCancelResourceRequest: "withdraw",
	kindGrant:                 "grant",
	kindReject:                "reject",
	kindJobRecord:             "jobRecord",
	kindEndRecord:             "endRecord",
	kindCancelRecord:          "cancelRecord",
	kindOwnedPartitions:       "owned",
	kindClaim:                 "claim",
	kindRelease:               "release",
	kindCensus:                "census",
	kindOutcomeAck:            "noted",
	kindCall:                  "call",
	kindReply:                 "reply",
	kindQueueBacklog:          "waiting",
	kindOwnerRecord:           "ownerRecord",
	kindHandover:              "handover",
	kindJobHandover:           "jobHandover",
	kindJobAnswer:             "jobAnswer",
	kindCancelJobHandover:     "cancelJobHandover",
	kindQuestion:              "question",
	kindExplanation:           "explanation",
	kindCrashRecord:           "crashRecord",
}

// KindName returns the name in metrics of a message type, for example "load", or "type" and the number of an unknown
// type.
func KindName(kind byte) string {
	if int(kind) < len(kindNames) && kindNames[kind] != "" {
		return kindNames[kind]
	}
	return "type" + strconv.Itoa(int(kind))
}
