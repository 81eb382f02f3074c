/**
Client of the platform's object API: versions, conditional writes, lists and watches over HTTP.

An answer may be lost after the write took effect. Such a write ends as `unknown`, never as a failure, and its caller
reads back what stands there.
*/
import {parseTrustedJson} from '@currantcross/core/json';
import type {CreateOutcome} from '@currantcross/core/replicated-log';
import type {Milliseconds} from '@currantcross/core/types';
import {request, type Dispatcher} from 'undici';
import VError from 'verror';

/** An object as it is stored; each write raises its version. */
export type StoredObject = Readonly<{key: string; value: string; version: number}>;

export type ObjectPage = Readonly<{items: readonly StoredObject[]; revision: number}>;

export type ObjectApiSettings = Readonly<{
	url: string;
	/** Longest wait for an answer, beyond the time that a watch was asked to wait. */
	timeoutMs: Milliseconds;
}>;

/** Objects with a common prefix whose keys are greater than `after`, in order of key. */
export type ListRequest = Readonly<{prefix: string; after: string; limit: number}>;

export type ObjectApi = Readonly<{
	tryGet(key: string): Promise<StoredObject | undefined>;
	/** Creates an object if none has the key. Never throws. */
	create(key: string, value: string): Promise<CreateOutcome>;
	/** Writes an object if its version is still the one given; `exists` says that it is not. Never throws. */
	update(key: string, value: string, version: number): Promise<CreateOutcome>;
	/** Deletes an object if its version is still the one given. Never throws. */
	remove(key: string, version: number): Promise<CreateOutcome>;
	list(listRequest: ListRequest): Promise<ObjectPage>;
	/** Waits until an object with the prefix is written after the revision, or the time is over. */
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

/** Creates a client; it opens connections as it needs them. */
export function createObjectApi(settings: ObjectApiSettings): ObjectApi {
	function getObjectUrl(key: string): URL {
		return new URL(`/v1/objects/${encodeURIComponent(key)}`, settings.url);
	}

	async function call(url: URL, options: Readonly<{
		method: Dispatcher.HttpMethod; headers?: Record<string, string>; body?: string; waitMs?: Milliseconds;
	}>) {
		const {waitMs, ...rest} = options;
		const signal = AbortSignal.timeout(settings.timeoutMs + (waitMs ?? 0));
		const response = await request(url, {...rest, signal});
		return {status: response.statusCode, text: await response.body.text()};
	}

	async function write(method: 'PUT' | 'DELETE', key: string, condition: Record<string, string>, body?: string): Promise<CreateOutcome> {
		try {
			const response = await call(getObjectUrl(key), {method, headers: condition, ...(body === undefined ? {} : {body})});
			return getWriteOutcome(response.status);
		} catch {
			return 'unknown';
		}
	}

	async function read(url: URL, waitMs: Milliseconds): Promise<ObjectPage> {
		const response = await call(url, {method: 'GET', waitMs});
		if (!isSuccess(response.status)) {
			throw new VError({name: 'ObjectApiError'}, 'the object API answered %d', response.status);
		}

		const page = parseTrustedJson<ObjectPage>(response.text);
		return page;
	}

	return {
		async tryGet(key) {
			const response = await call(getObjectUrl(key), {method: 'GET'});
			if (response.status === notFoundStatus) {
				return undefined;
			}

			if (!isSuccess(response.status)) {
				throw new VError({name: 'ObjectApiError'}, 'the object API answered %d', response.status);
			}

			const stored = parseTrustedJson<StoredObject>(response.text);
			return stored;
		},
		create: async (key, value) => write('PUT', key, {'if-none-match': '*'}, value),
		update: async (key, value, version) => write('PUT', key, {'if-match': String(version)}, value),
		remove: async (key, version) => write('DELETE', key, {'if-match': String(version)}),
		async list({prefix, after, limit}) {
			const query = new URLSearchParams({prefix, after, limit: String(limit)});
			return read(new URL(`/v1/objects?${query.toString()}`, settings.url), 0);
		},
		async watch(prefix, revision, waitMs) {
			const query = new URLSearchParams({prefix, revision: String(revision), waitMs: String(waitMs)});
			return read(new URL(`/v1/watch?${query.toString()}`, settings.url), waitMs);
		},
	};
}
