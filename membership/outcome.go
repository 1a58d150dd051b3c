package membership

import (
	"context"
	"errors"
	"fmt"
)

// Outcome reads the log up to its head and returns what became of a change
// that was submitted here or elsewhere.
func (s *Service) Outcome(ctx context.Context, changeID string) SubmitResult {
	if err := s.poll(ctx); err != nil {
		return unknown(fmt.Errorf("log can't be read: %w", err))
	}
	if d, ok := s.decision(changeID); ok {
		return decided(d)
	}
	return unknown(errors.New("the log has no decision on it"))
}
