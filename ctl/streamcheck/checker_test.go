package streamcheck

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// responseBody returns a complete streamed response of two tokens. The id, the
// second token's offset and the length in the end event are parameters.
func responseBody(id, secondOffset, endLength string) string {
	sum := sha256.Sum256([]byte("one two "))
	data := func(content string) string {
		return fmt.Sprintf(`{"id":%q,"choices":[{"index":0,"delta":{"content":%q}}]}`, id, content)
	}
	return "id: t/s/0\ndata: " + data("one ") + "\n\n" +
		"id: t/s/" + secondOffset + "\ndata: " + data("two ") + "\n\n" +
		fmt.Sprintf("id: t/s/2\nevent: end\ndata: {\"id\":%q,\"usage\":{\"completion_tokens\":2},\"length\":%s,\"sha256\":%q}\n\n", id, endLength, hex.EncodeToString(sum[:])) +
		"data: [DONE]\n\n"
}

func TestCheckerVerdicts(t *testing.T) {
	complete := responseBody("r1", "1", "8")
	cases := []struct {
		name string
		body string
		want Verdict
	}{
		{"complete", complete, Whole},
		{"another request's id", responseBody("r2", "1", "8"), Crossed},
		{"missing offset", responseBody("r1", "2", "8"), Altered},
		{"wrong length", responseBody("r1", "1", "9"), Altered},
		{"altered text", strings.Replace(complete, "two", "twa", 1), Altered},
		{"truncated before the end event", complete[:strings.Index(complete, "event: end")], Broken},
		{"error event in the stream", "event: error\ndata: {\"error\":{\"kind\":\"target_failed\"}}\n\n", Broken},
		{"id prefixed with the workspace", strings.ReplaceAll(complete, "\"r1\"", "\"w:r1\""), Whole},
		{"no end event", "data: [DONE]\n\n", Broken},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			verdict, _ := New("r1").Read(strings.NewReader(c.body))
			is.Equal(verdict, c.want)
		})
	}
}
