/**
Generated bodies in pieces of all lengths. CURRANTCROSS_SEED and CURRANTCROSS_RUNS set another seed and number of runs.
*/
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import process from 'node:process';
import {Readable} from 'node:stream';
import {finished} from 'node:stream/promises';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createBodyReader} from './body-reader.js';

const parameters = {
	seed: Number(process.env.CURRANTCROSS_SEED ?? '20261206'), numRuns: Number(process.env.CURRANTCROSS_RUNS ?? '100'),
};
const maximumBytes = 100_000;

function createMessage(pieces: readonly Uint8Array[]): IncomingMessage {
	return Readable.from(pieces, {objectMode: false}) as unknown as IncomingMessage; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion -- only the stream is read
}

test(`a body is what was sent, in pieces of any lengths, with blocks that other bodies used (seed ${parameters.seed})`, async () => {
	const reader = createBodyReader();
	const lengths = fc.array(fc.oneof(fc.constant(1), fc.integer({min: 1, max: 40_000}), fc.constant(16_384)), {maxLength: 8});
	await fc.assert(fc.asyncProperty(lengths, fc.nat({max: 255}), async (pieceLengths, start) => {
		const pieces = pieceLengths.map((length, index) => Buffer.from(Array.from({length}, (_, position) => (start + index + position) % 256)));
		const expected = Buffer.concat(pieces);
		let heldBytes = 0;
		const result = await reader.read(createMessage(pieces), maximumBytes, bytes => {
			heldBytes = bytes;
		}).result;
		if (expected.length > maximumBytes) {
			expect(result).toEqual({kind: 'tooLarge'});
			return;
		}

		expect(result.kind === 'complete' && expected.equals(result.body)).toBe(true);
		expect(heldBytes).toBeGreaterThanOrEqual(expected.length);
		expect(heldBytes).toBeLessThan(expected.length + 16_384);
	}), parameters);
});

test('a body that is discarded ends as aborted, and the rest of it is ignored', async () => {
	const reader = createBodyReader();
	const message = createMessage([Buffer.alloc(20_000), Buffer.alloc(20_000), Buffer.alloc(20_000)]);
	const calls: number[] = [];
	const reading = reader.read(message, maximumBytes, bytes => {
		calls.push(bytes);
		if (bytes > 20_000) {
			reading.discard();
		}
	});
	expect(await reading.result).toEqual({kind: 'aborted'});
	expect(calls.filter(bytes => bytes > 20_000)).toHaveLength(1);
});

// Guards against pieces that take memory beside the blocks, or after their body was refused, until a garbage collection.
test('the memory of large pieces is released once they are stored, and that of a body that is too large at once', async () => {
	const reader = createBodyReader();
	const stored = [Buffer.alloc(20_000, 'a'), Buffer.alloc(20_000, 'b')];
	const result = await reader.read(createMessage(stored), maximumBytes, () => undefined).result;
	expect(result.kind === 'complete' && Buffer.from(result.body).equals(Buffer.concat([Buffer.alloc(20_000, 'a'), Buffer.alloc(20_000, 'b')]))).toBe(true);
	expect(stored.map(piece => piece.length)).toEqual([0, 0]);
	const refused = [Buffer.alloc(maximumBytes), Buffer.alloc(20_000), Buffer.alloc(20_000)];
	const message = createMessage(refused);
	expect(await reader.read(message, maximumBytes, () => undefined).result).toEqual({kind: 'tooLarge'});
	await finished(message);
	expect(refused.slice(1).map(piece => piece.length)).toEqual([0, 0]);
});

test('a body in one piece is kept as it is', async () => {
	const piece = Buffer.alloc(20_000, 'a');
	const result = await createBodyReader().read(createMessage([piece]), maximumBytes, () => undefined).result;
	expect(result.kind === 'complete' && result.body === piece).toBe(true);
	expect(piece.length).toBe(20_000);
});
