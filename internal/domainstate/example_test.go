package domainstate_test

import (
	"fmt"

	"fuchsiaflow/internal/domainstate"
)

func Example() {
	state, err := domainstate.New()
	if err != nil {
		panic(err)
	}
	for _, version := range []uint64{4, 3} {
		cmd, err := domainstate.EncodeDesiredVersion(domainstate.DesiredVersion{Model: "sorter", Version: version})
		if err != nil {
			panic(err)
		}
		r, err := domainstate.DecodeDesiredVersionResult(state.Apply(1, cmd))
		if err != nil {
			panic(err)
		}
		fmt.Println(r.Version, r.Changed)
	}
	// Output:
	// 4 true
	// 4 false
}
