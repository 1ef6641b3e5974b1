// Package platform is a client of the platform: its transactional table service,
// its object store and its list of VMs.
//
// # Usage
//
//	c := platform.New("http://10.0.0.1:7400")
//	res, err := c.Commit(ctx, []platform.Write{{Key: "k", If: 0, Value: v}})
//
// A call that fails returns an *Error, which states whether the call may have
// taken effect. A commit whose connection broke after it was sent may be
// applied at any later time; core/claim and Accept allow for that.
//
// The protocol is that of the stand-in in cmd/standin. A platform with another
// protocol needs another implementation of the small interfaces that the users
// of this package define.
package platform

import "fmt"

// Write is one row of a transaction.
type Write struct {
	Key string
	// If is the version that the row must have; 0 if it must not exist.
	If     uint64
	Value  []byte
	Delete bool
}

// Row is a row of the table. Version 0 means that it does not exist.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
	// Era is the era of the table when it returned the row; see CommitResult.
	Era uint64
}

// CommitResult is the result of a transaction.
type CommitResult struct {
	// Version is the version of the rows written, or 0 if none was written.
	Version uint64
	// Conflicts are the rows whose version prevented the transaction.
	Conflicts []Row
	// Era counts how often the platform was restored from an older copy of its data. What
	// was written after that copy is lost, and its versions are given out again.
	Era uint64
}

// Error is the error of a failed call.
type Error struct {
	// Sent reports that the call may have reached the platform.
	Sent bool
	Op   string
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("platform: %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
