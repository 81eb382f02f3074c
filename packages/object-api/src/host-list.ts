/**
Client of the platform's list of live and leaving hosts. The list may lag behind the actual state of the hosts.
*/
import {toError} from '@currantcross/core/error-text';
import type {HostListing} from '@currantcross/core/membership';
import type {Milliseconds} from '@currantcross/core/types';
import {request} from 'undici';
import VError from 'verror';
import {z} from 'zod';

/** An entry in the host list. */
export type EntryListing = Readonly<{name: string; dataCentre: string; peerUrl: string}>;

export type HostList = Readonly<{
	servers: readonly HostListing[];
	entries: readonly EntryListing[];
}>;

const hostListSchema = z.object({
	servers: z.array(z.object({
		server: z.object({
			name: z.string(), kind: z.enum(['model', 'business']), pool: z.string(), dataCentre: z.string(), agentUrl: z.string(),
		}),
		isLeaving: z.boolean(),
	})),
	entries: z.array(z.object({name: z.string(), dataCentre: z.string(), peerUrl: z.string()})),
});

export type HostListClient = Readonly<{
	/**
	Reads the host list; returns `undefined` if it has not changed since the last read.

	@throws VError named `HostListError` if the request fails, times out or returns an invalid list.
	*/
	readIfChanged(): Promise<HostList | undefined>;
}>;

const okStatus = 200;
const notModifiedStatus = 304;

/** Creates a client that uses the list's entity tag to fetch it only if it has changed. */
export function createHostListClient(url: string, timeoutMs: Milliseconds): HostListClient {
	let entityTag: string | undefined;

	async function readIfChanged(): Promise<HostList | undefined> {
		const response = await request(new URL('/v1/hosts', url), {
			headers: entityTag === undefined ? {} : {'if-none-match': entityTag},
			signal: AbortSignal.timeout(timeoutMs),
		});
		if (response.statusCode === notModifiedStatus) {
			await response.body.dump();
			return undefined;
		}

		if (response.statusCode !== okStatus) {
			await response.body.dump();
			throw new VError('the platform answered %d', response.statusCode);
		}

		const hostList = hostListSchema.parse(await response.body.json());
		const {etag} = response.headers;
		entityTag = typeof etag === 'string' ? etag : undefined;
		return hostList;
	}

	return {
		async readIfChanged() {
			try {
				return await readIfChanged();
			} catch (error) {
				throw new VError({name: 'HostListError', cause: toError(error)}, 'reading the host list failed');
			}
		},
	};
}
