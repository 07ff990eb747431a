package cli

import "strings"

// StringList is a flag value that holds comma-separated strings. The flag may be
// repeated.
type StringList []string

// String implements flag.Value.
func (l *StringList) String() string { return strings.Join(*l, ",") }

// Set implements flag.Value.
func (l *StringList) Set(text string) error {
	*l = append(*l, strings.Split(text, ",")...)
	return nil
}
