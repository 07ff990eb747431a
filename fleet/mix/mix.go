// Package mix holds a mixing function for 64-bit hashes.
package mix

import "github.com/cespare/xxhash/v2"

// Mix64 is the finalizer of splitmix64 (Steele, Lea and Flood, "Fast Splittable
// Pseudorandom Number Generators", 2014). It is a bijection.
func Mix64(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// RendezvousWeight returns the weight of a candidate for a key in rendezvous
// hashing (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
// Rates", 1998): the candidate with the highest weight gets the key.
func RendezvousWeight(key uint64, candidate string) uint64 {
	return Mix64(key ^ xxhash.Sum64String(candidate))
}
