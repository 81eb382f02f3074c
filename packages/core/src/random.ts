/**
Seeded random number generation, which makes decisions reproducible.
*/
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A seeded random number generator. */
export type Random = Readonly<{
	/** Returns a number from 0 (inclusive) to 1 (exclusive). */
	getFraction(): number;
	/** Returns an integer from 0 (inclusive) to `limit` (exclusive). */
	getInteger(limit: number): number;
}>;

/** Creates a generator whose sequence depends only on `seed`. */
export function createRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	return {
		getFraction: () => uniformFloat64(generator),
		getInteger: limit => uniformInt(generator, 0, limit - 1),
	};
}
