import process from 'node:process';
import {expect, test} from 'vitest';
import {createBoundedCache} from './bounded-cache.js';

test('drops the entries that were used longest ago, beyond the maximum', () => {
	const cache = createBoundedCache<string, number>(3);
	for (const [index, key] of ['a', 'b', 'c', 'a', 'd', 'e'].entries()) {
		cache.set(key, index);
	}

	expect([...cache]).toEqual([['e', 5], ['d', 4], ['a', 3]]);
	cache.get('a');
	cache.set('f', 6);
	cache.delete('e');
	cache.set('g', 7);
	expect([...cache.keys()]).toEqual(['g', 'f', 'a']);
	expect(cache.size).toBe(3);
});

// Guards against caches that take the memory of all their entries, and the time to allocate it, at the start of a process.
test('takes no memory for entries that it does not have', () => {
	const before = process.memoryUsage();
	const caches = Array.from({length: 20}, () => createBoundedCache<string, number>(100_000));
	const after = process.memoryUsage();
	expect(caches.length).toBe(20);
	expect(after.arrayBuffers + after.heapUsed - before.arrayBuffers - before.heapUsed).toBeLessThan(10_000_000);
});
