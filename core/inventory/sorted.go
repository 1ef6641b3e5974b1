package inventory

import (
	"slices"
	"strings"
)

// search returns the index of key in the sorted items, or where it would be
// inserted, and whether it was found.
func search[T any](items []*T, key string, keyOf func(*T) string) (int, bool) {
	return slices.BinarySearchFunc(items, key, func(item *T, key string) int {
		return strings.Compare(keyOf(item), key)
	})
}

// find returns the item with the given key, or nil.
func find[T any](items []*T, key string, keyOf func(*T) string) *T {
	i, ok := search(items, key, keyOf)
	if !ok {
		return nil
	}
	return items[i]
}

// put returns a copy of items to which item is added, or in which it replaces
// the item with the same key.
func put[T any](items []*T, item *T, keyOf func(*T) string) []*T {
	i, ok := search(items, keyOf(item), keyOf)
	if ok {
		next := slices.Clone(items)
		next[i] = item
		return next
	}
	next := make([]*T, 0, len(items)+1)
	next = append(next, items[:i]...)
	next = append(next, item)
	return append(next, items[i:]...)
}

// remove returns a copy of items without the one with the given key, and whether
// it was found.
func remove[T any](items []*T, key string, keyOf func(*T) string) ([]*T, bool) {
	i, ok := search(items, key, keyOf)
	if !ok {
		return items, false
	}
	return slices.Concat(items[:i], items[i+1:]), true
}
