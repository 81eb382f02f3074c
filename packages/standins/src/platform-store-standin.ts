/**
In-memory stand-in for the platform's metadata store, with its published protocol: objects by kind and name, lists, watches,
replacement, removal, and creation that fails if the object exists. Tests can inject faults, and restore the store from a copy.
*/
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import {text} from 'node:stream/consumers';
import {listen} from '@currantcross/core/listen';

/** Fault that applies to every request: 503, no response, or a connection reset. */
export type StoreFault = 'none' | 'busy' | 'silent' | 'reset';

/**
What becomes of waiting watches when the store is restored: they get an answer at once, wait on for changes after the revision that
they named, are cut off, or get nothing any more.
*/
export type WatchesAtRestore = 'answered' | 'kept' | 'cut' | 'silent';

/** Number of list requests, by whether they accept stale data. */
export type ListCounts = Readonly<{stale: number; current: number}>;

/** Content of an object as it is written in JSON, for values that `JSON.stringify` doesn't write. */
export type RawJson = Readonly<{rawJson: string}>;

function isRawJson(value: unknown): value is RawJson {
	return typeof value === 'object' && value !== null && 'rawJson' in value && typeof value.rawJson === 'string';
}

/** Formats a body in which some values are raw JSON. */
function formatBody(body: unknown): string {
	const rawTexts: string[] = [];
	const text = JSON.stringify(body, (_key, value: unknown) => isRawJson(value) ? `@raw-${rawTexts.push(value.rawJson) - 1}@` : value);
	return text.replaceAll(/"@raw-(?<index>\d+)@"/gv, (_match, index: string) => rawTexts[Number(index)] ?? '');
}

export type PlatformStoreStandin = Readonly<{
	address: string;
	/** Writes an object, as the operator or a server would. */
	writeObject(kind: string, name: string, spec: unknown): void;
	removeObject(kind: string, name: string): void;
	setFault(fault: StoreFault): void;
	/** Discards the change history, so that watches from an earlier revision get status 410. */
	compact(): void;
	/** Takes a copy of all objects and of the revision. */
	takeCopy(): void;
	/** Goes back to the copy. What was written since is gone, and its revisions are given out again. */
	restoreCopy(watches: WatchesAtRestore): void;
	/** Writes again what the operator and the servers had written or removed between the copy and the restore, and have not written since. */
	rewriteLostObjects(): void;
	/** Raises the revision, as changes of other objects would. */
	advanceRevision(count: number): void;
	/** Returns how many objects of a kind the gateways have tried to create. */
	getCreateCount(kind: string): number;
	/** Takes a snapshot that is served to lists that accept stale data, until `stopStaleReads` is called. */
	startStaleReads(): void;
	stopStaleReads(): void;
	/** Returns how many lists of a kind were requested. */
	getListCounts(kind: string): ListCounts;
	/** Returns the names of all objects of a kind. */
	listNames(kind: string): readonly string[];
	close(): void;
}>;

type StoredObject = Readonly<{
	meta: Readonly<{name: string; revision: number; createRev: number; finalizers: readonly string[]; deleting: boolean}>;
	spec: unknown;
	status: unknown;
}>;

type Change = Readonly<{kind: string; revision: number; object: StoredObject; deleted: boolean}>;

/** An object that the operator or a server has written, or removed if `spec` is `undefined`. */
type OutsideWrite = Readonly<{kind: string; name: string; spec: unknown; revision: number}>;

type StoreSnapshot = Readonly<{revision: number; objects: ReadonlyMap<string, readonly StoredObject[]>}>;

/** Long-polling watch that waits for a change. */
type PendingWatch = Readonly<{kind: string; after: number; answer(): void; cut(): void; silence(): void}>;

const basePath = '/currantcross/objects/';
const firstRevision = 7;
const firstEpoch = 0;

