package indexheap

import (
	"container/heap"
	"testing"
)

type number struct{ value, index int }

type ascending struct{}

func (ascending) Before(a, b *number) bool  { return a.value < b.value }
func (ascending) SetIndex(n *number, i int) { n.index = i }

// Guards against elements that do not know where they are, so that another one is removed in their place.
func TestElementsKnowTheirIndex(t *testing.T) {
	var h Heap[*number, ascending]
	var numbers []*number
	for i := range 50 {
		n := &number{value: i * 37 % 50}
		numbers = append(numbers, n)
		heap.Push(&h, n)
	}
	for _, n := range numbers[:20] {
		if h[n.index] != n {
			t.Fatalf("%d is not at %d", n.value, n.index)
		}
		heap.Remove(&h, n.index)
		if n.index != -1 {
			t.Errorf("%d has the index %d after its removal", n.value, n.index)
		}
	}
	for previous := -1; len(h) > 0; {
		n := heap.Pop(&h).(*number)
		if n.value <= previous || n.index != -1 {
			t.Fatalf("%d at %d after %d", n.value, n.index, previous)
		}
		previous = n.value
	}
}
