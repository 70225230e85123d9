package sequencer

import "oleandertally/core/specifier"

// Loads returns the last reported load of each joined member with a session.
func (s *Sequencer) Loads() map[specifier.Identity]specifier.Load {
	loads := make(map[specifier.Identity]specifier.Load)
	for _, sess := range s.sessions {
		if sess.hasLoad && sess.joined {
			loads[sess.member.Identity] = sess.load
		}
	}
	return loads
}
