package gang

// MaxSalt is the number of salts that tell placers apart.
const MaxSalt = 1_000_000

// Attempt returns the number of a placer's attempt: round counts from 1, salt
// is the placer's own, 0 to MaxSalt-1. Two placers that do not know of each
// other may try the same round; their salts keep them from sharing a lease,
// which would mix the parts of two gangs. A later round is always the higher
// number.
func Attempt(round, salt int) int { return round*MaxSalt + salt%MaxSalt }

// Round returns the round of an attempt. Numbers below MaxSalt, made without a
// salt, are in round 0.
func Round(attempt int) int { return attempt / MaxSalt }
