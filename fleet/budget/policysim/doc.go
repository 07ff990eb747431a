// Package policysim compares budget policies in simulated time. Each policy gets
// the same seeded requests, top-ups, partitions and router crashes and is
// compared with an oracle that knows everything.
//
// The escrow policies run the real rules of package budget over rows in memory.
// The baselines are an even static split and a draw per request. Both are
// idealised in their favour: messages and settlements cost them nothing, and a
// router's crash loses nothing of an even split.
package policysim
