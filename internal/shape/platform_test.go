package shape

import (
	"go/ast"
	"go/token"
	"strconv"
	"strings"
	"testing"
)

// platformNames are names of the production platform that only the package platform
// may use.
var platformNames = []string{
	"X-Anvilfork-", "ANVILFORK_BOOT", "/v1/kv-", "/v1/resolve", "op/config", "op/evacuate", "MinShardShare",
	"TrafficSplit", "WarmupPerS", "WarmupLeftMs", "TargetLatencyMs", "MaxConcurrency", "RatePerS", "ApiKeys",
	"SeedNodes", "InternalPorts", "BudgetRatio", "RetrySlack", "QuotaOver", "ttl_s",
}

// Guards against names of the production platform outside the platform directory,
// which translates them.
func TestPlatformNamesStayInTheirFolder(t *testing.T) {
	for _, s := range parseSources(t, ".") {
		if strings.Contains(s.path, "/platform/") || strings.Contains(s.path, "/rpc/") {
			continue
		}
		ast.Inspect(s.file, func(n ast.Node) bool {
			lit, ok := n.(*ast.BasicLit)
			if !ok || lit.Kind != token.STRING {
				return true
			}
			text, err := strconv.Unquote(lit.Value)
			if err != nil {
				t.Fatal(err)
			}
			for _, name := range platformNames {
				if strings.Contains(text, name) {
					t.Errorf("%s uses the platform's name %q", s.fset.Position(lit.Pos()), name)
				}
			}
			return true
		})
	}
}

// Guards against decisions in the platform directory, which only translates: it may
// use the types of the core and the ports of the gateway, but has no goroutines,
// channels or clock of its own.
func TestPlatformDecidesNothing(t *testing.T) {
	for _, s := range parseSources(t, "platform") {
		if strings.Contains(s.path, "/platformtest/") {
			continue // fakes for tests
		}
		ast.Inspect(s.file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.GoStmt:
				t.Errorf("%s starts a goroutine", s.fset.Position(n.Pos()))
			case *ast.ChanType:
				t.Errorf("%s uses a channel", s.fset.Position(n.Pos()))
			case *ast.SelectorExpr:
				if pkg, ok := n.X.(*ast.Ident); ok && pkg.Name == "time" && n.Sel.Name == "Now" {
					t.Errorf("%s reads the clock", s.fset.Position(n.Pos()))
				}
			}
			return true
		})
	}
}
