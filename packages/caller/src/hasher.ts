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
	/** Returns a 64-bit xxHash of a text followed by bytes, in hexadecimal. */
	getContentHash(text: string, bytes: Uint8Array): string;
}>;

const longHashDigits = 16;

/** Loads the WebAssembly module with the hash functions. */
export async function createHasher(): Promise<Hasher> {
	const {h32, h64ToString, create64} = await xxhash();
	return {
		getHash: text => h32(text),
		getLongHash: text => h64ToString(text),
		getContentHash: (text, bytes) => create64().update(text).update(bytes).digest().toString(16).padStart(longHashDigits, '0'),
	};
}

/** Returns the SHA-256 digest of a string in lower-case hexadecimal. */
export function getSha256(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}
