// Package ctl is the module of the operators' command line.
package ctl
