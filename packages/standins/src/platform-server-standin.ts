/**
Stand-in for the platform's servers, with their published protocol: event streams with ids that can be resumed, business
responses, memory reservations, refusals with the header `Not-Run`, status 421 if another instance is expected, limits that
responses name, and crashes on a segment of a prompt or on a whole request.
*/
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {text} from 'node:stream/consumers';
import {listen} from '@currantcross/core/listen';

/** How a server handles requests. */
export type ServerBehaviour
	= | Readonly<{kind: 'serve'}>
		/** Refuses each request with 503 and `Not-Run`, without running it, and may ask for no requests for some time. */
		| Readonly<{kind: 'refuse'; restMs?: number}>
	/** Runs the request and resets the connection without a response. */
		| Readonly<{kind: 'loseAnswer'}>
	/** Resets the connection in the middle of the event that follows this many. */
		| Readonly<{kind: 'breakStream'; afterEvents: number}>
		/** Never responds. */
		| Readonly<{kind: 'silent'}>
	/** Reads requests and never begins them, but answers orders and probes. */
		| Readonly<{kind: 'hang'}>;

/** A request that a server started to run. */
export type RunRecord = Readonly<{
	requestId: string;
	organisation: string | undefined;
	credential: string | undefined;
	lastEventId: string | undefined;
	helpers: string | undefined;
	/** Segments of the prompt, as the header lists them. */
	segments: string | undefined;
	body: string;
	/** Monotonic time of the start, in milliseconds. */
	startedAt: number;
}>;

/** A refused request, and for how long the server asked for no others. */
export type RefusalRecord = Readonly<{requestId: string; refusedAt: number; restMs: number}>;

export type PlatformServerStandin = Readonly<{
	address: string;
	/** Requests that were refused so far by a server that asked for time, in order. */
	refusals: readonly RefusalRecord[];
	/** Requests that were started so far, in order. */
	runs: readonly RunRecord[];
	/** Returns the ids of the memory reservations that have neither expired nor been released. */
	getReservations(): readonly string[];
	setBehaviour(behaviour: ServerBehaviour): void;
	/** Sets the limit in requests a second that responses name, `undefined` for none. */
	setLimit(requestsPerSecond: number | undefined): void;
	/** Sets whether all responses say that the server is leaving. */
	setLeaving(isNowLeaving: boolean): void;
	close(): void;
}>;

export type PlatformServerSettings = Readonly<{
	instanceId: string;
	/** 0 or a missing value selects any free port. */
	port?: number;
	/** Number of events in each stream; if missing, the server sends business responses. */
	eventCount: number | undefined;
	eventPauseMs: number;
	/** Id of a segment; a server that begins to answer a prompt with it crashes. */
	crashSegment?: string;
	/** Target of the requests that crash the server when it begins to run them. */
	crashTarget?: string;
	/** Called when the server crashes; closes it. */
	onCrash?: () => void;
}>;

