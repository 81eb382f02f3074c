/**
Passes on the bodies of responses by what was read at once, however small the pieces are into which their senders cut them. A piece takes
an object and a turn of all that handles it, so that many small ones weigh far more than their bytes.
*/
import {Buffer} from 'node:buffer';
import {createByteBuffer} from '@currantcross/core/byte-buffer';
import {toError} from '@currantcross/core/error-text';
import type {Dispatcher} from 'undici';
import {createWrappedController} from './wrapped-controller.js';

/** Joins the pieces of what was read at once. */
type PieceBuffer = Readonly<{
	/** Adds a piece. Returns whether it is the first one since the last were taken. */
	add(piece: Uint8Array): boolean;
	/** Takes what was added, `undefined` if nothing was. */
	tryTake(): Uint8Array | undefined;
}>;

function createPieceBuffer(): PieceBuffer {
	/** The only piece, while there is one. */
	let onlyPiece: Uint8Array | undefined;
	const joined = createByteBuffer();

	return {
		add(piece) {
			if (onlyPiece === undefined && joined.getLength() === 0) {
				onlyPiece = piece;
				return true;
			}

			if (onlyPiece !== undefined) {
				joined.add(onlyPiece);
				onlyPiece = undefined;
			}

			joined.add(piece);
			return false;
		},
		tryTake() {
			if (joined.getLength() === 0) {
				const piece = onlyPiece;
				onlyPiece = undefined;
				return piece;
			}

			const bytes = new Uint8Array(joined.getBytes());
			joined.removeFirst(bytes.length);
			return bytes;
		},
	};
}

type JoinedBody = Readonly<{
	/** Controller for the handler of the response. */
	controller: Dispatcher.DispatchController;
	add(piece: Uint8Array): void;
	/** Passes on what was added. */
	deliver(): void;
}>;

/** Joins the pieces of a body and passes them to `handle`, also of what arrives after a pause, which the parser notices late. */
function createJoinedBody(controller: Dispatcher.DispatchController, handle: (controller: Dispatcher.DispatchController, bytes: Uint8Array) => void): JoinedBody {
	const pieces = createPieceBuffer();
	let isPaused = false;

	function deliver(): void {
		const bytes = pieces.tryTake();
		if (bytes !== undefined) {
			handle(wrapped, bytes);
		}
	}

	/** Passes on what was added unless the response is paused. An error of the handler ends the response. */
	function deliverUnlessPaused(): void {
		if (isPaused) {
			return;
		}

		try {
			deliver();
		} catch (error) {
			controller.abort(toError(error));
		}
	}

	const wrapped = createWrappedController(controller, {
		isPaused: () => isPaused,
		pause() {
			isPaused = true;
			controller.pause();
		},
		resume() {
			isPaused = false;
			deliverUnlessPaused();
			if (!wrapped.paused) {
				controller.resume();
			}
		},
	});
	return {
		controller: wrapped,
		add(piece) {
			if (pieces.add(piece)) {
				// Runs once undici has parsed all that was read.
				queueMicrotask(deliverUnlessPaused);
			}
		},
		deliver,
	};
}

/** Creates an interceptor that joins the pieces of each body that are read at once. */
export function createPieceInterceptor(): Dispatcher.DispatcherComposeInterceptor {
	return dispatch => (options, handler) => {
		let body: JoinedBody | undefined;
		const getBody = (controller: Dispatcher.DispatchController): JoinedBody => {
			body ??= createJoinedBody(controller, (joinedController, bytes) => {
				handler.onResponseData?.(joinedController, Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length));
			});
			return body;
		};

		return dispatch(options, {
			onRequestStart(controller, context) {
				handler.onRequestStart?.(getBody(controller).controller, context);
			},
			onResponseStart(controller, statusCode, headers, statusMessage) {
				handler.onResponseStart?.(getBody(controller).controller, statusCode, headers, statusMessage);
			},
			onResponseData(controller, piece) {
				getBody(controller).add(piece);
			},
			onResponseEnd(controller, trailers) {
				getBody(controller).deliver();
				handler.onResponseEnd?.(getBody(controller).controller, trailers);
			},
			onResponseError(controller, error) {
				getBody(controller).deliver();
				handler.onResponseError?.(getBody(controller).controller, error);
			},
		});
	};
}
