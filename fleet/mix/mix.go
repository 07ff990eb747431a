// Package mix holds a mixing function for 64-bit hashes.
package mix

// Mix64 is the finalizer of splitmix64 (Steele, Lea and Flood, "Fast Splittable
// Pseudorandom Number Generators", 2014). It is a bijection.
func Mix64(x uint64) uint64 {
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
