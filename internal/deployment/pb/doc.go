// Package pb holds the generated messages of a deployment and of a scripted scenario (proto/deployment.proto,
// proto/day.proto).
package pb
