package watcher

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/encoding/protowire"
)

const (
	// KindPing requests an ack. Target is the probed member.
	KindPing Kind = iota + 1
	// KindAck answers a ping, or a ping request after Target answered.
	KindAck
	// KindPingRequest asks the receiver to ping Target (an indirect probe).
	KindPingRequest
	// KindSync requests a page of the members whose identifiers follow Cursor.
	KindSync
	// KindPage answers a sync, or announces that its sender leaves. Cursor is the last identifier of the page, or empty on
	// the last page.
	KindPage

	// MaxDatagramLen is the maximum size of a datagram in bytes. It avoids IP fragmentation on common networks.
	MaxDatagramLen = 1400

	maxUpdates      = 64
	macSize         = 16
	protocolVersion = 1
)

type (
	// Kind is the type of a packet.
	Kind uint8

	// Packet is the decoded content of a datagram.
	Packet struct {
		Kind     Kind
		Sequence uint64
		From     Member
		Target   Member
		Cursor   string
		Updates  []Update
	}

	// authenticator signs and verifies datagrams by HMAC-SHA256 with a key that is derived from the shared secret.
	authenticator struct{ key []byte }
)

func newAuthenticator(secret string) (authenticator, error) {
	key, err := hkdf.Key(sha256.New, []byte(secret), nil, "crocuslb/1 watcher", sha256.Size)
	return authenticator{key}, err
}

// appendMAC appends the untruncated MAC of data to dst.
func (a authenticator) appendMAC(dst, data []byte) []byte {
	h := hmac.New(sha256.New, a.key)
	h.Write(data)
	return h.Sum(dst)
}

// signPacket encodes p and appends its MAC.
func (a authenticator) signPacket(p *Packet) []byte {
	b := appendPacket(make([]byte, 0, 256), p)
	return a.appendMAC(b, b)[:len(b)+macSize]
}

// verifyDatagram checks the size and the MAC of a datagram and decodes it.
func (a authenticator) verifyDatagram(datagram []byte) (Packet, error) {
	size := len(datagram) - macSize
	if size < 0 || len(datagram) > MaxDatagramLen {
		return Packet{}, trace.BadParameter("invalid datagram size of %d bytes", len(datagram))
	}
	if !hmac.Equal(a.appendMAC(nil, datagram[:size])[:macSize], datagram[size:]) {
		return Packet{}, trace.AccessDenied("datagram has an invalid MAC")
	}
	return decodePacket(datagram[:size])
}

func appendPacket(b []byte, p *Packet) []byte {
	b = append(b, protocolVersion, byte(p.Kind))
	b = protowire.AppendVarint(b, p.Sequence)
	b = appendMember(b, &p.From)
	b = appendMember(b, &p.Target)
	b = protowire.AppendString(b, p.Cursor)
	b = append(b, byte(len(p.Updates)))
	for i := range p.Updates {
		b = appendMember(append(b, byte(p.Updates[i].State)), &p.Updates[i].Member)
	}
	return b
}

func appendMember(b []byte, m *Member) []byte {
	b = protowire.AppendString(b, m.ID)
	if m.ID == "" {
		return b
	}
	b = protowire.AppendString(b, m.Address)
	b = protowire.AppendVarint(b, m.Incarnation)
	return protowire.AppendVarint(b, m.Refutations)
}

// maxEncodedSize returns an upper bound of the encoded size of the update.
func (u *Update) maxEncodedSize() int {
	return len(u.Member.ID) + len(u.Member.Address) + 1 + 2*2 + 2*10
}

// decoder reads values from a datagram. Once a value is malformed, failed stays set.
type decoder struct {
	remaining []byte
	failed    bool
}

func decodePacket(b []byte) (Packet, error) {
	if len(b) < 2 || b[0] != protocolVersion || Kind(b[1]) < KindPing || Kind(b[1]) > KindPage {
		return Packet{}, trace.BadParameter("packet has an unknown version or kind")
	}
	d := decoder{remaining: b[2:]}
	p := Packet{Kind: Kind(b[1]), Sequence: d.varint(), From: d.member(), Target: d.member(), Cursor: d.name()}
	count := int(d.byte())
	if count > maxUpdates {
		return Packet{}, trace.BadParameter("packet has %d updates, at most %d are allowed", count, maxUpdates)
	}
	if count > 0 && !d.failed {
		p.Updates = make([]Update, count)
	}
	for i := range p.Updates {
		s := State(d.byte())
		p.Updates[i] = Update{State: s, Member: d.member()}
		if s < StateAlive || s > StateDead || p.Updates[i].Member.ID == "" {
			d.failed = true
		}
	}
	if d.failed || len(d.remaining) > 0 || p.From.ID == "" {
		return Packet{}, trace.BadParameter("malformed packet of kind %d", b[1])
	}
	return p, nil
}

func (d *decoder) advance(n int) bool {
	if n < 0 || d.failed {
		d.failed, d.remaining = true, nil
		return false
	}
	d.remaining = d.remaining[n:]
	return true
}

func (d *decoder) byte() byte {
	if len(d.remaining) == 0 {
		d.failed = true
		return 0
	}
	b := d.remaining[0]
	d.advance(1)
	return b
}

func (d *decoder) varint() uint64 {
	v, n := protowire.ConsumeVarint(d.remaining)
	d.advance(n)
	return v
}

func (d *decoder) name() string {
	raw, n := protowire.ConsumeBytes(d.remaining)
	if d.advance(n) && len(raw) <= MaxNameLen {
		return string(raw)
	}
	d.failed = true
	return ""
}

func (d *decoder) member() Member {
	m := Member{ID: d.name()}
	if m.ID != "" {
		m.Address, m.Incarnation, m.Refutations = d.name(), d.varint(), d.varint()
	}
	return m
}
