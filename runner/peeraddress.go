package runner

import (
	"net"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"github.com/crocuslb/crocuslb/marshaler"
)

// hostCharacters are the characters of host names and IP addresses.
const hostCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_:%"

// checkPeer returns an error if a peer cannot be the address of an entry. Other software may write to the entries' topic, and an
// address that is too long to be decoded would end each session on which the known entries are sent.
func checkPeer(p marshaler.Peer) error {
	if len(p.Name) > marshaler.MaxNameLen || len(p.Address) > marshaler.MaxNameLen {
		return trace.BadParameter("name of %d bytes or address of %d bytes exceeds %d", len(p.Name), len(p.Address), marshaler.MaxNameLen)
	}
	host, port, err := net.SplitHostPort(p.Address)
	if err != nil {
		return trace.BadParameter("address %q: %v", p.Address, err)
	}
	if host == "" || strings.Trim(host, hostCharacters) != "" {
		return trace.BadParameter("address %q has no valid host", p.Address)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return trace.BadParameter("address %q has no valid port", p.Address)
	}
	return nil
}
