package authenticator

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/metadata"

	"oleandertally/core/configurator"
)

// The keys of the gRPC metadata of an operator's command.
const (
	operatorName  = "operator-name"
	operatorToken = "operator-token"
)

// OperatorToken sends the name and token of an operator with each gRPC call. It implements
// credentials.PerRPCCredentials.
type OperatorToken struct {
	name   string
	token  string
	secure bool
}

// NewOperatorToken reads the token from the file that the operator's settings name. If Insecure, there is no
// token.
func NewOperatorToken(settings configurator.OperatorSettings) (*OperatorToken, error) {
	o := &OperatorToken{name: settings.Name, secure: !settings.Security.Insecure}
	if !o.secure {
		return o, nil
	}
	data, err := readBounded(settings.TokenFile)
	if err != nil {
		return nil, errors.Wrap(err, "operator token")
	}
	o.token = strings.TrimSpace(string(data))
	if o.token == "" || len(o.token) > maxToken {
		return nil, errors.Newf("operator token: %s has %d bytes, expected 1 to %d", settings.TokenFile, len(o.token), maxToken)
	}
	return o, nil
}

// GetRequestMetadata returns the metadata of one call.
func (o *OperatorToken) GetRequestMetadata(context.Context, ...string) (map[string]string, error) {
	return map[string]string{operatorName: o.name, operatorToken: o.token}, nil
}

// RequireTransportSecurity reports whether calls need TLS, so that a token is never sent in clear text.
func (o *OperatorToken) RequireTransportSecurity() bool { return o.secure }

// CheckOperator returns the name of the operator who made the call of ctx, or ErrUnauthorized unless the
// call carries a token of that operator. If Insecure, the name is not verified.
func (a *Authenticator) CheckOperator(ctx context.Context) (string, error) {
	values, _ := metadata.FromIncomingContext(ctx)
	name, token := singleValue(values, operatorName), singleValue(values, operatorToken)
	if a.insecure {
		return name, nil
	}
	if err := a.operators.Check(name, token); err != nil {
		return "", err
	}
	return name, nil
}

// singleValue returns the value of key, or "" unless there is exactly one.
func singleValue(values metadata.MD, key string) string {
	if found := values.Get(key); len(found) == 1 {
		return found[0]
	}
	return ""
}
