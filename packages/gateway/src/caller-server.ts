/**
HTTP server for callers. Reads each request completely, within the configured limits, and passes it to its host.
*/
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import net from 'node:net';
import {setImmediate as setImmediatePromise} from 'node:timers/promises';
import {createAcceptProber} from '@currantcross/caller/accept-prober';
import {createBodyReader} from '@currantcross/caller/body-reader';
import {createCallerConnections, type CallerBound, type GiveWay} from '@currantcross/caller/caller-connections';
import {drainUnreadBody} from '@currantcross/caller/unread-body';
import {
	createCallerMemory, getBoundFailure, getCallerMemoryLimit, getRequestBytes,
} from '@currantcross/core/gateway/caller-memory';
import type {ArrivalDelays} from '@currantcross/core/arrival-delays';
import {createNotRunFailure, type Failure} from '@currantcross/core/errors';
import {listen} from '@currantcross/core/listen';
import type {LoopMonitor} from '@currantcross/core/loop-monitor';
import type {ServingLimits} from '@currantcross/core/gateway/gateway-types';
import {maximumIntakeWaitMs} from '@currantcross/core/gateway/request-intake';
import type {Milliseconds, Timestamp} from '@currantcross/core/types';
import {createCallerExchange, type CallerExchange} from './caller-exchange.js';
import {createEarlyRequestRunner, type EarlyEntry} from './early-request-runner.js';
import type {CallerHead, WireFormat} from './gateway-hosts.js';
import {createIntakeRunner, type IntakeEntry} from './intake-runner.js';
import type {SocketAddress} from './settings.js';

/** When a request's head was handled, and how long it may have waited before. */
export type RequestArrival = Readonly<{readAt: Timestamp; delays: ArrivalDelays}>;

/** How a request fared that arrived before it could be checked. */
export type EarlyOutcome = 'checked' | 'refused' | 'departed';

export type CallerServerHost = Readonly<{
	wireFormat: WireFormat;
	loopMonitor: Pick<LoopMonitor, 'getUnreadMs' | 'getUnacceptedMs' | 'recordAccept' | 'recordAcceptedUntil'>;
	isDraining(): boolean;
	/** Returns whether requests that arrive now are held until they can be checked. */
	isHolding(): boolean;
	recordEarly(outcome: EarlyOutcome, head: CallerHead, heldMs: Milliseconds): void;
	/** Checks a request by its head, before the body is read. Returns the failure if the request is refused. */
	checkHead(message: IncomingMessage, head: CallerHead): Failure | undefined;
	/** Waits, for a moment at most, until what is to be known before a request is handled is known. */
	waitForNews(): Promise<void>;
	/** Handles a received request. Returns the function to call if the caller disconnects before the response is complete. */
	handleRequest(exchange: CallerExchange, arrival: RequestArrival): () => void;
	recordRefusal(head: CallerHead, arrival: RequestArrival, failure: Failure): void;
	/** Records that a request was refused, or a connection closed, because of a bound on what callers make the gateway hold. */
	recordBound(bound: CallerBound): void;
	/** Records that a probe of how long connections wait to be accepted has failed, with the code of its error. */
	recordProbeFailure(code: string): void;
	/** Records a request that is not begun since its caller has left. */
	recordDeparture(head: CallerHead, arrival: RequestArrival): void;
}>;

export type CallerServer = Readonly<{
	/** Port that the server listens on. */
	port: number;
	setLimits(limits: ServingLimits): void;
	/** Checks the requests that are held, which is possible now. */
	resumeHeld(): void;
	/** Records the outcome of a call of the platform's store, on which it depends whether requests are held. */
	recordStoreCall(isAnswered: boolean): void;
	/** Returns the number of requests whose head was accepted and that are not begun: their bodies still arrive, or they wait. */
	getPendingCount(): number;
	/** Returns the number of requests that are begun and whose responses are not delivered. */
	getUndeliveredCount(): number;
	/** Refuses these requests. */
	refusePending(failure: Failure): void;
	/** Accepts the connections that callers have opened, for `maximumMs` at most. Then stops listening, and closes the idle connections. */
	stopListening(maximumMs: Milliseconds): Promise<void>;
	/** Finds out how long connections wait to be accepted. */
	probeAccepts(): void;
	/** Returns the number of open connections. */
	getConnectionCount(): number;
	/** Stops listening and closes all connections. */
	close(): void;
}>;

