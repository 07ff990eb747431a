package streamcheck

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// events returns a whole answer of two tokens.
func events(id, second, end string) string {
	sum := sha256.Sum256([]byte("one two "))
	data := func(content string) string {
		return fmt.Sprintf(`{"id":%q,"choices":[{"index":0,"delta":{"content":%q}}]}`, id, content)
	}
	return "id: t/s/0\ndata: " + data("one ") + "\n\n" +
		"id: t/s/" + second + "\ndata: " + data("two ") + "\n\n" +
		fmt.Sprintf("id: t/s/2\nevent: end\ndata: {\"id\":%q,\"usage\":{\"completion_tokens\":2},\"length\":%s,\"sha256\":%q}\n\n", id, end, hex.EncodeToString(sum[:])) +
		"data: [DONE]\n\n"
}

func TestAnswersAreChecked(t *testing.T) {
	whole := events("r1", "1", "8")
	cases := []struct {
		name string
		body string
		want Verdict
	}{
		{"whole", whole, Whole},
		{"another request's", events("r2", "1", "8"), Crossed},
		{"a gap in the offsets", events("r1", "2", "8"), Altered},
		{"another length", events("r1", "1", "9"), Altered},
		{"another text", strings.Replace(whole, "two", "twa", 1), Altered},
		{"cut before the end event", whole[:strings.Index(whole, "event: end")], Broken},
		{"an error in the stream", "event: error\ndata: {\"error\":{\"kind\":\"target_failed\"}}\n\n", Broken},
		{"with the workspace", strings.ReplaceAll(whole, "\"r1\"", "\"w:r1\""), Whole},
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
