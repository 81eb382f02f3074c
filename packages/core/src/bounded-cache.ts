/**
Caches of the entries used last. Their memory grows with the entries that they have, while a cache with `max` takes all of it when it is
created, which costs a small host a noticeable part of its start.
*/
import {LRUCache} from 'lru-cache';

/** Creates a cache that drops the entry used longest ago beyond `maximumEntries`. */
export function createBoundedCache<Key extends string, Value extends NonNullable<unknown>>(maximumEntries: number): LRUCache<Key, Value> {
	return new LRUCache({maxSize: maximumEntries, sizeCalculation: () => 1});
}