function getHeader(message: IncomingMessage, name: string): string | undefined {
	const value = message.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

/** Starts a server on loopback. */
export async function startPlatformServer(settings: PlatformServerSettings): Promise<PlatformServerStandin> {
	const runs: RunRecord[] = [];
	const refusals: RefusalRecord[] = [];
	const reservations = new Map<string, NodeJS.Timeout>();
	let behaviour: ServerBehaviour = {kind: 'serve'};
	let requestsPerSecond: number | undefined;
	let isLeaving = false;
	let runningCount = 0;

	function releaseReservation(id: string): void {
		clearTimeout(reservations.get(id));
		reservations.delete(id);
	}

	function applyOrder(order: Readonly<{op: string; id: string; holdMs?: number}>, response: ServerResponse): void {
		releaseReservation(order.id);
		if (order.op === 'reserve') {
			reservations.set(order.id, setTimeout(() => {
				reservations.delete(order.id);
			}, order.holdMs ?? 0));
		}

		response.writeHead(200, {'content-type': 'application/json'});
		response.end('{"free":400000}');
	}

	function sendReport(response: ServerResponse): void {
		response.writeHead(200, {'content-type': 'application/json'});
		response.end(JSON.stringify({
			waiting: 0, running: runningCount, tickets: [...reservations.keys()].map(id => ({id, state: 'held'})),
		}));
	}

	function getCommonHeaders(message: IncomingMessage): Record<string, string> {
		return {
			'request-id': getHeader(message, 'request-id') ?? '',
			'response-stamp': `stamp-${settings.instanceId}`,
			...(requestsPerSecond === undefined ? {} : {'server-limit': String(requestsPerSecond)}),
		};
	}

	async function streamEvents(message: IncomingMessage, response: ServerResponse, eventCount: number): Promise<void> {
		response.writeHead(200, {...getCommonHeaders(message), 'content-type': 'text/event-stream'});
		const firstId = Number(getHeader(message, 'last-event-id') ?? '0') + 1;
		for (let id = firstId; id <= eventCount; id += 1) {
			if (behaviour.kind === 'breakStream' && id > behaviour.afterEvents) {
				response.write(`id: ${id}\nda`);
				setTimeout(() => {
					message.socket.resetAndDestroy();
				}, settings.eventPauseMs);
				return;
			}

			response.write(`id: ${id}\ndata: ${id}\n\n`);
			// eslint-disable-next-line no-await-in-loop -- events are sent sequentially
			await new Promise(resolve => {
				setTimeout(resolve, settings.eventPauseMs);
			});
		}

		response.end();
	}

	async function runRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await text(message);
		if (behaviour.kind === 'hang') {
			return;
		}

		if (behaviour.kind === 'refuse') {
			const {restMs} = behaviour;
			if (restMs !== undefined) {
				refusals.push({requestId: getHeader(message, 'request-id') ?? '', refusedAt: performance.now(), restMs});
			}

			response.writeHead(503, {'not-run': '1', 'request-id': getHeader(message, 'request-id') ?? '', ...(restMs === undefined ? {} : {'retry-after': String(restMs / 1000)})});
			response.end();
			return;
		}

		runs.push({
			requestId: getHeader(message, 'request-id') ?? '',
			organisation: getHeader(message, 'tenant'),
			credential: getHeader(message, 'credential'),
			lastEventId: getHeader(message, 'last-event-id'),
			helpers: getHeader(message, 'helpers'),
			segments: getHeader(message, 'prompt-prefix'),
			body,
			startedAt: performance.now(),
		});
		if (settings.crashSegment !== undefined && (getHeader(message, 'prompt-prefix') ?? '').includes(`${settings.crashSegment}:`)) {
			response.writeHead(200, {...getCommonHeaders(message), 'content-type': 'text/event-stream'});
			response.write('id: 1\nda');
			setTimeout(() => settings.onCrash?.(), settings.eventPauseMs);
		} else if (settings.crashTarget !== undefined && message.url === settings.crashTarget) {
			setTimeout(() => settings.onCrash?.(), settings.eventPauseMs);
		} else if (behaviour.kind === 'loseAnswer') {
			message.socket.resetAndDestroy();
		} else if (settings.eventCount === undefined) {
			response.writeHead(200, getCommonHeaders(message));
			response.end(`done ${body}`);
		} else {
			runningCount += 1;
			await streamEvents(message, response, settings.eventCount);
			runningCount -= 1;
		}
	}

	async function handleRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
		if (behaviour.kind === 'silent') {
			return;
		}

		if (message.url === '/currantcross/order') {
			applyOrder(JSON.parse(await text(message)) as Readonly<{op: string; id: string; holdMs?: number}>, response); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			return;
		}

		if (message.url === '/currantcross/report') {
			sendReport(response);
			return;
		}

		if (getHeader(message, 'expect-instance') !== settings.instanceId) {
			response.writeHead(421, {'not-run': '1', 'instance-id': settings.instanceId, 'request-id': getHeader(message, 'request-id') ?? ''});
			response.end();
			return;
		}

		await runRequest(message, response);
	}

	const server = http.createServer((message, response) => {
		if (isLeaving) {
			response.setHeader('server-leaving', '1');
		}

		void handleRequest(message, response);
	});
	const port = await listen(server, {host: '127.0.0.1', port: settings.port ?? 0});
	return {
		address: `127.0.0.1:${port}`,
		runs,
		refusals,
		getReservations: () => [...reservations.keys()],
		setBehaviour(newBehaviour) {
			behaviour = newBehaviour;
		},
		setLimit(newLimit) {
			requestsPerSecond = newLimit;
		},
		setLeaving(isNowLeaving) {
			isLeaving = isNowLeaving;
		},
		close() {
			for (const id of reservations.keys()) {
				releaseReservation(id);
			}

			server.close();
			server.closeAllConnections();
		},
	};
}
