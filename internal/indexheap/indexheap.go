// Package indexheap has a heap whose elements know their index, so that any of them can be moved or removed.
package indexheap

// Order orders the elements of a heap and tells them their index. Its zero value is used.
type Order[T any] interface {
	// Before reports whether a comes before b.
	Before(a, b T) bool
	// SetIndex records the index of an element; -1 if it is no longer in the heap.
	SetIndex(element T, index int)
}

// Heap implements heap.Interface of package container/heap. The first element is the minimum of the order.
type Heap[T any, O Order[T]] []T

// Len implements sort.Interface.
func (h Heap[T, O]) Len() int { return len(h) }

// Less implements sort.Interface.
func (h Heap[T, O]) Less(i, j int) bool {
	var order O
	return order.Before(h[i], h[j])
}

// Swap implements sort.Interface.
func (h Heap[T, O]) Swap(i, j int) {
	var order O
	h[i], h[j] = h[j], h[i]
	order.SetIndex(h[i], i)
	order.SetIndex(h[j], j)
}

// Push implements heap.Interface.
func (h *Heap[T, O]) Push(x any) {
	var order O
	element := x.(T)
	order.SetIndex(element, len(*h))
	*h = append(*h, element)
}

// Pop implements heap.Interface.
func (h *Heap[T, O]) Pop() any {
	var order O
	var none T
	last := len(*h) - 1
	element := (*h)[last]
	(*h)[last] = none // lets the element be freed
	*h = (*h)[:last]
	order.SetIndex(element, -1)
	return element
}
