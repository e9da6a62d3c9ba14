package confstate

import (
	"os"
	"path/filepath"
	"testing"
)

// Guards against example files that the schema does not accept, or that no longer match their
// deployment: two or three trainers share an engine pool, and requests to services are not
// retried.
func TestExampleFiles(t *testing.T) {
	for file, domains := range map[string][]string{
		"drumworks.json":  {"kolfe", "akaki", "yeka"},
		"caal-ixcoy.json": {"quetzaltenango", "totonicapan", "solola"},
	} {
		data, err := os.ReadFile(filepath.Join("..", "examples", file))
		if err != nil {
			t.Fatal(err)
		}
		c := mustParse(t, string(data))
		homes, models := map[string]bool{}, map[string]bool{}
		for _, tenancy := range c.Tenancies {
			homes[tenancy.Home] = true
			if tenancy.TokenSHA256 != TokenDigest("example-token-"+file[:len(file)-len(".json")]+"-"+tenancy.Name) {
				t.Errorf("%s: the token of %s is not the documented example token", file, tenancy.Name)
			}
			if tenancy.Kind == Desk {
				continue
			}
			models[tenancy.Model] = true
			if idleDominates := tenancy.Policy.IdleWeight > tenancy.Policy.StalenessWeight; idleDominates != (file == "drumworks.json") {
				t.Errorf("%s: trainer %s has the policy %+v", file, tenancy.Name, *tenancy.Policy)
			}
		}
		for _, domain := range domains {
			if !homes[domain] {
				t.Errorf("%s: no tenancy has its home in %s", file, domain)
			}
		}
		if len(homes) != len(domains) || len(models) < 2 || len(models) > 3 || len(c.Pools) != 2 {
			t.Errorf("%s: homes %v, models %v, %d pools", file, homes, models, len(c.Pools))
		}
		for _, p := range c.Pools {
			if *p.RetrySafe != (p.Kind == Engine) {
				t.Errorf("%s: retry_safe of pool %s is %t", file, p.Name, *p.RetrySafe)
			}
		}
	}
}