/** Maximum size of a request head. The platform's own limit for callers is lower. */
const maximumHeaderBytes = 65_536;
/** Maximum number of connections waiting to be accepted; below the operating system's own limit. */
const connectionBacklog = 1024;
/** Body limit until the first configuration arrives. */
const defaultMaximumBodyBytes = 8_388_608;
/** Time for which a body may take to arrive if the caller has stated no deadline. */
const defaultBodyTimeoutMs = 30_000;
/** Idle timeout until the first configuration arrives. */
const defaultIdleTimeoutMs = 30_000;
/** Added to the callers' idle timeout, so that no connection is closed while a caller sends a request on it. */
const keepAliveMarginMs = 2000;

/** Time without a new connection after which none is taken to wait. */
const quietMs = 5;

/** Memory that the framing of an unfinished body without a length, and its trailers, may take. */
const framingBytes = maximumHeaderBytes;
/** Interval at which heads that take too long are looked for. */
const headerCheckIntervalMs = 1000;

const badRequestStatus = 400;
const expectationFailedStatus = 417;

/** What the callers of a server may make it hold. */
export type CallerBounds = Readonly<{
	memoryMb: number | undefined;
	maximumConnections: number;
	/** Share of a processor that the process has. */
	processorShare: number;
}>;

type ReceivedHead = Readonly<{head: CallerHead; arrival: RequestArrival}>;

/** A request that arrived before it could be checked, and the function that refuses it while it is pending. */
type EarlyRequest = Readonly<{message: IncomingMessage; head: CallerHead; arrival: RequestArrival; refuse: (failure: Failure) => void}>;

/** How a received request arrived, and the function that ends its being pending, which returns whether it was. */
type PendingRequest = Readonly<{arrival: RequestArrival; endPending: () => boolean}>;

/** Returns whether the response waits behind another one of its connection, which has the socket until then. */
function hasToWait(response: ServerResponse): boolean {
	return (response.socket ?? undefined) === undefined;
}

