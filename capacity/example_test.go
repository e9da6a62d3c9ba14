package capacity_test

import (
	"fmt"
	"time"

	"fuchsiaflow/capacity"
)

func Example() {
	now := time.Unix(0, 0)
	e := capacity.NewEstimator(8, 0)
	for range 20 { // a target that runs two requests at full speed
		for n := 1; n <= 4; n++ {
			now = now.Add(25 * time.Millisecond)
			latency := 20 * time.Millisecond * time.Duration(max(n, 2)) / 2
			e.RecordResult(now, float64(n), latency)
		}
	}
	fmt.Printf("latency %.0f ms, beside three others %.0f ms, worthwhile: %.0f\n", 1000*e.Latency(now, 0), 1000*e.Expected(now, 3, 0), e.Knee())
	// Output: latency 21 ms, beside three others 37 ms, worthwhile: 2
}
