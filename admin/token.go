package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"

	"goa.design/goa/v3/security"

	api "github.com/gooseberryflow/gooseberryflow/admin/gen/admin"
)

// tokenSet holds the hashes of the operators' tokens. Hashes have equal length, so
// the time of a comparison reveals nothing about the length of a token.
type tokenSet [][sha256.Size]byte

func newTokenSet(tokens []string) tokenSet {
	set := make(tokenSet, 0, len(tokens))
	for _, t := range tokens {
		set = append(set, sha256.Sum256([]byte(t)))
	}
	return set
}

// contains reports whether the token is in the set. It always compares with every
// hash, so that its running time does not depend on which token matches.
func (s tokenSet) contains(token string) bool {
	hash := sha256.Sum256([]byte(token))
	found := 0
	for i := range s {
		found |= subtle.ConstantTimeCompare(s[i][:], hash[:])
	}
	return token != "" && found == 1
}

// JWTAuth checks an operator's bearer token. Goa prescribes the name; the token is
// opaque, not a JWT.
func (s *service) JWTAuth(ctx context.Context, token string, _ *security.JWTScheme) (context.Context, error) {
	if s.tokens.contains(token) {
		return ctx, nil
	}
	s.log.Warn("operator refused")
	return ctx, api.MakeUnauthorized(errors.New("the operator's token is missing or wrong"))
}
