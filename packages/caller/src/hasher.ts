/**
String hashes: xxHash for speed, SHA-256 where collisions must be infeasible.
*/
import {createHash} from 'node:crypto';
import xxhash from 'xxhash-wasm';

export type Hasher = Readonly<{
	/** Returns a 32-bit xxHash, which is fast and well distributed. */
	getHash(text: string): number;
	/** Returns a 64-bit xxHash in hexadecimal. */
	getLongHash(text: string): string;
}>;

/** Loads the WebAssembly module with the hash functions. */
export async function createHasher(): Promise<Hasher> {
	const {h32, h64ToString} = await xxhash();
	return {getHash: text => h32(text), getLongHash: text => h64ToString(text)};
}

/** Returns the SHA-256 digest of a string in lower-case hexadecimal. */
export function getSha256(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}
