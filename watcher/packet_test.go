package watcher

import (
	"context"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var packets = []Packet{
	{Kind: KindPing, Sequence: 1 << 50, From: Member{"a", "x:1", 1, 2}, Target: Member{"b", "y:2", 3, 4}},
	{Kind: KindSync, From: Member{ID: "a"}, Cursor: "c"},
	{Kind: KindPage, From: Member{ID: "a"}, Updates: []Update{{Member{"b", "y", 1, 0}, StateSuspect}, {Member{ID: "c"}, StateDead}}},
}

// TestAuthentication guards against fields that are lost in encoding, and against accepting datagrams that were signed with
// another key, truncated or modified.
func TestAuthentication(t *testing.T) {
	auth, _ := newAuthenticator(strings.Repeat("a", MinSecretLen))
	other, _ := newAuthenticator(strings.Repeat("b", MinSecretLen))
	for _, want := range packets {
		datagram := auth.signPacket(&want)
		if got, err := auth.verifyDatagram(datagram); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, %v, want %+v", got, err, want)
		}
		if _, err := other.verifyDatagram(datagram); err == nil {
			t.Error("a datagram signed with another key was accepted")
		}
		for i := range datagram {
			if _, err := auth.verifyDatagram(datagram[:i]); err == nil {
				t.Errorf("%d of %d bytes were accepted", i, len(datagram))
			}
			datagram[i] ^= 1
			if _, err := auth.verifyDatagram(datagram); err == nil {
				t.Errorf("a change of byte %d was accepted", i)
			}
			datagram[i] ^= 1
		}
	}
	if _, err := auth.verifyDatagram(make([]byte, MaxDatagramLen+1)); err == nil {
		t.Error("a datagram above the limit was accepted")
	}
}

// TestUpdateOrder guards against records that depend on the order in which updates arrive.
func TestUpdateOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		updates := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Update {
			version := rapid.Uint64Range(0, 8).Draw(t, "version")
			return Update{Member{"m", "x", version / 3, version % 3}, State(rapid.IntRange(1, 3).Draw(t, "state"))}
		}), 1, 8).Draw(t, "updates")
		var want []Update
		for range 4 {
			c := &Core{Self: Member{ID: "self"}}
			c.beginCall()
			c.applyUpdate(1, Update{Member{ID: "m"}, StateAlive})
			for _, u := range rapid.Permutation(updates).Draw(t, "order") {
				c.applyUpdate(1, u)
			}
			if want == nil {
				want = c.Members()
			}
			if got := c.Members(); !reflect.DeepEqual(got, want) {
				t.Fatalf("got %+v, want %+v", got, want)
			}
		}
	})
}

// FuzzPacket guards against panics on malformed packets, and against packets that change when they are encoded again.
func FuzzPacket(f *testing.F) {
	for i := range packets {
		f.Add(appendPacket(nil, &packets[i]))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := decodePacket(data)
		if err != nil {
			return
		}
		again, err := decodePacket(appendPacket(nil, &p))
		if err != nil || !reflect.DeepEqual(again, p) {
			t.Errorf("got %+v, %v, want %+v", again, err, p)
		}
		c := &Core{Self: Member{ID: "self"}}
		c.Receive(1, "x", &p)
		c.Tick(1)
	})
}

// TestProcess guards against processes that do not find each other, or do not detect that another one left or crashed.
func TestProcess(t *testing.T) {
	changes := make(chan string, 1000)
	observerCtx, stopObserver := context.WithCancel(t.Context())
	othersCtx, stopOthers := context.WithCancel(t.Context())
	observer := &Process{Secret: strings.Repeat("s", MinSecretLen), OnChange: func(m Member, s State) { changes <- m.ID + " " + s.String() }}
	observer.Core.Self = Member{ID: "a", Incarnation: 1}
	address, err := observer.Start(observerCtx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	leaving, crashed := &Process{}, &Process{}
	for i, p := range []*Process{leaving, crashed} {
		p.Secret, p.Seeds, p.Core.Self = observer.Secret, []string{address}, Member{ID: fmt.Sprint("b", i), Incarnation: 1}
		p.Core.ProbeInterval, p.Core.SuspicionTimeout = 100, 300
		if _, err := p.Start(othersCtx, "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
	}
	observed := map[string]bool{}
	await := func(want string) {
		t.Helper()
		for timeout := time.After(time.Minute); !observed[want]; {
			select {
			case got := <-changes:
				observed[got] = true
			case <-timeout:
				t.Fatalf("got no change %q", want)
			}
		}
	}
	await("b0 alive")
	await("b1 alive")
	_ = crashed.socket.Close() // without announcing that it leaves
	await("b1 dead")
	stopOthers()
	await("b0 dead")
	stopObserver()
	observer.Wait()
	for _, p := range []*Process{{}, {Secret: "short"}} {
		p.Core.Self.ID = "c"
		if _, err := p.Start(t.Context(), "0.0.0.0:0"); err == nil || !strings.Contains(err.Error(), "secret") {
			t.Errorf("got %v, want an error that asks for a secret", err)
		}
	}
}
