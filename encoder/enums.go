package encoder

import "strconv"

var (
	statusNames        = []string{"", "done", "failed", "unknown", "notStarted", "running", "kept"}
	refusalReasonNames = []string{
		"", "staleEpoch", "notOwner", "duplicate", "domainWithdrawn", "leaseExpired", "leaving", "deadline", "canceled",
		"noSlot", "notAnnounced", "claimTimeout",
	}
	roleNames        = []string{"", "entry", "sidecar"}
	jobStateNames    = []string{"", "running", "complete", "failed"}
	outcomeNames     = []string{"", "notRun", "ran", "unknown"}
	requestNames     = []string{"", "submit", "get", "cancel"}
	failureCodeNames = []string{
		"", "task", "unknown", "deadline", "canceled", "overload", "quota", "unplaceable", "conflict", "unavailable",
		"notFound", "invalid",
	}
)

// String returns the status in the form used by the HTTP interface, for example "notStarted".
func (s Status) String() string { return enumName(statusNames, uint8(s)) }

// String returns the reason in camelCase, for example "staleEpoch".
func (r RefusalReason) String() string { return enumName(refusalReasonNames, uint8(r)) }

// String returns "entry" or "sidecar".
func (r Role) String() string { return enumName(roleNames, uint8(r)) }

// String returns the state in the form used by the HTTP interface, for example "complete".
func (s JobState) String() string { return enumName(jobStateNames, uint8(s)) }

// String returns the outcome in the form used by the HTTP interface, for example "notRun".
func (o Outcome) String() string { return enumName(outcomeNames, uint8(o)) }

// String returns "submit", "get" or "cancel".
func (r Request) String() string { return enumName(requestNames, uint8(r)) }

// String returns the code in camelCase, for example "notFound".
func (c FailureCode) String() string { return enumName(failureCodeNames, uint8(c)) }

// enumName returns the name of v, the empty string for 0, and the decimal number for a value without a name.
func enumName(names []string, v uint8) string {
	if int(v) < len(names) {
		return names[v]
	}
	return strconv.Itoa(int(v))
}

// enumValue decodes an enum value. It accepts 0 and values with a name.
func enumValue[T ~uint8](r *reader, field string, names []string) T {
	return T(r.uint(field, uint64(len(names)-1)))
}
