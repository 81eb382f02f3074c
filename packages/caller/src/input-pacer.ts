/**
Passes what callers send to the HTTP parser in parts of limited cost, and no faster than a budget allows, so that the others get their turn.

Answers callers that send bodies in chunks of a few bytes, or whatever else costs the parser far more than its bytes. The cost is counted in
lines, of which each chunk and each field of a head has some. What waits, waits as it was read, and meanwhile the connection isn't read.
*/
import type {Socket} from 'node:net';
import {noDelays, type ArrivalDelays} from '@currantcross/core/arrival-delays';
import {waitForReads} from '@currantcross/core/loop-monitor';
import {createReadBudget, type ReadAllowance} from '@currantcross/core/read-budget';
import type {Milliseconds, Timestamp} from '@currantcross/core/types';
import {releaseBytes} from './released-bytes.js';

export type PacedInput = Readonly<{
	/** Returns the bytes that were read and wait to be parsed. */
	getWaitingBytes(): number;
	/** Waits until the connection isn't held, so that the loop reads its close, for `maximumMs` at most. Returns whether that is so. */
	waitForRelease(maximumMs: Milliseconds): Promise<boolean>;
	/** Returns how long what is parsed now may have waited. */
	getDelays(): ArrivalDelays;
}>;

export type InputPacerHost = Readonly<{
	/** Share of a processor that the process has. */
	processorShare: number;
	/** Returns the longest time that data on an accepted connection which is read now can have waited. */
	getUnreadMs(): Milliseconds;
	/** Returns the longest time that a connection which is accepted now can have waited. */
	getUnacceptedMs(): Milliseconds;
}>;

export type InputPacer = Readonly<{
	/** Paces a connection of an HTTP server, before anything was read from it. */
	add(socket: Socket): PacedInput;
}>;

/** Lines that are parsed in one turn of the event loop. */
const linesPerTurn = 1024;
/** For a caller that sends some requests a second, in chunks not much smaller than its packets. */
const budgetSettings = {burstUnits: 4096, ownUnitsPerSecond: 500} as const;
/** Lines a second beyond the allowance of each connection, for a whole processor. */
const sharedLinesPerSecond = 250_000;
/** Shorter times aren't waited for until they have added up. */
const minimumWaitMs = 2;
const lineFeed = 10;
/** Size of the buffer into which Node.js reads. A read that doesn't fill it has emptied the socket. */
const readBufferBytes = 65_536;

/** Returns the end of the part that begins at `start` and is parsed next, and the number of its lines. */
function getNextPart(bytes: Uint8Array, start: number): Readonly<{end: number; lines: number}> {
	let end = start;
	for (let lines = 0; lines < linesPerTurn; lines += 1) {
		end = bytes.indexOf(lineFeed, end) + 1;
		if (end === 0) {
			return {end: bytes.length, lines};
		}
	}

	return {end, lines: linesPerTurn};
}

type ReadDelays = Readonly<{acceptMs: Milliseconds; heldMs: Milliseconds; unreadMs: Milliseconds}>;

type HoldableReading = Readonly<{
	hold(): void;
	release(): void;
	waitForRelease(maximumMs: Milliseconds): Promise<boolean>;
	/** Records a read and returns how long what it brought may have waited. */
	recordRead(byteCount: number): ReadDelays;
}>;

/** Why a connection may not have been read, and since when. */
type Gap = Readonly<{cause: 'accept' | 'hold'; since: Timestamp}>;

/** Lets a connection be held, in which time it isn't read, whatever its server asks for. */
function createHoldableReading(socket: Socket, host: InputPacerHost): HoldableReading {
	const pause = socket.pause.bind(socket);
	const resume = socket.resume.bind(socket);
	const releaseListeners = new Set<() => void>();
	let isHeld = false;
	let isWanted = true;
	let gap: Gap | undefined;
	let readCount = 0;

	/** Ends the gap once the loop has had the occasion to read and there was nothing. */
	function waitForFirstRead(): void {
		const countBefore = readCount;
		waitForReads(() => {
			if (readCount === countBefore && !isHeld) {
				gap = undefined;
			}
		});
	}

	const unacceptedMs = host.getUnacceptedMs();
	if (unacceptedMs > 0) {
		gap = {cause: 'accept', since: performance.now() - unacceptedMs};
		waitForFirstRead();
	}

	socket.pause = () => {
		isWanted = false;
		return pause();
	};

	socket.resume = () => {
		isWanted = true;
		return isHeld ? socket : resume();
	};

	return {
		hold() {
			gap ??= {cause: 'hold', since: performance.now()};
			isHeld = true;
			pause();
		},
		release() {
			if (isHeld) {
				waitForFirstRead();
			}

			isHeld = false;
			if (isWanted) {
				resume();
			}

			for (const handleRelease of releaseListeners) {
				handleRelease();
			}
		},
		async waitForRelease(maximumMs) {
			if (!isHeld) {
				return true;
			}

			return new Promise(resolve => {
				const end = (): void => {
					clearTimeout(timer);
					releaseListeners.delete(end);
					socket.off('close', end);
					resolve(!isHeld || socket.destroyed);
				};

				const timer = setTimeout(end, maximumMs);
				releaseListeners.add(end);
				socket.once('close', end);
			});
		},
		recordRead(byteCount) {
			readCount += 1;
			const gapMs = gap === undefined ? 0 : performance.now() - gap.since;
			const delays: ReadDelays = {
				acceptMs: gap?.cause === 'accept' ? gapMs : 0, heldMs: gap?.cause === 'hold' ? gapMs : 0, unreadMs: host.getUnreadMs(),
			};
			if (byteCount < readBufferBytes && !isHeld) {
				gap = undefined;
			}

			return delays;
		},
	};
}

