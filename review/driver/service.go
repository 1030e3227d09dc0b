package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const operatorKey = "operator-key-of-the-case"

// service is a small deployment: stand-in endpoints with their discovery, the administration and one dispatcher.
type service struct {
	run                  *run
	admin, dispatcher    *process
	adminAddress, apiURL string
	adminArguments       []string
}

// startService starts a deployment. The deployment file may be empty for the built-in deployment.
func (r *run) startService(deployment string) (*service, error) {
	s := &service{run: r}
	secret, err := r.write("secret", "0123456789abcdef0123456789abcdef0123456789abcdef\n")
	if err != nil {
		return nil, err
	}
	digest := sha256.Sum256([]byte(operatorKey))
	staff, err := r.write("staff", "operator reviewer "+hex.EncodeToString(digest[:])+"\n")
	if err != nil {
		return nil, err
	}
	var file []string
	if deployment != "" {
		file = []string{"--deployment", deployment}
	}
	hosts, err := r.start("hosts", append([]string{"hosts", "--roster", "127.0.0.1:0", "--ready-file", r.path("hosts.ready")},
		file...)...)
	if err != nil {
		return nil, err
	}
	roster, err := r.awaitReady(hosts, "hosts.ready")
	if err != nil {
		return nil, err
	}
	s.adminArguments = []string{"--records", r.path("records"), "--secret", secret, "--staff", staff}
	if err := s.startAdmin("127.0.0.1:0", "admin.ready"); err != nil {
		return nil, err
	}
	s.dispatcher, err = r.start("serve", append([]string{"serve", "--listen", "127.0.0.1:0", "--roster", roster, "--tenants",
		s.adminAddress, "--secret", secret, "--name", "d1", "--state-dir", r.path("intents"), "--ready-file",
		r.path("serve.ready")}, file...)...)
	if err != nil {
		return nil, err
	}
	s.apiURL, err = r.awaitReady(s.dispatcher, "serve.ready")
	return s, err
}

// startAdmin starts the administration.
func (s *service) startAdmin(listen, readyFile string) (err error) {
	arguments := append([]string{"admin", "--listen", listen, "--ready-file", s.run.path(readyFile)}, s.adminArguments...)
	if s.admin, err = s.run.start("admin", arguments...); err != nil {
		return err
	}
	s.adminAddress, err = s.run.awaitReady(s.admin, readyFile)
	return err
}

// call makes a call of the administration API and decodes its answer.
func (s *service) call(method, path string, body any) (map[string]any, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequest(method, "http://"+s.adminAddress+"/admin/v1/"+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	response, err := (&http.Client{Timeout: 5 * time.Second}).Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	s.run.note("administration: %s %s %s: status %d", method, path, encoded, response.StatusCode)
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, fmt.Errorf("%s %s: status %d: %s", method, path, response.StatusCode, text)
	}
	decoded := map[string]any{}
	return decoded, json.Unmarshal(text, &decoded)
}

// addTenant adds a tenant with one key, and waits until the dispatcher accepts the key.
func (s *service) addTenant(name string, limits map[string]any) (key string, err error) {
	if _, err := s.call("POST", "tenants", map[string]any{"name": name, "limits": limits}); err != nil {
		return "", err
	}
	created, err := s.call("POST", "tenants/"+name+"/keys", map[string]any{"scopes": []string{"chat"}})
	if err != nil {
		return "", err
	}
	key, _ = created["key"].(string)
	for range 100 {
		warm := post{address: s.apiURL, path: "/v1/chat/completions", key: key, body: chatBody("explain", 5, 2, "Warm up.")}
		if warm.do(10*time.Second).final == streamed {
			return key, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return "", fmt.Errorf("the dispatcher does not serve the new tenant %s", name)
}
