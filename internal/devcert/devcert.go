// Package devcert issues short-lived certificates for trials, demos and tests.
// It is not meant for production: the authority's key is never stored, so no
// certificate can be issued or revoked later.
package devcert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"time"
)

// Validity is the lifetime of the certificates.
const Validity = 30 * 24 * time.Hour

// backdate is how far certificates are backdated, for hosts whose clocks are slow.
const backdate = time.Hour

// serialBits is the length of a certificate's random serial number.
const serialBits = 120

// Authority is a certificate authority that signs the certificates of nodes.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// New creates an authority with a new key.
func New() (*Authority, error) {
	key, err := newKey()
	if err != nil {
		return nil, err
	}
	template, err := newTemplate("gooseberryflow trial authority")
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("sign authority certificate: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse authority certificate: %w", err)
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// CA returns the authority's certificate in PEM form.
func (a *Authority) CA() []byte { return encodeCertificate(a.certificate.Raw) }

// IssueNode issues a certificate and key for a node with the given IP addresses.
// The certificate is valid for both servers and clients.
func (a *Authority) IssueNode(ip ...net.IP) (certPEM, keyPEM []byte, err error) {
	key, err := newKey()
	if err != nil {
		return nil, nil, err
	}
	template, err := newTemplate("gooseberryflow node")
	if err != nil {
		return nil, nil, err
	}
	template.IPAddresses = ip
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return nil, nil, fmt.Errorf("sign node certificate: %w", err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, nil, fmt.Errorf("encode node key: %w", err)
	}
	keyPEM = pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})
	return encodeCertificate(der), keyPEM, nil
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	return key, nil
}

func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("generate serial number: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(Validity),
	}, nil
}

func encodeCertificate(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}
