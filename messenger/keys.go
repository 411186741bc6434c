package messenger

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const (
	// MinSecretLen is the shortest secret in bytes.
	MinSecretLen = 32

	protocol   = "crocuslb/1"
	serverName = "crocuslb.invalid"
	// developmentSecret is publicly known and provides no security. It is used on loopback addresses only.
	developmentSecret = "insecure development secret of crocuslb"
	// certificateValidity is the validity of a certificate before and after its creation. Clocks of processes may differ
	// by up to half of it, because a certificate is replaced after half of its validity.
	certificateValidity = 48 * time.Hour
)

type (
	// issuer issues certificates signed with the key that is derived from the secret.
	issuer struct {
		authority *x509.Certificate
		key       ed25519.PrivateKey

		mu       sync.Mutex
		current  *tls.Certificate
		issuedAt time.Time
	}
)

var developmentTLSConfig = sync.OnceValues(func() (*tls.Config, error) { return NewTLSConfig(developmentSecret) })

// NewTLSConfig returns the TLS configuration of a process for dialing and accepting sessions. Each process issues its own
// short-lived certificate in memory, signed with a key that is derived from the secret, and accepts certificates signed
// with the same key. The secret must have at least MinSecretLen bytes and should be random.
func NewTLSConfig(secret string) (*tls.Config, error) {
	if len(secret) < MinSecretLen {
		return nil, trace.BadParameter("the secret has %d bytes, at least %d are required", len(secret), MinSecretLen)
	}
	i, err := newIssuer(secret)
	if err != nil {
		return nil, trace.Wrap(err, "cannot derive the key of the certificate authority")
	}
	if _, err := i.certificate(); err != nil {
		return nil, trace.Wrap(err, "cannot issue a certificate")
	}
	pool := x509.NewCertPool()
	pool.AddCert(i.authority)
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{protocol},
		ServerName:             serverName,
		RootCAs:                pool,
		ClientCAs:              pool,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		SessionTicketsDisabled: true,
		GetCertificate:         func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return i.certificate() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return i.certificate()
		},
	}, nil
}

func newIssuer(secret string) (*issuer, error) {
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, protocol+" certificate authority", ed25519.SeedSize)
	if err != nil {
		return nil, err
	}
	key := ed25519.NewKeyFromSeed(seed)
	// The authority certificate contains nothing random, so it is the same in all processes.
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "crocuslb authority"},
		NotBefore:             time.Unix(0, 0),
		NotAfter:              time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(nil, template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	authority, err := x509.ParseCertificate(der)
	return &issuer{authority: authority, key: key}, err
}

// certificate returns the current certificate. It issues a new one after half of the validity.
func (i *issuer) certificate() (*tls.Certificate, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	if i.current != nil && now.Sub(i.issuedAt) < certificateValidity/2 {
		return i.current, nil
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, err
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: "crocuslb process"},
		DNSNames:     []string{serverName},
		NotBefore:    now.Add(-certificateValidity),
		NotAfter:     now.Add(certificateValidity),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, i.authority, public, i.key)
	if err != nil {
		return nil, err
	}
	i.current, i.issuedAt = &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, now
	return i.current, nil
}
