// Package emulatecmd holds the commands that run the stand-ins (emulators) of
// the platform and of the targets as separate processes.
package emulatecmd