/** Starts the server and returns once it listens. */
export async function startCallerServer(address: SocketAddress, bounds: CallerBounds, host: CallerServerHost): Promise<CallerServer> {
	const intake = createIntakeRunner();
	const early = createEarlyRequestRunner();
	const memory = createCallerMemory<GiveWay>();
	const bodyReader = createBodyReader();
	const connections = createCallerConnections({
		maximumConnections: bounds.maximumConnections, processorShare: bounds.processorShare, maximumHeadBytes: maximumHeaderBytes, memory, recordBound: host.recordBound,
		getUnreadMs: host.loopMonitor.getUnreadMs, getUnacceptedMs: host.loopMonitor.getUnacceptedMs,
	});
	/** Functions that give way for a response, by the functions that break it off. */
	const responseHolders = new WeakMap<() => void, GiveWay>();
	const prober = createAcceptProber({recordFailure: host.recordProbeFailure});
	let refusedCount = 0;
	let acceptedCount = 0;
	let maximumBodyBytes = defaultMaximumBodyBytes;
	let idleTimeoutMs = defaultIdleTimeoutMs;
	memory.setLimit(getCallerMemoryLimit(bounds.memoryMb, maximumBodyBytes));
	/** Requests that are begun and whose responses are not delivered. */
	const openExchanges = new Set<CallerExchange>();
	/** Functions that refuse the requests that are not begun. */
	const pendingRequests = new Set<(failure: Failure) => void>();
	const exchangeHost = {
		wireFormat: host.wireFormat, isDraining: () => host.isDraining(), isClosing: connections.isClosing, getIdleTimeoutMs: () => idleTimeoutMs, onQueued: setQueuedBytes,
	};

	/** Sets what a holder holds, and lets those give way that have to. */
	function setHeldBytes(holder: GiveWay, bytes: number): void {
		for (const giveWay of memory.setHeld(holder, bytes, performance.now())) {
			giveWay('memory');
		}
	}

	function setQueuedBytes(breakConnection: () => void, bytes: number): void {
		const known = responseHolders.get(breakConnection);
		if (bytes === 0) {
			if (known !== undefined) {
				memory.remove(known);
			}

			return;
		}

		const holder: GiveWay = known ?? (bound => {
			host.recordBound(bound);
			breakConnection();
		});
		responseHolders.set(breakConnection, holder);
		setHeldBytes(holder, bytes);
	}

	async function receiveRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const arrival: RequestArrival = {readAt: performance.now(), delays: connections.getDelays(message.socket)};
		const head = host.wireFormat.parseCallerHead(message.headers);
		const isEarly = host.isHolding();
		const refusal = isEarly ? undefined : host.checkHead(message, head);
		if (refusal !== undefined) {
			refuseRequest(message, response, {head, arrival}, refusal);
			return;
		}

		const requestBytes = getRequestBytes(message.rawHeaders);
		const unfinishedBytes = requestBytes + (message.headers['transfer-encoding'] === undefined ? 0 : framingBytes);
		const reading = bodyReader.read(message, maximumBodyBytes, bytes => {
			setHeldBytes(giveWay, unfinishedBytes + bytes);
		});
		const refusePendingRequest = (failure: Failure): void => {
			endPending();
			reading.discard();
			if (!response.headersSent) {
				refuseRequest(message, response, {head, arrival}, failure);
			}
		};

		const giveWay: GiveWay = bound => {
			host.recordBound(bound);
			// Behind another response a refusal would wait, and hold the head.
			if (hasToWait(response)) {
				message.socket.destroy();
			}

			refusePendingRequest(getBoundFailure(refusedCount));
			refusedCount += 1;
			if (bound === 'connections') {
				message.socket.destroy();
			}
		};

		// A response is sent only once the request is no longer pending.
		const endPending = (): boolean => {
			memory.remove(giveWay);
			return pendingRequests.delete(refusePendingRequest);
		};

		pendingRequests.add(refusePendingRequest);
		response.once('close', () => {
			endPending();
		});
		setHeldBytes(giveWay, unfinishedBytes);
		if (response.headersSent) {
			return;
		}

		const checked = isEarly
			? checkLater({
				message, head, arrival, refuse: refusePendingRequest,
			}, response)
			: undefined;
		const bodyTimer = setTimeout(() => {
			refusePendingRequest(createNotRunFailure('deadlineExceeded', 'the body did not arrive'));
		}, Math.max(0, (head.remainingMs ?? defaultBodyTimeoutMs) - arrival.delays.totalMs));
		const result = await reading.result;
		clearTimeout(bodyTimer);
		if (response.headersSent) {
			return;
		}

		switch (result.kind) {
			case 'aborted': {
				endPending();
				return;
			}

			case 'tooLarge': {
				endPending();
				// The limit of an early request was not the configuration's.
				refuseRequest(message, response, {head, arrival}, createNotRunFailure(isEarly ? 'notReady' : 'payloadTooLarge'));
				return;
			}

			case 'complete': {
				setHeldBytes(giveWay, requestBytes + result.body.length);
				await checked;
				if (isEarly && !pendingRequests.has(refusePendingRequest)) {
					return;
				}

				if (isEarly && result.body.length > maximumBodyBytes) {
					refusePendingRequest(createNotRunFailure('payloadTooLarge'));
					return;
				}

				await receiveExchange(createCallerExchange({message, head, body: result.body}, response, exchangeHost), response, {arrival, endPending});
			}
		}
	}

	/** Holds a request until it can be checked, and checks it then, unless its hold ends before. */
	async function checkLater({message, head, arrival, refuse}: EarlyRequest, response: ServerResponse): Promise<void> {
		const getHeldMs = (): Milliseconds => performance.now() - arrival.readAt;
		const isKept = await new Promise<boolean>(resolve => {
			const entry: EarlyEntry = {
				resume() {
					resolve(true);
				},
				refuse(failure) {
					host.recordEarly('refused', head, getHeldMs());
					refuse(failure);
					resolve(false);
				},
			};
			response.once('close', () => {
				if (early.remove(entry)) {
					host.recordEarly(response.headersSent ? 'refused' : 'departed', head, getHeldMs());
				}

				resolve(false);
			});
			early.admit(entry, {remainingMs: head.remainingMs, unreadMs: arrival.delays.totalMs});
		});
		if (!isKept) {
			return;
		}

		host.recordEarly('checked', head, getHeldMs());
		const refusal = host.checkHead(message, head);
		if (refusal !== undefined) {
			refuse(refusal);
		}
	}

	function refuseRequest(message: IncomingMessage, response: ServerResponse, {head, arrival}: ReceivedHead, failure: Failure): void {
		host.recordRefusal(head, arrival, failure);
		if (hasToWait(response) && !message.socket.destroyed) {
			connections.addWaitingBytes(message.socket, getRequestBytes(message.rawHeaders));
		}

		// What is left of the body is discarded from now on; unread, each of its chunks would be an object until the response is sent.
		message.resume();
		createCallerExchange({message, head, body: new Uint8Array(0)}, response, exchangeHost).fail(failure);
	}

	/** Begins a request whose body has arrived, once the news that its placement needs are known. */
	async function receiveExchange(exchange: CallerExchange, response: ServerResponse, {arrival, endPending}: PendingRequest): Promise<void> {
		const {head, message, hasCallerLeft} = exchange;
		const entry: IntakeEntry = {
			hasCallerLeft,
			begin() {
				if (endPending()) {
					startRequest(exchange, response, arrival);
				}
			},
			refuse(failure) {
				if (endPending()) {
					host.recordRefusal(head, arrival, failure);
					exchange.fail(failure);
				}
			},
			drop() {
				endPending();
				host.recordDeparture(head, arrival);
			},
		};
		await host.waitForNews();
		// Behind what is held of the connection there may be its close.
		if (await connections.waitUntilRead(message.socket, maximumIntakeWaitMs)) {
			intake.receive(entry);
		} else {
			intake.refuse(entry);
		}
	}

	function startRequest(exchange: CallerExchange, response: ServerResponse, arrival: RequestArrival): void {
		const {socket} = exchange.message;
		openExchanges.add(exchange);
		const keptBytes = getRequestBytes(exchange.message.rawHeaders) + exchange.body.length;
		memory.addKept(keptBytes);
		const notifyDisconnect = host.handleRequest(exchange, arrival);
		let isClosed = false;
		const handleClose = (): void => {
			if (!isClosed) {
				memory.addKept(-keptBytes);
				setQueuedBytes(exchange.breakConnection, 0);
			}

			openExchanges.delete(exchange);
			socket.off('close', handleClose);
			if (!isClosed && !response.writableFinished) {
				notifyDisconnect();
			}

			isClosed = true;
		};

		// A response that waits behind another one of its connection has no `close` event when the connection closes.
		socket.once('close', handleClose);
		response.once('close', handleClose);
	}

	/** Handles the head of a request that has arrived. With a status that request is refused which HTTP itself does not allow. */
	function handleHead(message: IncomingMessage, response: ServerResponse, status?: number): void {
		const {socket} = message;
		if (!connections.tryAddRequest(message)) {
			return;
		}

		response.once('close', () => {
			connections.removeRequest(socket);
		});
		response.on('error', () => {
			// The caller disconnected; the `close` event follows and is handled there.
		});
		drainUnreadBody(message, response);
		if (status === undefined) {
			void receiveRequest(message, response);
			return;
		}

		message.resume();
		response.writeHead(status, {connection: 'close'});
		response.end();
	}

	// What the HTTP server would answer itself, requests without a host and with other expectations, counts among a connection's requests.
	const server = http.createServer({
		maxHeaderSize: maximumHeaderBytes, requestTimeout: 0, keepAlive: true, noDelay: true, connectionsCheckingInterval: headerCheckIntervalMs, requireHostHeader: false,
	}, (message, response) => {
		handleHead(message, response, message.headers.host === undefined && message.httpVersion === '1.1' ? badRequestStatus : undefined);
	});
	server.on('checkExpectation', (message: IncomingMessage, response: ServerResponse) => {
		handleHead(message, response, expectationFailedStatus);
	});
	server.on('clientError', connections.handleClientError);
	server.on('connection', socket => {
		acceptedCount += 1;
		host.loopMonitor.recordAccept();
		const probedAt = prober.tryTakeProbe(socket);
		if (probedAt === undefined) {
			connections.add(socket);
		} else {
			host.loopMonitor.recordAcceptedUntil(probedAt);
		}
	});
	const port = await listen(server, {...address, backlog: connectionBacklog});
	return {
		port,
		setLimits(limits) {
			maximumBodyBytes = limits.maximumBodyBytes;
			memory.setLimit(getCallerMemoryLimit(bounds.memoryMb, maximumBodyBytes));
			idleTimeoutMs = limits.idleTimeoutMs;
			server.headersTimeout = limits.headerTimeoutMs;
			server.keepAliveTimeout = limits.idleTimeoutMs + keepAliveMarginMs;
		},
		resumeHeld: early.resumeAll,
		recordStoreCall: early.recordCall,
		getPendingCount: () => pendingRequests.size,
		getUndeliveredCount: () => openExchanges.size,
		refusePending(failure) {
			for (const refuse of pendingRequests) {
				refuse(failure);
			}
		},
		async stopListening(maximumMs) {
			const startedAt = performance.now();
			let lastAccepted = {count: acceptedCount, at: startedAt};
			let now = startedAt;
			// Closing a listening socket resets the connections that wait to be accepted, and each turn of the event loop accepts one.
			while (now - lastAccepted.at < quietMs && now - startedAt < maximumMs) {
				await setImmediatePromise(); // eslint-disable-line no-await-in-loop
				now = performance.now();
				if (acceptedCount > lastAccepted.count) {
					lastAccepted = {count: acceptedCount, at: now};
				}
			}

			// The HTTP server's own `close` also closes connections whose response waits to be read, as if it ended there.
			net.Server.prototype.close.call(server);
			connections.closeIdle();
		},
		probeAccepts() {
			prober.probe({...address, port});
		},
		getConnectionCount: connections.getCount,
		close() {
			prober.close();
			for (const exchange of openExchanges) {
				exchange.breakConnection();
			}

			early.close();
			connections.close();
			server.close();
			server.closeAllConnections();
		},
	};
}
