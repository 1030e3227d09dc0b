package frontend

import (
	"net/http"
	"slices"
	"strings"

	"plumspindle/internal/http1"
)

const (
	modelsPath = "/v1/models"
	modelOwner = "plumspindle"
)

// modelObject is a model in the public API. The fields of modelObject and modelList are in alphabetical order.
type modelObject struct {
	Created int64  `json:"created"`
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Data   []modelObject `json:"data"`
	Object string        `json:"object"`
}

func newModelObject(name string) modelObject {
	return modelObject{ID: name, Object: "model", OwnedBy: modelOwner}
}

// ModelRoutes returns the routes by which clients list the served models and look up one of them.
func ModelRoutes(names func() []string) map[string]Route {
	list := func(_ *http1.Head, _ Identity, response *Response) (Sink, *Problem) {
		return &BufferedBody{Handle: func([]byte) *Problem {
			response.finish(http.StatusOK, listModels(names()))
			return nil
		}}, nil
	}
	show := func(head *http1.Head, _ Identity, response *Response) (Sink, *Problem) {
		path := pathOf(head.Target)
		name := path[strings.LastIndexByte(path, '/')+1:]
		if !slices.Contains(names(), name) {
			return nil, ModelNotFound(name)
		}
		return &BufferedBody{Handle: func([]byte) *Problem {
			response.finish(http.StatusOK, mustMarshal(newModelObject(name)))
			return nil
		}}, nil
	}
	return map[string]Route{
		modelsPath:       {Method: http.MethodGet, Begin: list},
		modelsPath + "/": {Method: http.MethodGet, Begin: show},
	}
}

func listModels(names []string) []byte {
	list := modelList{Data: []modelObject{}, Object: "list"}
	for _, name := range names {
		list.Data = append(list.Data, newModelObject(name))
	}
	return mustMarshal(list)
}
