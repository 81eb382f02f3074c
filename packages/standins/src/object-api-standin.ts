/**
Stand-in of the platform: the object API and the host list, kept in memory.

Tests can make it slow, down or rate-limited, or let it lose an answer after the write took effect.
*/
import type {ServerResponse} from 'node:http';
import {parseTrustedJson} from '@currantcross/core/json';
import {
	sendJson, tryGetHeader, type HttpRequest, type HttpServer,
} from '@currantcross/caller/http-server';
import {startStandinServer} from './standin-server.js';

type Stored = Readonly<{key: string; value: string; version: number; revision: number}>;

/** What the stand-in does to calls; each field of a control request replaces the one here. */
export type PlatformFaults = Readonly<{
	delayMs: number;
	isDown: boolean;
	/** Writes that take effect and whose answers are lost. */
	lostAnswers: number;
	/** Calls a second that are answered, reads and writes together; 0 sets no limit. */
	callsPerSecond: number;
}>;

/** Calls since the start, by kind; a waiting watch counts as one. */
export type PlatformCounts = {reads: number; writes: number; watches: number};

export type PlatformStandin = Readonly<{
	port: number;
	setFaults(faults: Partial<PlatformFaults>): void;
	setHosts(hosts: unknown): void;
	getCounts(): Readonly<PlatformCounts>;
	/** Returns the keys that exist, in order. */
	getKeys(): readonly string[];
	close(): Promise<void>;
}>;

const noFaults: PlatformFaults = {
	delayMs: 0, isDown: false, lostAnswers: 0, callsPerSecond: 0,
};

const maximumBodyBytes = 2_000_000;

/** Starts the stand-in. */
export async function startPlatformStandin(host: string, port: number): Promise<PlatformStandin> {
	const objects = new Map<string, Stored>();
	const watchers = new Set<() => void>();
	const counts: PlatformCounts = {reads: 0, writes: 0, watches: 0};
	let faults = noFaults;
	let hosts: unknown = {servers: [], entries: []};
	let hostsVersion = 0;
	let revision = 0;
	let windowStart = 0;
	let windowCalls = 0;

	async function wait(ms: number): Promise<void> {
		await new Promise(resolve => {
			setTimeout(resolve, ms);
		});
	}

	function isOverRate(): boolean {
		const second = Math.floor(Date.now() / 1000);
		if (second !== windowStart) {
			windowStart = second;
			windowCalls = 0;
		}

		windowCalls += 1;
		return faults.callsPerSecond > 0 && windowCalls > faults.callsPerSecond;
	}

	/** Delays the call; returns false when it was refused or cut off. */
	async function applyFaults(response: ServerResponse): Promise<boolean> {
		if (faults.isDown) {
			response.destroy();
			return false;
		}

		if (isOverRate()) {
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

	function matchesCondition(request: HttpRequest, current: Stored | undefined): boolean {
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

	function getPage(prefix: string, accepts: (stored: Stored) => boolean, limit: number) {
		const items = [...objects.values()].filter(stored => stored.key.startsWith(prefix) && accepts(stored));
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
			const finish = () => {
				clearTimeout(timer);
				watchers.delete(finish);
				resolve();
			};

			const timer = setTimeout(finish, waitMs);
			watchers.add(finish);
		});
	}

	async function handleControl(request: HttpRequest, response: ServerResponse): Promise<void> {
		const change = parseTrustedJson<Partial<PlatformFaults>>(await request.readText());
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
