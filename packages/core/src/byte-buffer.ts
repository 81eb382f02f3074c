/**
Stores bytes that arrive in pieces. What is stored takes memory for its bytes, not for the pieces in which they came.
*/

/** Bytes in one block, which grows with them. */
export type ByteBuffer = Readonly<{
	add(piece: Uint8Array): void;
	/** Returns the stored bytes, which stay valid until the next change. */
	getBytes(): Uint8Array;
	removeFirst(count: number): void;
	getLength(): number;
}>;

/** Bytes in blocks of limited size, which aren't moved when more are added. */
export type ByteStore = Readonly<{
	/** Adds a piece. A large one is kept as it is, without a copy. */
	add(piece: Uint8Array): void;
	getParts(): readonly Uint8Array[];
}>;

const minimumBlockBytes = 256;
const maximumBlockBytes = 16_384;
/** Length from which on a piece is kept as it is. */
const largePieceBytes = 4096;

/** Creates an empty buffer. */
export function createByteBuffer(): ByteBuffer {
	let block = new Uint8Array(0);
	let length = 0;

	return {
		add(piece) {
			if (length + piece.length > block.length) {
				const larger = new Uint8Array(Math.max(minimumBlockBytes, 2 * (length + piece.length)));
				larger.set(block.subarray(0, length));
				block = larger;
			}

			block.set(piece, length);
			length += piece.length;
		},
		getBytes: () => block.subarray(0, length),
		removeFirst(count) {
			if (count === 0) {
				return;
			}

			block.copyWithin(0, count, length);
			length -= count;
			if (length === 0) {
				block = new Uint8Array(0);
			}
		},
		getLength: () => length,
	};
}

/** Creates an empty store. */
export function createByteStore(): ByteStore {
	const parts: Uint8Array[] = [];
	let block = new Uint8Array(0);
	let length = 0;

	/** Makes what is in the block a part of its own. */
	function closeBlock(): void {
		if (length > 0) {
			parts.push(block.subarray(0, length));
			block = new Uint8Array(0);
			length = 0;
		}
	}

	function addToBlock(piece: Uint8Array): void {
		if (length + piece.length > maximumBlockBytes) {
			closeBlock();
		}

		if (length + piece.length > block.length) {
			const larger = new Uint8Array(Math.min(maximumBlockBytes, Math.max(minimumBlockBytes, 2 * (length + piece.length))));
			larger.set(block.subarray(0, length));
			block = larger;
		}

		block.set(piece, length);
		length += piece.length;
	}

	return {
		add(piece) {
			if (piece.length >= largePieceBytes) {
				closeBlock();
				parts.push(piece);
			} else {
				addToBlock(piece);
			}
		},
		getParts: () => length === 0 ? parts : [...parts, block.subarray(0, length)],
	};
}
