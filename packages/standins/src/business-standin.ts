/**
Stand-in of a business service: stock lookups, and actions that it counts by what they are told to do.

It does not know idempotency keys: a call that comes twice runs twice, and the count shows it.
*/
import type {ServerResponse} from 'node:http';
import {parseTrustedJson} from '@currantcross/core/json';
import {sendJson, type HttpRequest} from '@currantcross/caller/http-server';
import {startStandinServer} from './standin-server.js';

/** What the stand-in does to calls; each field of a control request replaces the one here. */
export type BusinessFaults = Readonly<{
	delayMs: number;
	/** Actions that run and whose answers are lost. */
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

	async function wait(): Promise<void> {
		await new Promise(resolve => {
			setTimeout(resolve, faults.delayMs);
		});
	}

	async function handleAction(request: HttpRequest, response: ServerResponse): Promise<void> {
		const body = await request.readText();
		const action = `${request.url.pathname} ${body}`;
		await wait();
		const run = (runs.get(action) ?? 0) + 1;
		runs.set(action, run);
		if (faults.lostAnswers > 0) {
			faults = {...faults, lostAnswers: faults.lostAnswers - 1};
			response.destroy();
			return;
		}

		sendJson(response, 201, {confirmed: true, action, run});
	}

	async function handleLookup(request: HttpRequest, response: ServerResponse): Promise<void> {
		await wait();
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
