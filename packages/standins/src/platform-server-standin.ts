/**
Stand-in for the users' servers in their published form: streams with event ids and resumption, business answers,
reservations, refusals with `Not-Run`, and 421 for another instance.
*/
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {text} from 'node:stream/consumers';
import {listen} from '@currantcross/core/listen';

/** What a server does with the requests that it gets. */
export type ServerBehaviour
	= | Readonly<{kind: 'serve'}>
		| Readonly<{kind: 'refuse'}>
	/** Runs the request and breaks the connection without an answer. */
		| Readonly<{kind: 'loseAnswer'}>
	/** Breaks off inside the event after so many. */
		| Readonly<{kind: 'breakStream'; afterEvents: number}>
		| Readonly<{kind: 'silent'}>;

/** A request that a server began to run. */
export type RunRecord = Readonly<{
	requestId: string;
	organisation: string | undefined;
	credential: string | undefined;
	lastEventId: string | undefined;
	helpers: string | undefined;
	body: string;
	/** Steady time at which it began, in milliseconds. */
	at: number;
}>;

export type PlatformServerStandin = Readonly<{
	address: string;
	runs: readonly RunRecord[];
	/** Ids of the reservations that are held. */
	getReservations(): readonly string[];
	setBehaviour(behaviour: ServerBehaviour): void;
	close(): void;
}>;

export type PlatformServerSettings = Readonly<{
	instanceId: string;
	/** 0 takes any free port. */
	port?: number;
	/** Events of each stream; business answers otherwise. */
	eventCount: number | undefined;
	eventPauseMs: number;
}>;

function getHeader(message: IncomingMessage, name: string): string | undefined {
	const value = message.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

/** Starts a server on a free port. */
export async function startPlatformServer(settings: PlatformServerSettings): Promise<PlatformServerStandin> {
	const runs: RunRecord[] = [];
	const reservations = new Map<string, NodeJS.Timeout>();
	let behaviour: ServerBehaviour = {kind: 'serve'};

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

	function getHead(message: IncomingMessage): Record<string, string> {
		return {'request-id': getHeader(message, 'request-id') ?? '', 'response-stamp': `stamp-${settings.instanceId}`};
	}

	async function stream(message: IncomingMessage, response: ServerResponse, eventCount: number): Promise<void> {
		response.writeHead(200, {...getHead(message), 'content-type': 'text/event-stream'});
		const first = Number(getHeader(message, 'last-event-id') ?? '0') + 1;
		for (let id = first; id <= eventCount; id += 1) {
			if (behaviour.kind === 'breakStream' && id > behaviour.afterEvents) {
				response.write(`id: ${id}\nda`);
				setTimeout(() => {
					message.socket.resetAndDestroy();
				}, settings.eventPauseMs);
				return;
			}

			response.write(`id: ${id}\ndata: ${id}\n\n`);
			// eslint-disable-next-line no-await-in-loop -- events come one after the other
			await new Promise(resolve => {
				setTimeout(resolve, settings.eventPauseMs);
			});
		}

		response.end();
	}

	async function run(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const body = await text(message);
		if (behaviour.kind === 'refuse') {
			response.writeHead(503, {'not-run': '1'});
			response.end();
			return;
		}

		runs.push({
			requestId: getHeader(message, 'request-id') ?? '',
			organisation: getHeader(message, 'tenant'),
			credential: getHeader(message, 'credential'),
			lastEventId: getHeader(message, 'last-event-id'),
			helpers: getHeader(message, 'helpers'),
			body,
			at: performance.now(),
		});
		if (behaviour.kind === 'loseAnswer') {
			message.socket.resetAndDestroy();
		} else if (settings.eventCount === undefined) {
			response.writeHead(200, getHead(message));
			response.end(`done ${body}`);
		} else {
			await stream(message, response, settings.eventCount);
		}
	}

	async function handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
		if (behaviour.kind === 'silent') {
			return;
		}

		if (message.url === '/currantcross/order') {
			applyOrder(JSON.parse(await text(message)) as Readonly<{op: string; id: string; holdMs?: number}>, response); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			return;
		}

		if (getHeader(message, 'expect-instance') !== settings.instanceId) {
			response.writeHead(421, {'instance-id': settings.instanceId});
			response.end();
			return;
		}

		await run(message, response);
	}

	const server = http.createServer((message, response) => {
		void handle(message, response);
	});
	const port = await listen(server, {host: '127.0.0.1', port: settings.port ?? 0});
	return {
		address: `127.0.0.1:${port}`,
		runs,
		getReservations: () => [...reservations.keys()],
		setBehaviour(next) {
			behaviour = next;
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
