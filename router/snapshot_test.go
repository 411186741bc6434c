package router

import (
	"reflect"
	"testing"
)

var testQueues = []Queue{
	{Name: "a", Host: "h", URLPrefix: "/a/", Service: "s", Priority: 2, AttemptLimit: 3, Stretch: 1.5, ResponseAllowance: 60, Timeout: 1500},
	{Name: "ab", Host: "h", URLPrefix: "/a/b/", Service: "s", AttemptLimit: 1, Stretch: 2},
	{Name: "other", Host: "o", URLPrefix: "/a/", Service: "t", AttemptLimit: 1, Stretch: 2, UsesAdvice: true},
}

// TestMatch checks that requests are routed to the queue with the longest matching prefix on their host, if any.
func TestMatch(t *testing.T) {
	s := Snapshot{}.WithConfiguration(1, testQueues, nil, Limits{})
	cases := []struct{ host, path, queue, rest string }{
		{"h", "/a/1", "a", "1"}, {"h", "/a/b/1", "ab", "1"}, {"o", "/a/b/1", "other", "b/1"}, {"h", "/a/", "a", ""},
		{"h", "/a", "", ""}, {"x", "/a/1", "", ""}, {"", "", "", ""},
	}
	for _, c := range cases {
		q, rest, ok := s.Match(c.host, c.path)
		if q.Name != c.queue || rest != c.rest || ok != (c.queue != "") {
			t.Errorf("Match(%q, %q): got %q, %q, %v, want %q, %q", c.host, c.path, q.Name, rest, ok, c.queue, c.rest)
		}
	}
}

// TestForward checks that versions and offsets never decrease, that changes return copies, and the differences between
// versions.
func TestForward(t *testing.T) {
	s := Snapshot{}.WithConfiguration(5, testQueues, nil, Limits{BodyBytesLimit: 1}).WithOffset(9)
	s = s.WithConfiguration(4, nil, nil, Limits{}).WithOffset(3)
	if s.Version != 5 || len(s.Queues()) != 3 || s.Offset != 9 || s.Limits.BodyBytesLimit != 1 {
		t.Errorf("got version %d, %d queues, offset %d, want 5, 3 and 9", s.Version, len(s.Queues()), s.Offset)
	}
	older := s
	s = s.WithDomain("north", true)
	returned := s.WithDomain("north", false)
	if older.DomainWithdrawn("north") || !s.DomainWithdrawn("north") || returned.DomainWithdrawn("north") {
		t.Error("WithDomain modified its receiver, want a copy")
	}
	next := s.WithConfiguration(6, append([]Queue{{Name: "new", URLPrefix: "/n/"}}, testQueues[1:]...), nil, Limits{})
	if got, want := next.ChangesSince(&s), (Change{Added: []string{"new"}, Withdrawn: []string{"a"}}); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestCodec checks that snapshots survive a round trip, so that forwarding loses no part of the configuration, and that
// truncated encodings are rejected.
func TestCodec(t *testing.T) {
	want := Snapshot{}.WithConfiguration(5, testQueues, []Service{{Name: "s", EnforcesCapacity: true}, {Name: "t", Standby: true}}, Limits{HeaderBytesLimit: 2, BodyBytesLimit: 3}).
		WithDomain("north", true).WithOffset(17)
	got, err := Decode(want.Append(nil))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	for truncated := 1; truncated < 40; truncated++ {
		body := want.Append(nil)
		if _, err := Decode(body[:len(body)-truncated]); err == nil && truncated < 5 {
			t.Errorf("truncated by %d bytes: got no error", truncated)
		}
	}
}
