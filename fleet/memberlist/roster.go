package memberlist

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/mix"
)

// Roster is an immutable list of the members that one router counts as live.
// It is safe for concurrent use.
type Roster struct {
	self       *pb.Member
	others     []*pb.Member
	candidates []candidate
}

// candidate is a live member of the router's own data centre that takes work.
type candidate struct {
	member *pb.Member
	hash   uint64
}

// NewRoster returns the roster of a router and the other live members, whose
// slice it keeps and puts in order.
func NewRoster(self *pb.Member, others []*pb.Member) *Roster {
	slices.SortFunc(others, func(a, b *pb.Member) int {
		return cmp.Or(rank(self, a)-rank(self, b), cmp.Compare(a.Name, b.Name))
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

// rank puts members of the own data centre before others.
func rank(self, m *pb.Member) int {
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

// Others returns the other live members, draining ones included, those of the
// own data centre first. The slice must not be modified.
func (r *Roster) Others() []*pb.Member { return r.others }

// Home returns the member of the own data centre that a key belongs to, by
// rendezvous hashing (Thaler and Ravishankar, "Using Name-Based Mappings to
// Increase Hit Rates", 1998): the member with the highest weight for the key.
// A member that comes or goes moves only its own keys. It is false when all
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

// HomeAmong returns the member that a key belongs to among the members given,
// as their own rosters have it. It is false when all of them are draining.
func HomeAmong(key string, members []*pb.Member) (*pb.Member, bool) {
	r := &Roster{}
	for _, m := range members {
		r.addCandidate(m)
	}
	return r.Home(key)
}

// among tells whether the router itself is one of the count members with the
// highest weights for a key.
func (r *Roster) among(key string, count int) bool {
	keyHash := xxhash.Sum64String(key)
	own := mix.Mix64(xxhash.Sum64String(r.self.Name) ^ keyHash)
	above := 0
	for _, c := range r.candidates {
		if mix.Mix64(c.hash^keyHash) > own {
			above++
		}
	}
	return above < count
}
