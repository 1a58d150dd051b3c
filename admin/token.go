package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"

	"goa.design/goa/v3/security"

	api "github.com/gooseberryflow/gooseberryflow/admin/gen/admin"
)

// tokenSet holds the hashes of the operators' tokens, so that all comparisons
// are between values of the same length.
type tokenSet [][sha256.Size]byte

func newTokenSet(tokens []string) tokenSet {
	set := make(tokenSet, 0, len(tokens))
	for _, t := range tokens {
		set = append(set, sha256.Sum256([]byte(t)))
	}
	return set
}

// contains compares with every token, in a time that does not depend on which
// of them matches.
func (s tokenSet) contains(token string) bool {
	hash := sha256.Sum256([]byte(token))
	found := 0
	for i := range s {
		found |= subtle.ConstantTimeCompare(s[i][:], hash[:])
	}
	return token != "" && found == 1
}

// JWTAuth checks an operator's bearer token. The name is goa's; the token is
// opaque.
func (s *service) JWTAuth(ctx context.Context, token string, _ *security.JWTScheme) (context.Context, error) {
	if s.tokens.contains(token) {
		return ctx, nil
	}
	s.log.Warn("operator refused")
	return ctx, api.MakeUnauthorized(errors.New("the operator's token is missing or wrong"))
}
