package platform

import rpc "buckthornlatch.example/buckthornlatch/rpc/platform"

// toRPCRows converts rows for the wire.
func toRPCRows(rows []Row) []*rpc.Row {
	out := make([]*rpc.Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, &rpc.Row{Key: r.Key, Value: r.Value, Revision: uint64(r.Revision), Deleted: r.Deleted})
	}
	return out
}

// fromRPCRows converts rows from the wire.
func fromRPCRows(rows []*rpc.Row) []Row {
	out := make([]Row, 0, len(rows))
	for _, r := range rows {
		out = append(out, Row{Key: r.GetKey(), Value: r.GetValue(), Revision: Revision(r.GetRevision()), Deleted: r.GetDeleted()})
	}
	return out
}

// toRPCResult converts the result of a read for the wire.
func toRPCResult(rows Rows) *rpc.RowsResponse {
	return &rpc.RowsResponse{Rows: toRPCRows(rows.Rows), Through: uint64(rows.Through), More: rows.More}
}

// fromRPCResult converts the result of a read from the wire.
func fromRPCResult(response *rpc.RowsResponse) Rows {
	return Rows{Rows: fromRPCRows(response.GetRows()), Through: Revision(response.GetThrough()), More: response.GetMore()}
}

// toRPCCommit converts a transaction for the wire.
func toRPCCommit(txn Txn) *rpc.CommitRequest {
	request := &rpc.CommitRequest{Deletes: txn.Deletes}
	for _, c := range txn.Conditions {
		request.Conditions = append(request.Conditions, &rpc.Condition{Key: c.Key, Revision: uint64(c.Revision)})
	}
	for _, p := range txn.Puts {
		request.Puts = append(request.Puts, &rpc.Put{Key: p.Key, Value: p.Value})
	}
	return request
}

// fromRPCCommit converts a transaction from the wire.
func fromRPCCommit(request *rpc.CommitRequest) Txn {
	txn := Txn{Deletes: request.GetDeletes()}
	for _, c := range request.GetConditions() {
		txn.Conditions = append(txn.Conditions, Condition{Key: c.GetKey(), Revision: Revision(c.GetRevision())})
	}
	for _, p := range request.GetPuts() {
		txn.Puts = append(txn.Puts, Put{Key: p.GetKey(), Value: p.GetValue()})
	}
	return txn
}
