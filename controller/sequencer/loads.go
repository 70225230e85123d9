package sequencer

import "oleandertally/core/specifier"

// Loads returns what the attending members reported last.
func (s *Sequencer) Loads() map[specifier.Identity]specifier.Load {
	loads := make(map[specifier.Identity]specifier.Load)
	for _, who := range s.attending {
		if who.reported && who.joined {
			loads[who.member.Identity] = who.load
		}
	}
	return loads
}
