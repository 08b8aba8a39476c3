package gateway

import (
	"github.com/anvilfork/anvilfork/core/callers"
	"github.com/anvilfork/anvilfork/rpc/peer"
)

const costTenths = 10 // steps of a cost on the wire

func encodePressing(all []callers.Pressing) []*peer.MeshPressing {
	var out []*peer.MeshPressing
	for _, p := range all {
		out = append(out, &peer.MeshPressing{Caller: p.ID, Tenths: uint32(p.Cost * costTenths)})
	}
	return out
}

func decodePressing(all []*peer.MeshPressing) []callers.Pressing {
	var out []callers.Pressing
	for _, p := range all {
		out = append(out, callers.Pressing{ID: p.GetCaller(), Cost: float64(p.GetTenths()) / costTenths})
	}
	return out
}
