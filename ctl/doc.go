// Package ctl is the root of the module of cuminrockctl, the operators'
// command-line tool.
package ctl
