package process

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// TLS holds the settings of mutual TLS between entries and agents. Each value is
// PEM text or the path of a PEM file. If all are empty, TLS is off.
type TLS struct {
	Cert string `arg:"--tls-cert,env:CITRONTILLER_TLS_CERT" help:"certificate of this process for connections between entries and agents: a PEM file or PEM text"`
	Key  string `arg:"--tls-key,env:CITRONTILLER_TLS_KEY" help:"private key of the certificate: a PEM file or PEM text"`
	CA   string `arg:"--tls-ca,env:CITRONTILLER_TLS_CA" help:"certificates of the authorities that sign peers: a PEM file or PEM text"`
}

// Server returns the credentials of a gRPC server that accepts only clients with a
// certificate signed by an authority in CA. The error is a *SettingError.
func (t TLS) Server() (credentials.TransportCredentials, error) {
	cfg, err := t.config()
	if err != nil {
		return nil, err
	}
	if cfg == nil {
		return insecure.NewCredentials(), nil
	}
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	return credentials.NewTLS(cfg), nil
}

// Client returns the credentials of a gRPC client. The server's certificate must
// be signed by an authority in CA and valid for the address that the client dials.
// The error is a *SettingError.
func (t TLS) Client() (credentials.TransportCredentials, error) {
	cfg, err := t.config()
	if err != nil {
		return nil, err
	}
	if cfg == nil {
		return insecure.NewCredentials(), nil
	}
	return credentials.NewTLS(cfg), nil
}

// config returns the TLS configuration, or nil without an error if TLS is off.
func (t TLS) config() (*tls.Config, error) {
	if t == (TLS{}) {
		return nil, nil
	}
	cert, err := readPEM("--tls-cert", t.Cert)
	if err != nil {
		return nil, err
	}
	key, err := readPEM("--tls-key", t.Key)
	if err != nil {
		return nil, err
	}
	ca, err := readPEM("--tls-ca", t.CA)
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, &SettingError{Flag: "--tls-cert and --tls-key", Value: "an invalid pair", Allowed: "a certificate and its key", Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, &SettingError{Flag: "--tls-ca", Value: "no certificate", Allowed: "at least one certificate"}
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, RootCAs: pool, ClientCAs: pool, MinVersion: tls.VersionTLS13}, nil
}

// readPEM returns value if it is PEM text, and otherwise the content of the file
// at that path.
func readPEM(flag, value string) ([]byte, error) {
	if strings.HasPrefix(value, "-----BEGIN ") {
		return []byte(value), nil
	}
	data, err := os.ReadFile(value)
	if err != nil {
		return nil, &SettingError{Flag: flag, Value: value, Allowed: "a PEM file or PEM text; --tls-cert, --tls-key and --tls-ca together", Err: err}
	}
	return data, nil
}
