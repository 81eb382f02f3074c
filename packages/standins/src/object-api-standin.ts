/**
In-memory stand-in for the object API and the host list of the platform.

Tests can make it slow, unavailable or rate-limited, or let it drop responses to writes that took effect.
*/
import type {ServerResponse} from 'node:http';
import {parseTrustedJson} from '@currantcross/core/json';
import {
	sendJson, tryGetHeader, type HttpRequest, type HttpServer,
} from '@currantcross/caller/http-server';
import {startStandinServer} from './standin-server.js';

type StoredObject = Readonly<{key: string; value: string; version: number; revision: number}>;

/** Faults injected into requests; each field of a control request replaces the current value. */
export type ObjectApiFaults = Readonly<{
	/** Delay before each request is handled. */
	delayMs: number;
	/** Closes the connection of each request without a response. */
	isDown: boolean;
	/** Number of further writes that take effect but whose connection is closed without a response. */
	lostAnswers: number;
	/** Limit on requests per second, reads, writes and watches together; 0 sets no limit. */
	callsPerSecond: number;
}>;

/** Number of requests since the start, by kind; a long-polling watch counts once. */
export type ObjectApiCounts = {reads: number; writes: number; watches: number};

export type ObjectApiStandin = Readonly<{
	port: number;
	setFaults(faults: Partial<ObjectApiFaults>): void;
	setHosts(hosts: unknown): void;
	getCounts(): Readonly<ObjectApiCounts>;
	/** Returns the keys of all objects, sorted. */
	getKeys(): readonly string[];
	close(): Promise<void>;
}>;

const noFaults: ObjectApiFaults = {
	delayMs: 0, isDown: false, lostAnswers: 0, callsPerSecond: 0,
};

const maximumBodyBytes = 2_000_000;

