// Package standin is the module of small stand-ins for the outside systems.
package standin
