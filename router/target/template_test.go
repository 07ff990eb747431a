package target

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const tokenEvent = `{"id":"w:r1","created":17,"choices":[{"index":0,"delta":{"content":%s},"logprobs":null}],"model":"m"}`

func learnTemplate(t *testing.T, data string) *eventTemplate {
	t.Helper()
	var c chunk
	is.New(t).NoErr(json.Unmarshal([]byte(data), &c))
	common := &eventTemplate{}
	common.learn([]byte(data), &c)
	return common
}

// The content that the template extracts is the decoded one, or it extracts none.
func TestTemplateMatchesDecoding(t *testing.T) {
	common := learnTemplate(t, fmt.Sprintf(tokenEvent, `"one "`))
	rapid.Check(t, func(t *rapid.T) {
		content := rapid.OneOf(rapid.String(), rapid.SampledFrom([]string{`"`, `\`, `","id":"w:r2`, `"}}],"choices":[{"delta":{"content":"x`})).Draw(t, "content")
		quoted, err := json.Marshal(content)
		if err != nil {
			t.Fatal(err)
		}
		raw := rapid.SampledFrom([]string{string(quoted), `"` + content + `"`}).Draw(t, "raw")
		data := fmt.Sprintf(tokenEvent, raw)
		got, ok := common.extractContent([]byte(data))
		if !ok {
			return
		}
		var c chunk
		err = json.Unmarshal([]byte(data), &c)
		if err != nil || c.ID != "w:r1" || c.Choices[0].Delta.Content != string(got) {
			t.Fatalf("%s gave %q", data, got)
		}
	})
}

func TestTemplateRejectsOtherEvents(t *testing.T) {
	is := is.New(t)
	common := learnTemplate(t, fmt.Sprintf(tokenEvent, `"one "`))
	got, ok := common.extractContent([]byte(fmt.Sprintf(tokenEvent, `"two "`)))
	is.True(ok)
	is.Equal(string(got), "two ")
	for _, other := range []string{
		`{"id":"w:r2","created":17,"choices":[{"index":0,"delta":{"content":"two "},"logprobs":null}],"model":"m"}`,
		fmt.Sprintf(tokenEvent, `"a\"b"`),
		fmt.Sprintf(tokenEvent, `null`),
		`{}`,
	} {
		_, ok = common.extractContent([]byte(other))
		is.True(!ok)
	}
	twice := learnTemplate(t, `{"id":"w:r1","choices":[{"delta":{"content":"a","x":{"content":"b"}}}]}`)
	_, ok = twice.extractContent([]byte(`{"id":"w:r1","choices":[{"delta":{"content":"a","x":{"content":"b"}}}]}`))
	is.True(!ok)
	elsewhere := learnTemplate(t, `{"id":"w:r1","note":{"content":""},"choices":[{"delta":{}}]}`)
	_, ok = elsewhere.extractContent([]byte(`{"id":"w:r1","note":{"content":"x"},"choices":[{"delta":{}}]}`))
	is.True(!ok) // the content field isn't that of the choice
}
