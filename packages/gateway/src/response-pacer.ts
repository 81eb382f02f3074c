/**
Reads responses no faster than their budget allows, so that a server which sends very small pieces, or events, or framing without end leaves
the event loop to the others. One that exceeds it is not read for a while, in which its window closes. What was read at once is parsed at once.
*/
import {createReadBudget, getReadUnits} from '@currantcross/core/read-budget';
import {createWrappedController, findInnerController} from '@currantcross/endpoint/wrapped-controller';
import type {Dispatcher} from 'undici';

export type ResponsePacerHost = Readonly<{
	/** Share of a processor that the process has. */
	processorShare: number;
	/** Returns the number of bytes that were read from the connection whose response is being parsed, framing included. */
	getReadBytes(): number;
}>;

export type ResponsePacer = Readonly<{
	/** Interceptor of all requests of a client. */
	intercept: Dispatcher.DispatcherComposeInterceptor;
	/** Returns whether a response comes in so many small pieces that it is more than its budget allows. */
	isFragmented(controller: Dispatcher.DispatchController): boolean;
}>;

type PacedController = Readonly<{
	controller: Dispatcher.DispatchController;
	/** Begins the pacing of a response whose head is parsed. */
	start(): void;
	recordPiece(piece: Uint8Array): void;
	/** Ends the pacing of a response that is complete or has failed. */
	end(): void;
}>;

/** Mean length of the pieces below which a response counts as fragmented. */
const smallPieceBytes = 64;

/** For a server that sends some thousands of pieces a second on a connection. */
const budgetSettings = {burstUnits: 2048, ownUnitsPerSecond: 4000} as const;
/** Units a second beyond the allowance of each response, for a whole processor. */
const sharedUnitsPerSecond = 150_000;

/** Creates the pacer of a client. */
export function createResponsePacer({processorShare, getReadBytes}: ResponsePacerHost): ResponsePacer {
	const budget = createReadBudget({...budgetSettings, sharedUnitsPerSecond: sharedUnitsPerSecond * Math.min(1, processorShare)});
	const fragmentedControllers = new WeakSet<Dispatcher.DispatchController>();

	/** Returns the controller for the handler of a response, whose own pauses add to those of the pacer. */
	function createPacedController(controller: Dispatcher.DispatchController): PacedController {
		const allowance = budget.createAllowance();
		let isPausedByHandler = false;
		let turnTimer: NodeJS.Timeout | undefined;
		let hasEnded = false;
		let pieces = 0;
		let bytes = 0;
		/** What was read from the connection by the end of the last turn, and by this one. */
		let recordedReadBytes = 0;
		let readBytes = 0;

		function pause(): void {
			if (!hasEnded) {
				controller.pause();
			}
		}

		function resumeIfFree(): void {
			if (!isPausedByHandler && turnTimer === undefined && !hasEnded) {
				controller.resume();
			}
		}

		/** Ends a turn, after which the response is not read for a while if it is more than its budget allows. */
		function endTurn(): void {
			const waitMs = allowance.record(getReadUnits(pieces, Math.max(bytes, readBytes - recordedReadBytes)), performance.now());
			if (bytes >= pieces * smallPieceBytes) {
				fragmentedControllers.delete(paced);
			} else if (waitMs > 0) {
				fragmentedControllers.add(paced);
			}

			pieces = 0;
			bytes = 0;
			recordedReadBytes = readBytes;
			// A piece that the parser passes on before it notices the pause doesn't shorten it.
			if (!hasEnded && waitMs > 0 && turnTimer === undefined) {
				pause();
				turnTimer = setTimeout(() => {
					turnTimer = undefined;
					resumeIfFree();
				}, waitMs);
			}
		}

		const paced = createWrappedController(controller, {
			isPaused: () => isPausedByHandler,
			pause() {
				isPausedByHandler = true;
				pause();
			},
			resume() {
				isPausedByHandler = false;
				resumeIfFree();
			},
		});
		return {
			controller: paced,
			start() {
				recordedReadBytes = getReadBytes();
			},
			recordPiece(piece) {
				pieces += 1;
				bytes += piece.length;
				readBytes = getReadBytes();
				if (pieces === 1) {
					// Runs once undici has parsed all that was read.
					queueMicrotask(endTurn);
				}
			},
			end() {
				hasEnded = true;
				clearTimeout(turnTimer);
			},
		};
	}

	return {
		intercept: dispatch => (options, handler) => {
			let paced: PacedController | undefined;
			const getPaced = (controller: Dispatcher.DispatchController): PacedController => {
				paced ??= createPacedController(controller);
				return paced;
			};

			return dispatch(options, {
				onRequestStart(controller, context) {
					handler.onRequestStart?.(getPaced(controller).controller, context);
				},
				onResponseStart(controller, statusCode, headers, statusMessage) {
					getPaced(controller).start();
					handler.onResponseStart?.(getPaced(controller).controller, statusCode, headers, statusMessage);
				},
				onResponseData(controller, piece) {
					getPaced(controller).recordPiece(piece);
					handler.onResponseData?.(getPaced(controller).controller, piece);
				},
				onResponseEnd(controller, trailers) {
					getPaced(controller).end();
					handler.onResponseEnd?.(getPaced(controller).controller, trailers);
				},
				onResponseError(controller, error) {
					getPaced(controller).end();
					handler.onResponseError?.(getPaced(controller).controller, error);
				},
			});
		},
		isFragmented(controller) {
			let inner: Dispatcher.DispatchController | undefined = controller;
			while (inner !== undefined && !fragmentedControllers.has(inner)) {
				inner = findInnerController(inner);
			}

			return inner !== undefined;
		},
	};
}
