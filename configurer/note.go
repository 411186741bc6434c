// Package configurer maintains the configuration: the changes made by operators (notes), an immutable snapshot of the
// current state, and the pure fold of the configuration stream, including its checkpoints, into snapshots.
package configurer

import (
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/gravitational/trace"
)

// The limits are part of the record format: all readers of the log must apply the same ones.
const (
	// MaxKeyLen is the maximum length of a key in bytes.
	MaxKeyLen = 128
	// MaxValueLen is the maximum length of a value in bytes.
	MaxValueLen = 1024
	// MaxEntries is the maximum number of keys that one note may add, change and withdraw.
	MaxEntries = 256
	// MaxSnapshotSize is the maximum size of the configuration in bytes. It ensures that a checkpoint fits into one log record.
	MaxSnapshotSize = 768 << 10

	maxIDLen      = 64
	maxAuthorLen  = 128
	maxCommentLen = 1024
	// maxFindings limits the findings reported for a note; the last line states how many were omitted.
	maxFindings = 100

	domainGroup  = "domain"
	teamGroup    = "team"
	kindGroup    = "kind"
	settingGroup = "setting"

	domainInService = "in"
	domainWithdrawn = "out"
)

type (
	// Note is a configuration change published by an operator. Base is the Offset of the snapshot that the change was
	// based on.
	Note struct {
		ID, Author, Comment string
		Base                uint64
		Added, Changed      []Entry
		Withdrawn           []string
	}

	// Entry is a key with its value. Keys have the form group/NAME; the groups are domain, team, kind and setting.
	Entry struct{ Key, Value string }

	// Finding is one reason why a note or a record is rejected. Location is, for example, added[0].key.
	Finding struct{ Location, Message string }

	// Team is the value of a key in the team group.
	Team struct {
		// Weight determines the team's share of the capacity when capacity is scarce.
		Weight uint32
		// Quota is the maximum number of tasks that the team may run concurrently; 0 means unlimited.
		Quota uint32
	}

	// findingList collects up to maxFindings findings and counts the others.
	findingList struct {
		findings []Finding
		omitted  int
	}
)

func (f Finding) String() string {
	if f.Location == "" {
		return f.Message
	}
	return f.Location + ": " + f.Message
}

// JoinFindings combines the findings into one error. It returns nil if there are none.
func JoinFindings(findings []Finding) error {
	if len(findings) == 0 {
		return nil
	}
	lines := make([]string, 0, len(findings))
	for _, f := range findings {
		lines = append(lines, f.String())
	}
	return trace.BadParameter("%s", strings.Join(lines, "; "))
}

// ParseTeam parses a team's value, for example "weight=3" or "weight=3 quota=400".
func ParseTeam(value string) (Team, error) {
	var t Team
	seen := map[string]bool{}
	for field := range strings.FieldsSeq(value) {
		name, number, _ := strings.Cut(field, "=")
		n, err := strconv.ParseUint(number, 10, 32)
		if err != nil || seen[name] {
			return Team{}, trace.BadParameter("team value %q is not of the form weight=N quota=N", value)
		}
		seen[name] = true
		switch name {
		case "weight":
			t.Weight = uint32(n)
		case "quota":
			t.Quota = uint32(n)
		default:
			return Team{}, trace.BadParameter("team value %q has an unknown field %q", value, name)
		}
	}
	if t.Weight == 0 {
		return Team{}, trace.BadParameter("team value %q needs a weight of at least 1", value)
	}
	return t, nil
}

// String returns the team in the format that ParseTeam accepts.
func (t Team) String() string {
	if t.Quota == 0 {
		return fmt.Sprintf("weight=%d", t.Weight)
	}
	return fmt.Sprintf("weight=%d quota=%d", t.Weight, t.Quota)
}

func (r *findingList) add(location, format string, args ...any) {
	if len(r.findings) >= maxFindings {
		r.omitted++
		return
	}
	r.findings = append(r.findings, Finding{Location: location, Message: fmt.Sprintf(format, args...)})
}

func (r *findingList) all() []Finding {
	if r.omitted == 0 {
		return r.findings
	}
	return append(r.findings[:len(r.findings):len(r.findings)], Finding{Message: fmt.Sprintf("%d more findings", r.omitted)})
}

// checkFormat validates the parts of the note that do not depend on the current state. It returns false if the note has
// too many entries for them to be checked individually.
func (n Note) checkFormat(r *findingList) bool {
	for _, f := range []struct {
		location, text string
		limit          int
	}{{"id", n.ID, maxIDLen}, {"author", n.Author, maxAuthorLen}, {"comment", n.Comment, maxCommentLen}} {
		checkText(r, f.location, f.text, f.limit)
	}
	total := len(n.Added) + len(n.Changed) + len(n.Withdrawn)
	switch {
	case total == 0:
		r.add("", "note changes nothing")
	case total > MaxEntries:
		r.add("", "note touches %d keys, more than %d", total, MaxEntries)
		return false
	}
	seen := make(map[string]string, total)
	key := func(location, k string) {
		if problem := checkKey(k); problem != "" {
			r.add(location, "%s", problem)
			return
		}
		if first, ok := seen[k]; ok {
			r.add(location, "key %q is also at %s", k, first)
			return
		}
		seen[k] = location
	}
	for _, list := range []struct {
		name    string
		entries []Entry
	}{{"added", n.Added}, {"changed", n.Changed}} {
		for i, e := range list.entries {
			location := list.name + "[" + strconv.Itoa(i) + "]"
			key(location+".key", e.Key)
			checkValue(r, location+".value", e)
		}
	}
	for i, k := range n.Withdrawn {
		key("withdrawn["+strconv.Itoa(i)+"]", k)
	}
	return true
}

func checkText(r *findingList, location, text string, limit int) {
	switch {
	case len(text) > limit:
		r.add(location, "text of %d bytes is longer than %d", len(text), limit)
	case !utf8.ValidString(text):
		r.add(location, "text is not valid UTF-8")
	}
}

// checkKey returns a description of the problem with a key, or an empty string if the key is valid.
func checkKey(k string) string {
	if len(k) > MaxKeyLen {
		return fmt.Sprintf("key of %d bytes is longer than %d", len(k), MaxKeyLen)
	}
	group, name, _ := strings.Cut(k, "/")
	switch group {
	case domainGroup, teamGroup, kindGroup, settingGroup:
	default:
		return fmt.Sprintf("key %q is not in group domain, team, kind or setting", k)
	}
	if name == "" {
		return fmt.Sprintf("key %q has no name", k)
	}
	for i := 0; i < len(name); i++ {
		c := name[i]
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_' && c != '.' {
			return fmt.Sprintf("name in key %q has a character other than letters, digits, '-', '_' and '.'", k)
		}
	}
	return ""
}

func checkValue(r *findingList, location string, e Entry) {
	before := len(r.findings)
	checkText(r, location, e.Value, MaxValueLen)
	if len(r.findings) > before {
		return
	}
	switch group, _, _ := strings.Cut(e.Key, "/"); group {
	case domainGroup:
		if e.Value != domainInService && e.Value != domainWithdrawn {
			r.add(location, "domain value %q is not %q or %q", e.Value, domainInService, domainWithdrawn)
		}
	case teamGroup:
		if _, err := ParseTeam(e.Value); err != nil {
			r.add(location, "%s", trace.UserMessage(err))
		}
	}
}
