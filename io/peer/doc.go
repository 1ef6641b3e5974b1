// Package peer implements the control protocols between VMs. Over drpc VMs
// exchange membership entries, tables and changes to the inventory, and a VM
// that starts copies weights; schema/peer.proto defines these messages. Short
// updates are sent as UDP datagrams.
//
// # Usage
//
//	srv := peer.NewServer(table, changes, rows)
//	go srv.Serve(ctx, listener)
//
//	c := peer.NewClient()
//	err := c.Exchange(ctx, addr, table, "ro-nord-1", scope)
package peer
