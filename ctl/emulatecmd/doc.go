// Package emulatecmd holds the commands that run the stand-ins of the
// platform and the targets as processes of their own.
package emulatecmd