/** Starts the store on a free port of loopback. */
export async function startPlatformStore(): Promise<PlatformStoreStandin> {
	const objects = new Map<string, Map<string, StoredObject>>();
	let changes: Change[] = [];
	const pendingWatches = new Set<PendingWatch>();
	let revision = firstRevision;
	let historyStart = firstRevision;
	let epoch = firstEpoch;
	let copy: StoreSnapshot | undefined;
	let outsideWrites: OutsideWrite[] = [];
	let lostWrites: readonly OutsideWrite[] = [];
	let restoredRevision = firstRevision;
	const createCounts = new Map<string, number>();
	let fault: StoreFault = 'none';
	let staleSnapshot: StoreSnapshot | undefined;
	const listCounts = new Map<string, ListCounts>();

	function getObjectsOfKind(kind: string): Map<string, StoredObject> {
		const objectsByName = objects.get(kind) ?? new Map<string, StoredObject>();
		objects.set(kind, objectsByName);
		return objectsByName;
	}

	function write(kind: string, name: string, spec: unknown): StoredObject {
		revision += 1;
		const createRev = getObjectsOfKind(kind).get(name)?.meta.createRev ?? revision;
		const object: StoredObject = {
			meta: {
				name, revision, createRev, finalizers: [], deleting: false,
			},
			spec,
			status: undefined,
		};
		getObjectsOfKind(kind).set(name, object);
		recordChange({
			kind, revision, object, deleted: false,
		});
		return object;
	}

	function remove(kind: string, name: string): void {
		const object = getObjectsOfKind(kind).get(name);
		if (object !== undefined) {
			getObjectsOfKind(kind).delete(name);
			revision += 1;
			recordChange({
				kind, revision, object, deleted: true,
			});
		}
	}

	/** Records a write by the operator or a server, in place of an earlier one of the object. */
	function recordOutsideWrite(kind: string, name: string, spec: unknown): void {
		outsideWrites = [...outsideWrites.filter(other => other.kind !== kind || other.name !== name), {
			kind, name, spec, revision,
		}];
	}

	function recordChange(change: Change): void {
		changes.push(change);
		for (const pendingWatch of pendingWatches) {
			if (pendingWatch.kind === change.kind) {
				pendingWatches.delete(pendingWatch);
				pendingWatch.answer();
			}
		}
	}

	function sendJson(response: ServerResponse, status: number, body: unknown): void {
		response.writeHead(status, {'content-type': 'application/json', 'store-era': String(epoch)});
		response.end(formatBody(body));
	}

	function takeSnapshot(): StoreSnapshot {
		return {revision, objects: new Map([...objects].map(([kind, objectsByName]) => [kind, [...objectsByName.values()]]))};
	}

	/** Ends the waiting watches as a restore does. */
	function endWatches(watches: WatchesAtRestore): void {
		if (watches === 'kept') {
			return;
		}

		for (const pendingWatch of pendingWatches) {
			pendingWatches.delete(pendingWatch);
			switch (watches) {
				case 'answered': {
					pendingWatch.answer();
					break;
				}

				case 'cut': {
					pendingWatch.cut();
					break;
				}

				case 'silent': {
					pendingWatch.silence();
				}
			}
		}
	}

	function answerWatch(response: ServerResponse, kind: string, after: number, waitMs: number): void {
		if (after < historyStart || after > revision) {
			sendJson(response, 410, {error: 'the history is gone'});
			return;
		}

		const answer = (): void => {
			clearTimeout(timer);
			const events = changes.filter(change => change.kind === kind && change.revision > after);
			sendJson(response, 200, {events: events.map(({object, deleted}) => ({object, deleted})), asOf: revision});
		};

		const pendingWatch: PendingWatch = {
			kind,
			after,
			answer,
			cut() {
				clearTimeout(timer);
				response.socket?.resetAndDestroy();
			},
			silence() {
				clearTimeout(timer);
			},
		};
		const timer = setTimeout(() => {
			pendingWatches.delete(pendingWatch);
			answer();
		}, waitMs);
		if (changes.some(change => change.kind === kind && change.revision > after)) {
			answer();
		} else {
			pendingWatches.add(pendingWatch);
		}
	}

	function getListCounts(kind: string): ListCounts {
		return listCounts.get(kind) ?? {stale: 0, current: 0};
	}

	function answerList(response: ServerResponse, kind: string, isStaleAllowed: boolean): void {
		const {stale, current} = getListCounts(kind);
		listCounts.set(kind, {stale: stale + (isStaleAllowed ? 1 : 0), current: current + (isStaleAllowed ? 0 : 1)});
		const items = isStaleAllowed && staleSnapshot !== undefined ? staleSnapshot.objects.get(kind) ?? [] : [...getObjectsOfKind(kind).values()];
		sendJson(response, 200, {items, truncated: false, asOf: isStaleAllowed ? staleSnapshot?.revision ?? revision : revision});
	}

	async function handleRequest(message: IncomingMessage, response: ServerResponse): Promise<void> {
		const url = new URL(message.url ?? '/', 'http://store');
		const [kind = '', name] = url.pathname.slice(basePath.length).split('/');
		if (message.method === 'POST') {
			const body = JSON.parse(await text(message)) as Readonly<{meta: Readonly<{name: string}>; spec: unknown}>; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			const existing = getObjectsOfKind(kind).get(body.meta.name);
			createCounts.set(kind, (createCounts.get(kind) ?? 0) + 1);
			sendJson(response, existing === undefined ? 200 : 409, existing ?? write(kind, body.meta.name, body.spec));
			return;
		}

		if (message.method === 'PUT') {
			const body = JSON.parse(await text(message)) as Readonly<{spec: unknown}>; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			const existing = getObjectsOfKind(kind).get(name ?? '');
			sendJson(response, existing === undefined ? 404 : 200, existing === undefined ? {} : write(kind, name ?? '', body.spec));
			return;
		}

		if (message.method === 'DELETE') {
			const hasExisted = getObjectsOfKind(kind).has(name ?? '');
			remove(kind, name ?? '');
			sendJson(response, hasExisted ? 200 : 404, {});
			return;
		}

		const watch = url.searchParams.get('watch');
		if (watch) {
			answerWatch(response, kind, Number(watch), Number(url.searchParams.get('waitMs') ?? '0'));
			return;
		}

		if (name !== undefined) {
			const object = getObjectsOfKind(kind).get(name);
			sendJson(response, object === undefined ? 404 : 200, object ?? {error: 'no such object'});
			return;
		}

		answerList(response, kind, url.searchParams.get('serializable') === '1');
	}

	const server = http.createServer((message, response) => {
		switch (fault) {
			case 'none': {
				void handleRequest(message, response);
				return;
			}

			case 'busy': {
				sendJson(response, 503, {error: 'busy'});
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
		writeObject(kind, name, spec) {
			write(kind, name, spec);
			recordOutsideWrite(kind, name, spec);
		},
		removeObject(kind, name) {
			remove(kind, name);
			recordOutsideWrite(kind, name, undefined);
		},
		setFault(newFault) {
			fault = newFault;
		},
		compact() {
			historyStart = revision + 1;
			revision += 1;
			changes = [];
			for (const pendingWatch of pendingWatches) {
				pendingWatches.delete(pendingWatch);
				pendingWatch.answer();
			}
		},
		takeCopy() {
			copy = takeSnapshot();
		},
		restoreCopy(watches) {
			const restored = copy ?? takeSnapshot();
			revision = restored.revision;
			restoredRevision = restored.revision;
			epoch += 1;
			objects.clear();
			for (const [kind, items] of restored.objects) {
				objects.set(kind, new Map(items.map(object => [object.meta.name, object])));
			}

			changes = changes.filter(change => change.revision <= restored.revision);
			historyStart = Math.min(historyStart, restored.revision);
			lostWrites = outsideWrites.filter(outsideWrite => outsideWrite.revision > restored.revision);
			outsideWrites = outsideWrites.filter(outsideWrite => outsideWrite.revision <= restored.revision);
			endWatches(watches);
		},
		rewriteLostObjects() {
			const isWrittenSince = ({kind, name}: OutsideWrite): boolean => outsideWrites.some(other => other.kind === kind && other.name === name && other.revision > restoredRevision);
			for (const {kind, name, spec} of lostWrites.filter(lostWrite => !isWrittenSince(lostWrite))) {
				if (spec === undefined) {
					remove(kind, name);
				} else {
					write(kind, name, spec);
				}

				recordOutsideWrite(kind, name, spec);
			}

			lostWrites = [];
		},
		advanceRevision(count) {
			revision += count;
		},
		getCreateCount: kind => createCounts.get(kind) ?? 0,
		startStaleReads() {
			staleSnapshot = takeSnapshot();
		},
		stopStaleReads() {
			staleSnapshot = undefined;
		},
		getListCounts,
		listNames: kind => [...getObjectsOfKind(kind).keys()],
		close() {
			server.close();
			server.closeAllConnections();
		},
	};
}
