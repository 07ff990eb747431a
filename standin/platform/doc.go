// Package platform is a small in-memory stand-in of the platform: the
// transactional table service, the object store and the VM list over gRPC.
//
// It can be out, slow or lossy on order. Each listener that is served is one
// door; faults may be set for all doors or for one, so that a data centre can
// be cut off from the platform while others reach it.
package platform
