package service

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cuminrock.example/standin/target"
)

func start(t *testing.T) *Service {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := New(Options{Seed: 7})
	serve := s.Open(lis)
	go serve()
	t.Cleanup(s.Close)
	return s
}

func post(s *Service, client *http.Client, id string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+s.Addr()+"/records/correct", strings.NewReader(`{"record":1}`))
	if err != nil {
		return nil, err
	}
	req.Header.Set(target.HeaderRequestID, id)
	return client.Do(req)
}

func TestExecutionsAreCountedPerID(t *testing.T) {
	is := is.New(t)
	s := start(t)
	for _, id := range []string{"r1", "r2", "r1"} {
		resp, err := post(s, http.DefaultClient, id)
		is.NoErr(err)
		var response Response
		is.NoErr(json.NewDecoder(resp.Body).Decode(&response))
		resp.Body.Close()
		is.Equal(response.ID, id)
		is.Equal(resp.Header.Get(target.HeaderRequestID), id)
	}
	is.Equal(s.ExecutionCount("r1"), 2)
	is.Equal(s.Counts().Repeated, 1)
}

func TestDisconnectHappensAfterExecution(t *testing.T) {
	is := is.New(t)
	s := start(t)
	is.NoErr(s.SetFaults(target.Faults{DisconnectNext: 1}))
	_, err := post(s, http.DefaultClient, "r1")
	is.True(err != nil)
	is.Equal(s.ExecutionCount("r1"), 1)
}

func TestRefusedCallsAreNotExecuted(t *testing.T) {
	is := is.New(t)
	s := start(t)
	is.NoErr(s.SetFaults(target.Faults{Refuse: true}))
	resp, err := post(s, http.DefaultClient, "r1")
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.Header.Get(target.HeaderRunState), target.RunStateNotRun)
	is.Equal(s.ExecutionCount("r1"), 0)
}

// A silenced connection discards requests and responses, or responses only.
// Connections opened later work.
func TestSilenceAffectsOnlyOpenConnections(t *testing.T) {
	executionsByKind := map[target.Silence]int{target.SilenceBoth: 0, target.SilenceResponses: 1}
	for kind, executions := range executionsByKind {
		t.Run(string(kind), func(t *testing.T) {
			is := is.New(t)
			s := start(t)
			pooled := &http.Client{Transport: &http.Transport{}}
			discard(t, s, pooled, "r1")
			is.NoErr(s.SetFaults(target.Faults{Silence: kind}))
			pooled.Timeout = silentCallTimeout
			_, err := post(s, pooled, "r2")
			is.True(err != nil)
			discard(t, s, &http.Client{Transport: &http.Transport{}}, "r3")
			for s.ExecutionCount("r2") < executions {
				time.Sleep(time.Millisecond)
			}
			is.Equal(s.ExecutionCount("r2"), executions)
		})
	}
}

// silentCallTimeout bounds a call that gets no response.
const silentCallTimeout = 200 * time.Millisecond

// discard makes a call and reads the whole response, so that the connection
// returns to the pool.
func discard(t *testing.T, s *Service, client *http.Client, id string) {
	t.Helper()
	resp, err := post(s, client, id)
	is.New(t).NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body)
	is.New(t).NoErr(err)
	resp.Body.Close()
}
