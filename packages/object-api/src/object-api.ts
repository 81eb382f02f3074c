/**
Client of the platform's object API, which offers versioned objects, conditional writes, lists and watches over HTTP.

The response to a write may be lost after the write took effect. The outcome of such a write is `unknown` rather than a
failure, and the caller has to read the object back.
*/
import {parseTrustedJson} from '@currantcross/core/json';
import type {CreateOutcome} from '@currantcross/core/replicated-log';
import type {Milliseconds} from '@currantcross/core/types';
import {request, type Dispatcher} from 'undici';
import VError from 'verror';

/** A stored object. Each write increases its version. */
export type StoredObject = Readonly<{key: string; value: string; version: number}>;

export type ObjectPage = Readonly<{items: readonly StoredObject[]; revision: number}>;

export type ObjectApiSettings = Readonly<{
	url: string;
	/** Timeout of a call. The wait time of a watch is added to it. */
	timeoutMs: Milliseconds;
}>;

/** Selects objects with a common prefix whose keys are greater than `after`, in key order. */
export type ListRequest = Readonly<{prefix: string; after: string; limit: number}>;

export type ObjectApi = Readonly<{
	tryGet(key: string): Promise<StoredObject | undefined>;
	/** Creates an object unless the key exists. Never throws. */
	create(key: string, value: string): Promise<CreateOutcome>;
	/** Writes an object if its current version is `version`; returns `exists` otherwise. Never throws. */
	update(key: string, value: string, version: number): Promise<CreateOutcome>;
	/** Deletes an object if its current version is `version`. Never throws. */
	remove(key: string, version: number): Promise<CreateOutcome>;
	list(listRequest: ListRequest): Promise<ObjectPage>;
	/** Waits until an object with the prefix is written after the revision, or the wait time expires. */
	watch(prefix: string, revision: number, waitMs: Milliseconds): Promise<ObjectPage>;
}>;

const preconditionFailedStatus = 412;
const notFoundStatus = 404;
const tooManyRequestsStatus = 429;
const unavailableStatus = 503;

function isSuccess(status: number): boolean {
	return status >= 200 && status < 300;
}

function getWriteOutcome(status: number): CreateOutcome {
	if (isSuccess(status)) {
		return 'created';
	}

	switch (status) {
		case preconditionFailedStatus:
		case notFoundStatus: {
			return 'exists';
		}

		case tooManyRequestsStatus:
		case unavailableStatus: {
			return 'refused';
		}

		default: {
			return 'unknown';
		}
	}
}

/** Creates a client of the object API; connections are opened on demand. */
export function createObjectApi(settings: ObjectApiSettings): ObjectApi {
	function getObjectUrl(key: string): URL {
		return new URL(`/v1/objects/${encodeURIComponent(key)}`, settings.url);
	}

	async function sendRequest(url: URL, options: Readonly<{
		method: Dispatcher.HttpMethod; headers?: Record<string, string>; body?: string; waitMs?: Milliseconds;
	}>) {
		const {waitMs, ...requestOptions} = options;
		const signal = AbortSignal.timeout(settings.timeoutMs + (waitMs ?? 0));
		const response = await request(url, {...requestOptions, signal});
		return {status: response.statusCode, text: await response.body.text()};
	}

	async function sendWrite(method: 'PUT' | 'DELETE', key: string, conditionHeaders: Record<string, string>, body?: string): Promise<CreateOutcome> {
		try {
			const response = await sendRequest(getObjectUrl(key), {method, headers: conditionHeaders, ...(body === undefined ? {} : {body})});
			return getWriteOutcome(response.status);
		} catch {
			return 'unknown';
		}
	}

	async function readPage(url: URL, waitMs: Milliseconds): Promise<ObjectPage> {
		const response = await sendRequest(url, {method: 'GET', waitMs});
		if (!isSuccess(response.status)) {
			throw new VError({name: 'ObjectApiError'}, 'the object API answered %d', response.status);
		}

		const page = parseTrustedJson<ObjectPage>(response.text);
		return page;
	}

	return {
		async tryGet(key) {
			const response = await sendRequest(getObjectUrl(key), {method: 'GET'});
			if (response.status === notFoundStatus) {
				return undefined;
			}

			if (!isSuccess(response.status)) {
				throw new VError({name: 'ObjectApiError'}, 'the object API answered %d', response.status);
			}

			const stored = parseTrustedJson<StoredObject>(response.text);
			return stored;
		},
		create: async (key, value) => sendWrite('PUT', key, {'if-none-match': '*'}, value),
		update: async (key, value, version) => sendWrite('PUT', key, {'if-match': String(version)}, value),
		remove: async (key, version) => sendWrite('DELETE', key, {'if-match': String(version)}),
		async list({prefix, after, limit}) {
			const query = new URLSearchParams({prefix, after, limit: String(limit)});
			return readPage(new URL(`/v1/objects?${query.toString()}`, settings.url), 0);
		},
		async watch(prefix, revision, waitMs) {
			const query = new URLSearchParams({prefix, revision: String(revision), waitMs: String(waitMs)});
			return readPage(new URL(`/v1/watch?${query.toString()}`, settings.url), waitMs);
		},
	};
}