/** The HTTP parser of a connection. */
type InputParser = Readonly<{parse(bytes: Uint8Array): void; finish(): void}>;

/** When something was read, and how long it may have waited before. */
type ReadTimes = Readonly<{readAt: Timestamp; delays: ReadDelays}>;

type Read = Readonly<{bytes: Uint8Array; times: ReadTimes}>;

/** Paces what a connection passes to its parser, also its end, which may be read while bytes wait. */
function createPacedInput(socket: Socket, {parse, finish}: InputParser, allowance: ReadAllowance, host: InputPacerHost): PacedInput {
	const reading = createHoldableReading(socket, host);
	/** What was read and isn't parsed completely. */
	let waiting: Read[] = [];
	/** Times of the read of which a part is parsed now, or was parsed last. */
	let parsedTimes: ReadTimes | undefined;
	/** Bytes of the first read that are parsed. */
	let parsedBytes = 0;
	let hasEnded = false;
	let cancelTurn = (): void => undefined;

	function removeWaiting(): void {
		waiting = [];
		parsedBytes = 0;
	}

	function runTurn(): void {
		const [read, ...others] = waiting;
		if (read === undefined) {
			reading.release();
			return;
		}

		const {bytes, times} = read;
		parsedTimes = times;
		const {end, lines} = getNextPart(bytes, parsedBytes);
		const part = bytes.subarray(parsedBytes, end);
		const isLastPart = end === bytes.length;
		waiting = isLastPart ? others : waiting;
		parsedBytes = isLastPart ? 0 : end;
		parse(part);
		if (isLastPart) {
			// The parser has copied what it passes on.
			releaseBytes(bytes);
		}

		if (socket.destroyed) {
			removeWaiting();
			return;
		}

		const waitMs = allowance.record(lines, performance.now());
		if (waiting.length === 0) {
			if (hasEnded) {
				finish();
			}

			// What exceeds the allowance is waited for with the next read. Until then the caller's close may arrive.
			reading.release();
			return;
		}

		reading.hold();
		if (waitMs >= minimumWaitMs) {
			const timer = setTimeout(runTurn, waitMs);
			cancelTurn = () => {
				clearTimeout(timer);
			};
		} else {
			const immediate = setImmediate(runTurn);
			cancelTurn = () => {
				clearImmediate(immediate);
			};
		}
	}

	socket.on('data', (bytes: Uint8Array) => {
		waiting.push({bytes, times: {readAt: performance.now(), delays: reading.recordRead(bytes.length)}});
		if (waiting.length === 1) {
			runTurn();
		}
	});
	socket.once('end', () => {
		hasEnded = true;
		if (waiting.length === 0) {
			finish();
		}
	});
	socket.once('close', () => {
		cancelTurn();
		removeWaiting();
	});
	return {
		getWaitingBytes() {
			return waiting.reduce((sum, {bytes}) => sum + bytes.length, 0) - parsedBytes;
		},
		waitForRelease: reading.waitForRelease,
		getDelays() {
			if (parsedTimes === undefined) {
				return noDelays;
			}

			const {readAt, delays: {acceptMs, heldMs, unreadMs}} = parsedTimes;
			const unparsedMs = performance.now() - readAt;
			return {
				acceptMs, heldMs: heldMs + unparsedMs, unreadMs, totalMs: Math.max(acceptMs, heldMs, unreadMs) + unparsedMs,
			};
		},
	};
}

type SocketListener = (this: Socket, bytes?: Uint8Array) => void;

function findLastListener(socket: Socket, event: 'data' | 'end'): SocketListener | undefined {
	return socket.listeners(event).at(-1) as SocketListener | undefined; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
}

/** Creates a pacer without connections. */
export function createInputPacer(host: InputPacerHost): InputPacer {
	const budget = createReadBudget({...budgetSettings, sharedUnitsPerSecond: sharedLinesPerSecond * Math.min(1, host.processorShare)});

	return {
		add(socket) {
			// The server's own listeners, which it adds last with each connection.
			const onData = findLastListener(socket, 'data');
			const onEnd = findLastListener(socket, 'end');
			if (onData === undefined || onEnd === undefined) {
				return {getWaitingBytes: () => 0, waitForRelease: async () => true, getDelays: () => noDelays};
			}

			const input = createPacedInput(socket, {
				parse(bytes) {
					onData.call(socket, bytes);
				},
				finish() {
					onEnd.call(socket);
				},
			}, budget.createAllowance(), host);
			socket.off('data', onData);
			socket.off('end', onEnd);
			return input;
		},
	};
}
