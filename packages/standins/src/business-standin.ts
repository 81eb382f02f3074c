/**
Stand-in for a business service: answers stock lookups and counts the runs of each action, by its path and body.

It ignores idempotency keys: a request that arrives twice runs twice, and the count reveals the duplicate.
*/
import type {ServerResponse} from 'node:http';
import {parseTrustedJson} from '@currantcross/core/json';
import {sendJson, type HttpRequest} from '@currantcross/caller/http-server';
import {startStandinServer} from './standin-server.js';

/** Faults injected into requests; each field of a control request replaces the current value. */
export type BusinessFaults = Readonly<{
	/** Delay before each request is handled. */
	delayMs: number;
	/** Number of further actions that run but whose connection is closed without a response. */
	lostAnswers: number;
}>;

export type BusinessStandin = Readonly<{
	port: number;
	setFaults(faults: Partial<BusinessFaults>): void;
	/** Returns how often each action ran, by its path and body. */
	getRuns(): ReadonlyMap<string, number>;
	close(): Promise<void>;
}>;

const maximumBodyBytes = 1_000_000;

/** Starts the stand-in. */
export async function startBusinessStandin(host: string, port: number): Promise<BusinessStandin> {
	const runs = new Map<string, number>();
	let faults: BusinessFaults = {delayMs: 0, lostAnswers: 0};

	async function waitForDelay(): Promise<void> {
		await new Promise(resolve => {
			setTimeout(resolve, faults.delayMs);
		});
	}

	async function handleAction(request: HttpRequest, response: ServerResponse): Promise<void> {
		const body = await request.readText();
		const action = `${request.url.pathname} ${body}`;
		await waitForDelay();
		const runCount = (runs.get(action) ?? 0) + 1;
		runs.set(action, runCount);
		if (faults.lostAnswers > 0) {
			faults = {...faults, lostAnswers: faults.lostAnswers - 1};
			response.destroy();
			return;
		}

		sendJson(response, 201, {confirmed: true, action, run: runCount});
	}

	async function handleLookup(request: HttpRequest, response: ServerResponse): Promise<void> {
		await waitForDelay();
		sendJson(response, 200, {item: request.parameters.item, inStock: 7});
	}

	const server = await startStandinServer({
		host,
		port,
		maximumBodyBytes,
		routes: [
			{method: 'GET', path: '/stock/:item', handler: handleLookup},
			{
				method: 'GET', path: '/runs', handler(_request, response) {
					sendJson(response, 200, Object.fromEntries(runs));
				},
			},
			{
				method: 'POST', path: '/control', async handler(request, response) {
					const change = parseTrustedJson<Partial<BusinessFaults>>(await request.readText());
					faults = {...faults, ...change};
					sendJson(response, 200, faults);
				},
			},
			{method: 'POST', path: '/*', handler: handleAction},
		],
	});

	return {
		port: server.port,
		setFaults(change) {
			faults = {...faults, ...change};
		},
		getRuns: () => runs,
		async close() {
			await server.close();
		},
	};
}
