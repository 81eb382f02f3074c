/**
Seeded random numbers, so that every decision can be replayed.
*/
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A seeded source of random numbers. */
export type Random = Readonly<{
	/** Returns a number from 0 up to but without 1. */
	getFraction(): number;
	/** Returns an integer from 0 up to but without `limit`. */
	getInteger(limit: number): number;
}>;

/** Creates a generator whose numbers depend on `seed` alone. */
export function createRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	return {
		getFraction: () => uniformFloat64(generator),
		getInteger: limit => uniformInt(generator, 0, limit - 1),
	};
}
