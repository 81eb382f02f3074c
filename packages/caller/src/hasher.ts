/**
Hashes of texts, by xxHash and SHA-256.
*/
import {createHash} from 'node:crypto';
import xxhash from 'xxhash-wasm';

export type Hasher = Readonly<{
	/** Returns a fast, well-mixed 32-bit hash. */
	getHash(text: string): number;
	/** Returns a fast 64-bit hash in hexadecimal. */
	getLongHash(text: string): string;
}>;

/** Loads the hash functions. */
export async function createHasher(): Promise<Hasher> {
	const {h32, h64ToString} = await xxhash();
	return {getHash: text => h32(text), getLongHash: text => h64ToString(text)};
}

/** Returns the SHA-256 of a text in lower-case hexadecimal. */
export function getSha256(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}
