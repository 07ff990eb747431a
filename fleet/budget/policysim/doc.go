// Package policysim measures budget policies in simulated time: the same
// seeded requests, top-ups, partitions and deaths for each policy, against an
// oracle that sees everything.
//
// The escrow policies run the real decisions of package budget over rows in
// memory. The baselines are an even static split and a draw per request; both
// are idealised in their favour: messages and settlements cost them nothing,
// and a router's death loses nothing of an even split.
package policysim
