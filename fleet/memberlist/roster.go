package memberlist

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/mix"
)

// Roster is an immutable list of the members that one router considers live.
// It is safe for concurrent use.
type Roster struct {
	self       *pb.Member
	others     []*pb.Member
	candidates []candidate
}

// candidate is a live member of the router's own data centre that is not
// draining and so can own keys.
type candidate struct {
	member *pb.Member
	hash   uint64
}

// NewRoster returns the roster of a router with the given other live members.
// It takes ownership of the slice and sorts it.
func NewRoster(self *pb.Member, others []*pb.Member) *Roster {
	slices.SortFunc(others, func(a, b *pb.Member) int {
		return cmp.Or(centreRank(self, a)-centreRank(self, b), cmp.Compare(a.Name, b.Name))
	})
	r := &Roster{self: self, others: others}
	r.addCandidate(self)
	for _, m := range others {
		if m.DataCentre == self.DataCentre {
			r.addCandidate(m)
		}
	}
	return r
}

// centreRank sorts members of the own data centre before all others.
func centreRank(self, m *pb.Member) int {
	if m.DataCentre == self.DataCentre {
		return 0
	}
	return 1
}

func (r *Roster) addCandidate(m *pb.Member) {
	if !m.Draining {
		r.candidates = append(r.candidates, candidate{member: m, hash: xxhash.Sum64String(m.Name)})
	}
}

// Self returns the router itself.
func (r *Roster) Self() *pb.Member { return r.self }

// Others returns the other live members, including draining ones. Members of the
// own data centre come first. The slice must not be modified.
func (r *Roster) Others() []*pb.Member { return r.others }

// Home returns the member of the own data centre that owns a key, by rendezvous
// hashing (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
// Rates", 1998): the member with the highest weight for the key. When a member
// joins or leaves, only its own keys move. Home returns false if all members
// are draining. Routers may disagree while their rosters differ.
func (r *Roster) Home(key string) (*pb.Member, bool) {
	keyHash := xxhash.Sum64String(key)
	var home *pb.Member
	var highest uint64
	for _, c := range r.candidates {
		weight := mix.Mix64(c.hash ^ keyHash)
		if home == nil || weight > highest || weight == highest && c.member.Name < home.Name {
			home = c.member
			highest = weight
		}
	}
	return home, home != nil
}

// HomeAmong returns the member that owns a key among the given members, with the
// same result as Home of a roster of these members. It returns false if all of
// them are draining.
func HomeAmong(key string, members []*pb.Member) (*pb.Member, bool) {
	r := &Roster{}
	for _, m := range members {
		r.addCandidate(m)
	}
	return r.Home(key)
}

// isAmongTop reports whether the router itself is one of the count members with
// the highest weights for a key.
func (r *Roster) isAmongTop(key string, count int) bool {
	keyHash := xxhash.Sum64String(key)
	ownWeight := mix.Mix64(xxhash.Sum64String(r.self.Name) ^ keyHash)
	higher := 0
	for _, c := range r.candidates {
		if mix.Mix64(c.hash^keyHash) > ownWeight {
			higher++
		}
	}
	return higher < count
}
