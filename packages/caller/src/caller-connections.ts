/**
The connections of callers. Bounds their number, the requests that wait on each, and the heads that have not arrived completely.
*/
import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {noDelays, type ArrivalDelays} from '@currantcross/core/arrival-delays';
import {headPartBytes, type CallerMemory} from '@currantcross/core/gateway/caller-memory';
import type {Milliseconds} from '@currantcross/core/types';
import {createInputPacer, type InputPacerHost, type PacedInput} from './input-pacer.js';

/** The bound because of which a connection is closed or a request is refused; `head` is that on a request's form, length and time. */
export type CallerBound = 'memory' | 'connections' | 'pipelining' | 'head';

/** Releases what a caller makes the gateway hold, because of a bound. */
export type GiveWay = (bound: CallerBound) => void;

export type CallerConnections = Readonly<{
	add(socket: Socket): void;
	/** Records a request whose head has arrived. Returns false, and closes the connection, if too many of its requests wait. */
	tryAddRequest(message: IncomingMessage): boolean;
	/** Adds what refused requests hold whose refusals wait behind another response, until no request of the connection is left. */
	addWaitingBytes(socket: Socket, bytes: number): void;
	/** Records that the response to a request is complete. */
	removeRequest(socket: Socket): void;
	/**
	Handles what the HTTP server can't parse, and a head that is late. It says nothing of the requests before it: the connection is closed once
	they are answered. Without such requests it gets a status of its own.
	*/
	handleClientError(error: Readonly<Error & {code?: string}>, socket: Socket): void;
	/** Returns whether no further request of the connection is served. */
	isClosing(socket: Socket): boolean;
	/** Waits until a connection is read, so that its caller's close is, for `maximumMs` at most. Returns whether that is so. */
	waitUntilRead(socket: Socket, maximumMs: Milliseconds): Promise<boolean>;
	/** Returns how long the request may have waited whose head is handled now. */
	getDelays(socket: Socket): ArrivalDelays;
	getCount(): number;
	/** Closes the connections without a request. */
	closeIdle(): void;
	close(): void;
}>;

export type CallerConnectionsHost = InputPacerHost & Readonly<{
	maximumConnections: number;
	/** Size beyond which a head is refused; a body that is discarded after its response counts as much. */
	maximumHeadBytes: number;
	/** Memory in which the incomplete heads are counted, by the function that closes their connection. */
	memory: CallerMemory<GiveWay>;
	recordBound(bound: CallerBound): void;
}>;

/** Requests of one connection that may wait for their responses. Callers that don't pipeline have one. */
const maximumRequests = 16;
/** Interval at which the incomplete heads are counted; in it no more arrives than a host's link lets through. */
const headCheckIntervalMs = 250;
/** New connections and requests after which they are counted without waiting for the interval. */
const changesPerCheck = 64;

type Connection = {
	openRequests: number;
	/** Latest request. Only of this one the body may still arrive. */
	lastMessage: IncomingMessage | undefined;
	/** Whether it is closed once the requests that have arrived are answered. */
	isClosing: boolean;
	waitingBytes: number;
	/** Bytes that were read when the last head had arrived or the last response was complete. */
	bytesBeforeHead: number;
	readonly giveWay: GiveWay;
	readonly input: PacedInput;
};

/** The part of the HTTP parser of a connection that is used. It isn't documented; without it, the bounds are checked less closely. */
type HeadParser = {
	/** Handles a complete head. */
	onIncoming: () => number;
	/** Names and values of a head that hasn't arrived completely, a batch of fields later. */
	_headers?: readonly string[];
};

/** Result by which the handler of a head ends the parsing of what was read with it. */
const stopResult = 2;

function tryGetParser(socket: Socket): HeadParser | undefined {
	const {parser} = socket as Socket & {parser?: HeadParser};
	return parser;
}

/**
Stops the parsing of a closed connection. Otherwise all heads that were read with the last one become requests, which are kept until the
event loop has read from all other connections too.
*/
function stopParsing(socket: Socket): void {
	const parser = tryGetParser(socket);
	if (parser !== undefined) {
		parser.onIncoming = () => stopResult;
	}
}

