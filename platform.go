package eelgrasspoint

import "context"

// Row is one row of the table service. Version is zero for a row that does not exist.
type Row struct {
	Key     string
	Version Revision
	Value   []byte
}

// Condition requires a row to have a version; zero requires that it does not exist.
type Condition struct {
	Key     string
	Version Revision
}

// Write sets a row, or deletes it if Delete is set.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Transaction applies all writes atomically if every condition holds.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// DeletionOf returns a transaction that deletes the row unless it was rewritten since it was read.
func DeletionOf(row Row) Transaction {
	return Transaction{
		Conditions: []Condition{{Key: row.Key, Version: row.Version}},
		Writes:     []Write{{Key: row.Key, Delete: true}},
	}
}

// Table is the platform's table service, also called the store. Reads fail with *NotFoundError or
// *UnavailableError; Commit fails with *ConflictError, *UnavailableError or, if it is unknown whether the
// writes took effect, *UnknownOutcomeError.
type Table interface {
	Read(ctx context.Context, key string) (Row, error)
	Scan(ctx context.Context, prefix string) ([]Row, error)
	Commit(ctx context.Context, transaction Transaction) error
}
