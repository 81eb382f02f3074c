/**
Reads the body of a request. A body in one piece is kept as it is. The bytes of more pieces are stored once, in blocks that are used again, so
that neither the number of its chunks nor garbage adds to what a body holds.
*/
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {releaseBytes} from './released-bytes.js';

export type ReadResult
	= | Readonly<{kind: 'complete'; body: Uint8Array}>
		| Readonly<{kind: 'tooLarge'}>
		/** The caller has disconnected, or the body was discarded. */
		| Readonly<{kind: 'aborted'}>;

export type BodyReading = Readonly<{
	result: Promise<ReadResult>;
	/** Drops what is stored and ignores the rest of the body. */
	discard(): void;
}>;

export type BodyReader = Readonly<{
	/** Reads a body of at most `maximumBytes`. `onHeld` is called whenever the stored bytes take more memory. */
	read(message: IncomingMessage, maximumBytes: number, onHeld: (bytes: number) => void): BodyReading;
}>;

const blockBytes = 16_384;
/** Number of unused blocks that are kept for other bodies. */
const maximumUnusedBlocks = 256;

/** Creates a reader without blocks. */
export function createBodyReader(): BodyReader {
	const unusedBlocks: Uint8Array[] = [];

	function takeBlock(): Uint8Array {
		return unusedBlocks.pop() ?? Buffer.allocUnsafeSlow(blockBytes);
	}

	function releaseBlocks(blocks: Uint8Array[]): void {
		unusedBlocks.push(...blocks.splice(0).slice(0, maximumUnusedBlocks - unusedBlocks.length));
	}

	return {
		read(message, maximumBytes, onHeld) {
			const blocks: Uint8Array[] = [];
			/** The only piece, while there is one. */
			let onlyPiece: Uint8Array | undefined;
			let size = 0;
			let isDone = false;
			const {promise, resolve} = createDeferred<ReadResult>();

			function end(result: ReadResult): void {
				if (!isDone) {
					isDone = true;
					onlyPiece = undefined;
					releaseBlocks(blocks);
					resolve(result);
				}
			}

			function addToBlocks(piece: Uint8Array, offset: number): void {
				let position = 0;
				while (position < piece.length) {
					const start = (offset + position) % blockBytes;
					if (start === 0) {
						blocks.push(takeBlock());
						onHeld(blocks.length * blockBytes);
						if (isDone) {
							return;
						}
					}

					const part = piece.subarray(position, position + blockBytes - start);
					blocks.at(-1)?.set(part, start);
					position += part.length;
				}
			}

			function movePieceToBlocks(piece: Uint8Array, offset: number): void {
				addToBlocks(piece, offset);
				releaseBytes(piece);
			}

			function handleData(piece: Uint8Array): void {
				if (!isDone && size + piece.length > maximumBytes) {
					end({kind: 'tooLarge'});
				}

				if (isDone) {
					releaseBytes(piece);
					return;
				}

				const offset = size;
				size += piece.length;
				if (offset === 0) {
					onlyPiece = piece;
					onHeld(piece.length);
				} else {
					if (onlyPiece !== undefined) {
						movePieceToBlocks(onlyPiece, 0);
						onlyPiece = undefined;
					}

					movePieceToBlocks(piece, offset);
				}
			}

			message.on('data', handleData);
			message.once('end', () => {
				if (!isDone) {
					end({kind: 'complete', body: onlyPiece ?? Buffer.concat(blocks, size)});
				}
			});
			message.on('error', () => {
				end({kind: 'aborted'});
			});
			message.once('close', () => {
				end({kind: 'aborted'});
			});
			return {
				result: promise,
				discard() {
					end({kind: 'aborted'});
				},
			};
		},
	};
}

function createDeferred<Value>(): Readonly<{promise: Promise<Value>; resolve: (value: Value) => void}> {
	let resolve: (value: Value) => void = () => undefined;
	const promise = new Promise<Value>(resolvePromise => {
		resolve = resolvePromise;
	});
	return {promise, resolve};
}