const errorCodePrefix = 'HPE_';
/** Status lines by the codes of errors; any other code of the parser is a malformed request. */
const statusLines: ReadonlyMap<string, string> = new Map([
	['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
	['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
	['HPE_CHUNK_EXTENSIONS_OVERFLOW', '413 Payload Too Large'],
]);
const malformedStatusLine = '400 Bad Request';

/** Returns the status line for an error of a request, or `undefined` for one of the connection. */
function findStatusLine(code = ''): string | undefined {
	return statusLines.get(code) ?? (code.startsWith(errorCodePrefix) ? malformedStatusLine : undefined);
}

/** Returns the number of requests of a connection that have arrived completely and are not answered. */
function getArrivedRequests({openRequests, lastMessage}: Connection): number {
	return openRequests - (lastMessage?.complete === false ? 1 : 0);
}

/** Creates a record without connections. */
export function createCallerConnections(host: CallerConnectionsHost): CallerConnections {
	const connections = new Map<Socket, Connection>();
	const inputPacer = createInputPacer(host);
	/** Connections without a request, the one that has been so for longest first. */
	const idleSockets = new Set<Socket>();

	/** Requests that wait behind another one of their connection. Each may have a connection to a server, too. */
	let waitingRequests = 0;
	let changesSinceCheck = 0;

	function closeFurthestBehind(newest: Socket): void {
		const [oldestIdle] = idleSockets;
		const furthest = oldestIdle === newest ? host.memory.tryTakeFurthestBehind(performance.now()) : connections.get(oldestIdle ?? newest)?.giveWay;
		(furthest ?? connections.get(newest)?.giveWay)?.('connections');
	}

	function setHeldBytes({giveWay}: Connection, bytes: number, now: number): void {
		for (const holder of host.memory.setHeld(giveWay, bytes, now)) {
			holder('memory');
		}
	}

	function removeConnection(socket: Socket): void {
		const connection = connections.get(socket);
		if (connection !== undefined) {
			host.memory.remove(connection.giveWay);
			connections.delete(socket);
			waitingRequests -= Math.max(0, connection.openRequests - 1);
			idleSockets.delete(socket);
		}
	}

	/** Returns the memory of a head that hasn't arrived completely, as far as it can be told from the rest of what was read. */
	function getUnfinishedHeadBytes(socket: Socket, {openRequests, bytesBeforeHead}: Connection): number {
		const fieldBytes = (tryGetParser(socket)?._headers?.length ?? 0) * headPartBytes;
		return fieldBytes + (openRequests === 0 ? Math.min(host.maximumHeadBytes, socket.bytesRead - bytesBeforeHead) : 0);
	}

	function checkHeads(): void {
		const now = performance.now();
		changesSinceCheck = 0;
		for (const [socket, connection] of connections) {
			const bytes = connection.waitingBytes + connection.input.getWaitingBytes() + getUnfinishedHeadBytes(socket, connection);
			if (bytes > 0) {
				setHeldBytes(connection, bytes, now);
			} else {
				host.memory.remove(connection.giveWay);
			}
		}
	}

	const headTimer = setInterval(checkHeads, headCheckIntervalMs);

	/** Counts what may have brought a part of a head, so that a crowd is looked at before the next interval. */
	function recordChange(): void {
		changesSinceCheck += 1;
		if (changesSinceCheck >= changesPerCheck) {
			checkHeads();
		}
	}

	return {
		add(socket) {
			connections.set(socket, {
				openRequests: 0,
				lastMessage: undefined,
				isClosing: false,
				waitingBytes: 0,
				bytesBeforeHead: 0,
				giveWay(bound) {
					host.recordBound(bound);
					socket.destroy();
					removeConnection(socket);
				},
				input: inputPacer.add(socket),
			});
			idleSockets.add(socket);
			recordChange();
			socket.once('close', () => {
				removeConnection(socket);
			});
			if (connections.size > host.maximumConnections) {
				closeFurthestBehind(socket);
			}
		},
		tryAddRequest(message) {
			const {socket} = message;
			const connection = connections.get(socket);
			if (connection === undefined || socket.destroyed) {
				return false;
			}

			if (connection.openRequests === 0) {
				host.memory.remove(connection.giveWay);
			}

			recordChange();
			idleSockets.delete(socket);
			connection.openRequests += 1;
			connection.lastMessage = message;
			waitingRequests += connection.openRequests > 1 ? 1 : 0;
			if (connection.openRequests > maximumRequests || (connection.openRequests > 1 && connections.size + waitingRequests > host.maximumConnections)) {
				host.recordBound('pipelining');
				stopParsing(socket);
				socket.destroy();
				return false;
			}

			return true;
		},
		addWaitingBytes(socket, bytes) {
			const connection = connections.get(socket);
			if (connection !== undefined) {
				connection.waitingBytes += bytes;
				setHeldBytes(connection, connection.waitingBytes, performance.now());
			}
		},
		removeRequest(socket) {
			const connection = connections.get(socket);
			if (connection === undefined) {
				return;
			}

			waitingRequests -= connection.openRequests > 1 ? 1 : 0;
			connection.openRequests -= 1;
			if (connection.isClosing && getArrivedRequests(connection) <= 0) {
				socket.destroySoon();
				return;
			}

			if (connection.openRequests === 0) {
				host.memory.remove(connection.giveWay);
				connection.waitingBytes = 0;
				connection.bytesBeforeHead = socket.bytesRead;
				idleSockets.add(socket);
			}
		},
		handleClientError(error, socket) {
			const statusLine = findStatusLine(error.code);
			const connection = connections.get(socket);
			if (connection === undefined || statusLine === undefined || !socket.writable) {
				socket.destroy();
				return;
			}

			const hasArrivedRequest = getArrivedRequests(connection) > 0;
			// The parser reports the same error again with all that follows.
			if (!connection.isClosing) {
				connection.isClosing = true;
				host.recordBound('head');
				if (!hasArrivedRequest) {
					socket.write(`HTTP/1.1 ${statusLine}\r\nConnection: close\r\n\r\n`);
				}
			}

			if (!hasArrivedRequest) {
				socket.destroySoon();
			}
		},
		isClosing: socket => connections.get(socket)?.isClosing === true,
		waitUntilRead: async (socket, maximumMs) => await connections.get(socket)?.input.waitForRelease(maximumMs) ?? true,
		getDelays: socket => connections.get(socket)?.input.getDelays() ?? noDelays,
		getCount: () => connections.size,
		closeIdle() {
			for (const socket of idleSockets) {
				socket.destroy();
			}
		},
		close() {
			clearInterval(headTimer);
		},
	};
}
