// Package platform emulates the platform in memory: the transactional table
// service, the object store and the VM list over gRPC.
//
// It injects outages, latency and lost responses. Faults may be set for all
// listeners or for a single one, so that one data centre can be cut off from
// the platform while others still reach it.
package platform
