// Package schema holds the messages and settings of auburnlatch, generated
// from the .proto files beside it, and the generated control protocol.
//
// Usage: only packages under io use the types of this package. The core packages
// have types of their own, and package wire converts between the two. The generated
// files are committed; protoc is only needed after a change of a .proto file:
//
//	make generate
package schema
