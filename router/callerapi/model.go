package callerapi

import (
	"encoding/json"

	pb "cuminrock.example/api/gen/cuminrockpb"
	"cuminrock.example/fleet/errkind"
	"cuminrock.example/router/serve"
)

// modelFields are the fields of a model call's body that the server reads.
type modelFields struct {
	MaxTokens int64 `json:"max_tokens"`
	Stream    bool  `json:"stream"`
}

func readModelFields(req *serve.Request) error {
	if req.Call.Kind != pb.CallKind_CALL_KIND_MODEL {
		return checkJSON(req.Body)
	}
	var fields modelFields
	err := json.Unmarshal(req.Body, &fields)
	if err != nil {
		return errkind.New(errkind.BadRequest, "the body is not a valid model call: %v", err)
	}
	req.Streaming = fields.Stream
	req.MaxTokens, err = serve.CheckMaxTokens(fields.MaxTokens)
	return err
}

func checkJSON(body []byte) error {
	if json.Valid(body) {
		return nil
	}
	return errkind.New(errkind.BadRequest, "the body is not valid JSON")
}
