package cli

import "strings"

// List is a flag that takes values by commas and may be repeated.
type List []string

// String implements flag.Value.
func (l *List) String() string { return strings.Join(*l, ",") }

// Set implements flag.Value.
func (l *List) Set(text string) error {
	*l = append(*l, strings.Split(text, ",")...)
	return nil
}
