// Package pb holds the generated messages of a deployment (proto/deployment.proto) and of a scenario (proto/day.proto).
package pb
