package placer

import "github.com/gravitational/trace"

// Admission is the policy that decides which requests are refused when capacity does not suffice. The zero value is
// AdmissionDeadline.
type Admission uint8

const (
	// AdmissionDeadline refuses the requests whose deadline cannot be met, whatever their cost.
	AdmissionDeadline Admission = iota
	// AdmissionCost refuses the requests whose refusal costs callers least.
	AdmissionCost
)

var admissionNames = [...]string{AdmissionDeadline: "deadline", AdmissionCost: "cost"}

// ParseAdmission returns the policy with a name.
func ParseAdmission(name string) (Admission, error) {
	for a, n := range admissionNames {
		if n == name {
			return Admission(a), nil
		}
	}
	return 0, trace.BadParameter("unknown admission policy %q: want deadline or cost", name)
}

// String returns the name of the policy.
func (a Admission) String() string { return admissionNames[a] }
