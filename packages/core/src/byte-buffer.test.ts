import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {expect, test, vi} from 'vitest';
import {createByteBuffer, createByteStore} from './byte-buffer.js';

const pieces = fc.array(fc.uint8Array({maxLength: 9000}), {maxLength: 40});

test('a buffer holds what was added and not removed, for any division into pieces', () => {
	fc.assert(fc.property(fc.array(fc.tuple(fc.uint8Array({maxLength: 700}), fc.nat({max: 900}))), steps => {
		const buffer = createByteBuffer();
		let expected = Buffer.alloc(0);
		for (const [piece, removed] of steps) {
			buffer.add(piece);
			expected = Buffer.concat([expected, piece]);
			const count = Math.min(removed, expected.length);
			buffer.removeFirst(count);
			expected = expected.subarray(count);
			expect(Buffer.from(buffer.getBytes()).equals(expected)).toBe(true);
			expect(buffer.getLength()).toBe(expected.length);
		}
	}), {seed: 49, numRuns: 200});
});

// Guards against bytes that are moved again with each piece that arrives.
test('a buffer from which nothing is removed moves no bytes', () => {
	const buffer = createByteBuffer();
	const copyWithin = vi.spyOn(Uint8Array.prototype, 'copyWithin');
	for (let count = 0; count < 1000; count += 1) {
		buffer.add(new Uint8Array([count]));
		buffer.removeFirst(0);
	}

	expect(copyWithin).not.toHaveBeenCalled();
	copyWithin.mockRestore();
	expect(buffer.getLength()).toBe(1000);
});

test('a store holds what was added in its order, for any division into pieces', () => {
	fc.assert(fc.property(pieces, parts => {
		const store = createByteStore();
		for (const part of parts) {
			store.add(part);
		}

		expect(Buffer.concat(store.getParts()).equals(Buffer.concat(parts))).toBe(true);
	}), {seed: 49, numRuns: 200});
});

// Guards against bytes that take an object each as long as they are held.
test('a store of 100,000 pieces of one byte has fewer than ten parts', () => {
	const store = createByteStore();
	for (let count = 0; count < 100_000; count += 1) {
		store.add(new Uint8Array([count]));
	}

	expect(store.getParts().length).toBeLessThan(10);
});
