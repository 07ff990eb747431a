package target

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const tokenEvent = `{"id":"w:r1","created":17,"choices":[{"index":0,"delta":{"content":%s},"logprobs":null}],"model":"m"}`

func learned(t *testing.T, data string) *template {
	t.Helper()
	var c chunk
	is.New(t).NoErr(json.Unmarshal([]byte(data), &c))
	common := &template{}
	common.learn([]byte(data), &c)
	return common
}

// What the template gives is what decoding gives, or it gives nothing.
func TestTemplateAgreesWithDecoding(t *testing.T) {
	common := learned(t, fmt.Sprintf(tokenEvent, `"one "`))
	rapid.Check(t, func(t *rapid.T) {
		content := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{`"`, `\`, `","id":"w:r2`, `"}}],"choices":[{"delta":{"content":"x`})).Draw(t, "content")
		quoted, err := json.Marshal(content)
		if err != nil {
			t.Fatal(err)
		}
		raw := rapid.SampledFrom([]string{string(quoted), `"` + content + `"`}).Draw(t, "raw")
		data := fmt.Sprintf(tokenEvent, raw)
		got, known := common.content([]byte(data))
		if !known {
			return
		}
		var c chunk
		err = json.Unmarshal([]byte(data), &c)
		if err != nil || c.ID != "w:r1" || c.Choices[0].Delta.Content != string(got) {
			t.Fatalf("%s gave %q", data, got)
		}
	})
}

func TestTemplateKnowsOnlyItsOwnShape(t *testing.T) {
	is := is.New(t)
	common := learned(t, fmt.Sprintf(tokenEvent, `"one "`))
	got, known := common.content([]byte(fmt.Sprintf(tokenEvent, `"two "`)))
	is.True(known)
	is.Equal(string(got), "two ")
	for _, other := range []string{
		`{"id":"w:r2","created":17,"choices":[{"index":0,"delta":{"content":"two "},"logprobs":null}],"model":"m"}`,
		fmt.Sprintf(tokenEvent, `"a\"b"`),
		fmt.Sprintf(tokenEvent, `null`),
		`{}`,
	} {
		_, known = common.content([]byte(other))
		is.True(!known)
	}
	twice := learned(t, `{"id":"w:r1","choices":[{"delta":{"content":"a","x":{"content":"b"}}}]}`)
	_, known = twice.content([]byte(`{"id":"w:r1","choices":[{"delta":{"content":"a","x":{"content":"b"}}}]}`))
	is.True(!known)
	elsewhere := learned(t, `{"id":"w:r1","note":{"content":""},"choices":[{"delta":{}}]}`)
	_, known = elsewhere.content([]byte(`{"id":"w:r1","note":{"content":"x"},"choices":[{"delta":{}}]}`))
	is.True(!known) // the field is not the token's
}
