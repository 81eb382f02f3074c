/**
Stand-in for the users' metadata store in its published form: objects by kind and name, lists, watches, conditional
writes. Faults are set by tests.
*/
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {text} from 'node:stream/consumers';
import {listen} from '@currantcross/core/listen';

export type StoreFault = 'none' | 'busy' | 'silent' | 'reset';

export type ListCounts = Readonly<{stale: number; current: number}>;

export type PlatformStoreStandin = Readonly<{
	address: string;
	/** Writes an object as the operator or a server does. */
	put(kind: string, name: string, spec: unknown): void;
	remove(kind: string, name: string): void;
	setFault(fault: StoreFault): void;
	/** Forgets the history, so that watches from before get 410. */
	compact(): void;
	/** From now on, calls that accept stale data get that of this moment. */
	freezeStaleReads(): void;
	thawStaleReads(): void;
	/** Returns how many lists of a kind were read, stale ones and others. */
	getListCounts(kind: string): ListCounts;
	/** Returns the names of a kind. */
	listNames(kind: string): readonly string[];
	close(): void;
}>;

type StoredObject = Readonly<{
	meta: Readonly<{name: string; revision: number; createRev: number; finalizers: readonly string[]; deleting: boolean}>;
	spec: unknown;
	status: unknown;
}>;

type Change = Readonly<{kind: string; revision: number; object: StoredObject; deleted: boolean}>;

type StaleState = Readonly<{revision: number; objects: ReadonlyMap<string, readonly StoredObject[]>}>;

type Waiter = Readonly<{kind: string; after: number; answer(): void}>;

const basePath = '/currantcross/objects/';
const firstRevision = 7;

/** Starts the store on a free port. */
export async function startPlatformStore(): Promise<PlatformStoreStandin> {
	const objects = new Map<string, Map<string, StoredObject>>();
	const changes: Change[] = [];
	const waiters = new Set<Waiter>();
	let revision = firstRevision;
	let historyStart = firstRevision;
	let fault: StoreFault = 'none';
	let staleState: StaleState | undefined;
	const listCounts = new Map<string, ListCounts>();

	function getKind(kind: string): Map<string, StoredObject> {
		const named = objects.get(kind) ?? new Map<string, StoredObject>();
		objects.set(kind, named);
		return named;
	}

	function write(kind: string, name: string, spec: unknown): StoredObject {
		revision += 1;
		const createRev = getKind(kind).get(name)?.meta.createRev ?? revision;
		const object: StoredObject = {
			meta: {
				name, revision, createRev, finalizers: [], deleting: false,
			},
			spec,
			status: undefined,
		};
		getKind(kind).set(name, object);
		record({
			kind, revision, object, deleted: false,
		});
		return object;
	}

	function record(change: Change): void {
		changes.push(change);
		for (const waiter of waiters) {
			if (waiter.kind === change.kind) {
				waiters.delete(waiter);
				waiter.answer();
			}
		}
	}

	function send(response: ServerResponse, status: number, body: unknown): void {
		response.writeHead(status, {'content-type': 'application/json'});
		response.end(JSON.stringify(body));
	}

	function answerWatch(response: ServerResponse, kind: string, after: number, waitMs: number): void {
		if (after < historyStart) {
			send(response, 410, {error: 'the history is gone'});
			return;
		}

		const answer = (): void => {
			clearTimeout(timer);
			const events = changes.filter(change => change.kind === kind && change.revision > after);
			send(response, 200, {events: events.map(({object, deleted}) => ({object, deleted})), asOf: revision});
		};

		const waiter: Waiter = {kind, after, answer};
		const timer = setTimeout(() => {
			waiters.delete(waiter);
			answer();
		}, waitMs);
		if (changes.some(change => change.kind === kind && change.revision > after)) {
			answer();
		} else {
			waiters.add(waiter);
		}
	}

	function getListCounts(kind: string): ListCounts {
		return listCounts.get(kind) ?? {stale: 0, current: 0};
	}

	function answerList(response: ServerResponse, kind: string, isStaleAllowed: boolean): void {
		const {stale, current} = getListCounts(kind);
		listCounts.set(kind, {stale: stale + (isStaleAllowed ? 1 : 0), current: current + (isStaleAllowed ? 0 : 1)});
		const items = isStaleAllowed && staleState !== undefined ? staleState.objects.get(kind) ?? [] : [...getKind(kind).values()];
		send(response, 200, {items, truncated: false, asOf: isStaleAllowed ? staleState?.revision ?? revision : revision});
	}

	async function handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = new URL(message.url ?? '/', 'http://store');
		const [kind = '', name] = url.pathname.slice(basePath.length).split('/');
		if (message.method === 'POST') {
			const body = JSON.parse(await text(message)) as Readonly<{meta: Readonly<{name: string}>; spec: unknown}>; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			const existing = getKind(kind).get(body.meta.name);
			send(response, existing === undefined ? 200 : 409, existing ?? write(kind, body.meta.name, body.spec));
			return;
		}

		const watch = url.searchParams.get('watch');
		if (watch) {
			answerWatch(response, kind, Number(watch), Number(url.searchParams.get('waitMs') ?? '0'));
			return;
		}

		if (name !== undefined) {
			const object = getKind(kind).get(name);
			send(response, object === undefined ? 404 : 200, object ?? {error: 'no such object'});
			return;
		}

		answerList(response, kind, url.searchParams.get('serializable') === '1');
	}

	const server = http.createServer((message, response) => {
		switch (fault) {
			case 'none': {
				void handle(message, response);
				return;
			}

			case 'busy': {
				send(response, 503, {error: 'busy'});
				return;
			}

			case 'silent': {
				return;
			}

			case 'reset': {
				message.socket.resetAndDestroy();
			}
		}
	});
	const port = await listen(server, {host: '127.0.0.1', port: 0});
	return {
		address: `127.0.0.1:${port}`,
		put(kind, name, spec) {
			write(kind, name, spec);
		},
		remove(kind, name) {
			const object = getKind(kind).get(name);
			if (object !== undefined) {
				getKind(kind).delete(name);
				revision += 1;
				record({
					kind, revision, object, deleted: true,
				});
			}
		},
		setFault(next) {
			fault = next;
		},
		compact() {
			historyStart = revision + 1;
			revision += 1;
			changes.length = 0;
			for (const waiter of waiters) {
				waiters.delete(waiter);
				waiter.answer();
			}
		},
		freezeStaleReads() {
			staleState = {revision, objects: new Map([...objects].map(([kind, named]) => [kind, [...named.values()]]))};
		},
		thawStaleReads() {
			staleState = undefined;
		},
		getListCounts,
		listNames: kind => [...getKind(kind).keys()],
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}