/** Starts the stand-in. */
export async function startObjectApiStandin(host: string, port: number): Promise<ObjectApiStandin> {
	const objects = new Map<string, StoredObject>();
	const watchers = new Set<() => void>();
	const counts: ObjectApiCounts = {reads: 0, writes: 0, watches: 0};
	let faults = noFaults;
	let hosts: unknown = {servers: [], entries: []};
	let hostsVersion = 0;
	let revision = 0;
	let windowSecond = 0;
	let windowCalls = 0;

	async function wait(ms: number): Promise<void> {
		await new Promise(resolve => {
			setTimeout(resolve, ms);
		});
	}

	function isRateLimited(): boolean {
		const second = Math.floor(Date.now() / 1000);
		if (second !== windowSecond) {
			windowSecond = second;
			windowCalls = 0;
		}

		windowCalls += 1;
		return faults.callsPerSecond > 0 && windowCalls > faults.callsPerSecond;
	}

	/** Applies the faults to a request; returns false if they ended it. */
	async function applyFaults(response: ServerResponse): Promise<boolean> {
		if (faults.isDown) {
			response.destroy();
			return false;
		}

		if (isRateLimited()) {
			sendJson(response, 429, {error: 'rate'});
			return false;
		}

		await wait(faults.delayMs);
		return true;
	}

	function answerWrite(response: ServerResponse, status: number): void {
		if (faults.lostAnswers > 0 && status < 300) {
			faults = {...faults, lostAnswers: faults.lostAnswers - 1};
			response.destroy();
			return;
		}

		sendJson(response, status, {revision});
	}

	function getKey(request: HttpRequest): string {
		return request.parameters.key ?? '';
	}

	function matchesCondition(request: HttpRequest, current: StoredObject | undefined): boolean {
		if (tryGetHeader(request.message, 'if-none-match') === '*') {
			return current === undefined;
		}

		const version = tryGetHeader(request.message, 'if-match');
		return version === undefined || (current !== undefined && String(current.version) === version);
	}

	function notifyWatchers(): void {
		for (const notify of watchers) {
			notify();
		}
	}

	function getPage(prefix: string, isIncluded: (stored: StoredObject) => boolean, limit: number) {
		const items = [...objects.values()].filter(stored => stored.key.startsWith(prefix) && isIncluded(stored));
		items.sort((left, right) => (left.key < right.key ? -1 : 1));
		return {items: items.slice(0, limit), revision};
	}

	async function handlePut(request: HttpRequest, response: ServerResponse): Promise<void> {
		const value = await request.readText();
		counts.writes += 1;
		if (!await applyFaults(response)) {
			return;
		}

		const key = getKey(request);
		const current = objects.get(key);
		if (!matchesCondition(request, current)) {
			sendJson(response, 412, {revision});
			return;
		}

		revision += 1;
		objects.set(key, {
			key, value, version: (current?.version ?? 0) + 1, revision,
		});
		notifyWatchers();
		answerWrite(response, 201);
	}

	async function handleDelete(request: HttpRequest, response: ServerResponse): Promise<void> {
		counts.writes += 1;
		if (!await applyFaults(response)) {
			return;
		}

		const key = getKey(request);
		if (!matchesCondition(request, objects.get(key))) {
			sendJson(response, 412, {revision});
			return;
		}

		revision += 1;
		objects.delete(key);
		answerWrite(response, 200);
	}

	async function handleGet(request: HttpRequest, response: ServerResponse): Promise<void> {
		counts.reads += 1;
		if (!await applyFaults(response)) {
			return;
		}

		const stored = objects.get(getKey(request));
		sendJson(response, stored === undefined ? 404 : 200, stored ?? {});
	}

	async function handleList(request: HttpRequest, response: ServerResponse): Promise<void> {
		counts.reads += 1;
		if (!await applyFaults(response)) {
			return;
		}

		const query = request.url.searchParams;
		const after = query.get('after') ?? '';
		sendJson(response, 200, getPage(query.get('prefix') ?? '', stored => stored.key > after, Number(query.get('limit') ?? '100')));
	}

	async function handleWatch(request: HttpRequest, response: ServerResponse): Promise<void> {
		counts.watches += 1;
		if (!await applyFaults(response)) {
			return;
		}

		const query = request.url.searchParams;
		const since = Number(query.get('revision') ?? '0');
		const getChanges = () => getPage(query.get('prefix') ?? '', stored => stored.revision > since, 1000);
		if (getChanges().items.length === 0) {
			await waitForWrite(Number(query.get('waitMs') ?? '0'));
		}

		if (faults.isDown) {
			response.destroy();
			return;
		}

		sendJson(response, 200, getChanges());
	}

	async function waitForWrite(waitMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const endWait = () => {
				clearTimeout(timer);
				watchers.delete(endWait);
				resolve();
			};

			const timer = setTimeout(endWait, waitMs);
			watchers.add(endWait);
		});
	}

	async function handleControl(request: HttpRequest, response: ServerResponse): Promise<void> {
		const change = parseTrustedJson<Partial<ObjectApiFaults>>(await request.readText());
		faults = {...faults, ...change};
		sendJson(response, 200, faults);
	}

	function handleGetHosts(request: HttpRequest, response: ServerResponse): void {
		const entityTag = `"${hostsVersion}"`;
		if (tryGetHeader(request.message, 'if-none-match') === entityTag) {
			response.writeHead(304, {etag: entityTag});
			response.end();
			return;
		}

		sendJson(response, 200, hosts, {etag: entityTag});
	}

	function setHosts(value: unknown): void {
		hosts = value;
		hostsVersion += 1;
	}

	async function handleSetHosts(request: HttpRequest, response: ServerResponse): Promise<void> {
		setHosts(JSON.parse(await request.readText()));
		sendJson(response, 200, {});
	}

	const server: HttpServer = await startStandinServer({
		host,
		port,
		maximumBodyBytes,
		routes: [
			{method: 'PUT', path: '/v1/objects/:key', handler: handlePut},
			{method: 'DELETE', path: '/v1/objects/:key', handler: handleDelete},
			{method: 'GET', path: '/v1/objects/:key', handler: handleGet},
			{method: 'GET', path: '/v1/objects', handler: handleList},
			{method: 'GET', path: '/v1/watch', handler: handleWatch},
			{method: 'GET', path: '/v1/hosts', handler: handleGetHosts},
			{method: 'PUT', path: '/v1/hosts', handler: handleSetHosts},
			{method: 'POST', path: '/control', handler: handleControl},
			{
				method: 'GET', path: '/counts', handler(_request, response) {
					sendJson(response, 200, counts);
				},
			},
		],
	});

	return {
		port: server.port,
		setFaults(change) {
			faults = {...faults, ...change};
		},
		setHosts,
		getCounts: () => counts,
		getKeys: () => [...objects.keys()].toSorted(),
		async close() {
			notifyWatchers();
			await server.close();
		},
	};
}
