// Package pki makes certificates for the mesh: a certificate authority and
// certificates that name an instance and its availability zone. Production
// installations bring their own; the quickstart, the fleet script and tests use
// this package.
package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"os"
	"time"

	"github.com/ansel1/merry/v2"
)

// Errors of the package.
var (
	// ErrGenerate means that a certificate could not be made.
	ErrGenerate = merry.Sentinel("pki: certificate not made")
	// ErrLoad means that PEM files could not be used.
	ErrLoad = merry.Sentinel("pki: certificate not loaded")
	// ErrIdentity means that a certificate names no instance.
	ErrIdentity = merry.Sentinel("pki: certificate names no instance")
)

const (
	identityScheme = "dotterellink"
	validity       = 365 * 24 * time.Hour
	serialBits     = 120
)

// Authority signs certificates of instances.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	der         []byte
}

// Pair is a certificate with its key, both in PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority returns an authority valid for a year from now.
func NewAuthority(now time.Time) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, merry.Wrap(ErrGenerate, merry.WithCause(err))
	}
	template := newTemplate("dotterellink mesh CA", now)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, merry.Wrap(ErrGenerate, merry.WithCause(err))
	}
	return &Authority{certificate: template, key: key, der: der}, nil
}

// CertificatePEM returns the authority's own certificate.
func (a *Authority) CertificatePEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.der})
}

// Issue returns a certificate for an instance of an availability zone.
func (a *Authority) Issue(instance, zone string, now time.Time) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, merry.Wrap(ErrGenerate, merry.WithCause(err))
	}
	template := newTemplate(instance, now)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.URIs = []*url.URL{{Scheme: identityScheme, Host: zone, Path: "/" + instance}}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Pair{}, merry.Wrap(ErrGenerate, merry.WithCause(err))
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return Pair{}, merry.Wrap(ErrGenerate, merry.WithCause(err))
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

func newTemplate(name string, now time.Time) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(validity),
	}
}

// Config returns the mutual TLS configuration of an instance: both sides show a
// certificate of the authority.
func Config(authorityPEM []byte, pair Pair) (*tls.Config, error) {
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authorityPEM) {
		return nil, merry.Wrap(ErrLoad, merry.AppendMessage("no authority in PEM"))
	}
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, merry.Wrap(ErrLoad, merry.WithCause(err))
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    roots,
		RootCAs:      roots,
		// Peers are verified against the authority by verifyPeer: instances are
		// known by their URI, not by a host name.
		InsecureSkipVerify: true,
		VerifyConnection:   verifyPeer(roots),
	}, nil
}

func verifyPeer(roots *x509.CertPool) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return merry.Wrap(ErrIdentity)
		}
		options := x509.VerifyOptions{
			Roots:         roots,
			Intermediates: x509.NewCertPool(),
			KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
		}
		for _, c := range state.PeerCertificates[1:] {
			options.Intermediates.AddCert(c)
		}
		_, err := state.PeerCertificates[0].Verify(options)
		return err
	}
}

// LoadConfig reads the PEM files and returns their Config.
func LoadConfig(authorityFile, certificateFile, keyFile string) (*tls.Config, error) {
	var contents [3][]byte
	for i, path := range []string{authorityFile, certificateFile, keyFile} {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, merry.Wrap(ErrLoad, merry.WithCause(err))
		}
		contents[i] = data
	}
	return Config(contents[0], Pair{Certificate: contents[1], Key: contents[2]})
}

// Identity returns the instance and availability zone that a certificate names.
func Identity(certificate *x509.Certificate) (instance, zone string, err error) {
	for _, u := range certificate.URIs {
		if u.Scheme == identityScheme && u.Host != "" && len(u.Path) > 1 {
			return u.Path[1:], u.Host, nil
		}
	}
	return "", "", merry.Wrap(ErrIdentity)
}
