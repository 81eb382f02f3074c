/**
Client of the platform's list of live and leaving hosts, which lags behind reality.
*/
import {getError} from '@currantcross/core/error-text';
import type {HostListing} from '@currantcross/core/membership';
import type {Milliseconds} from '@currantcross/core/types';
import {request} from 'undici';
import VError from 'verror';
import {z} from 'zod';

/** An entry as the host list names it. */
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
	Reads the host list; `undefined` says that it has not changed since the last read.

	@throws VError named `HostListError` when it does not answer in time or in its form.
	*/
	readChange(): Promise<HostList | undefined>;
}>;

const notModifiedStatus = 304;

/** Creates a client that asks for the list only if it has changed, by its entity tag. */
export function createHostListClient(url: string, timeoutMs: Milliseconds): HostListClient {
	let entityTag: string | undefined;

	async function readChange(): Promise<HostList | undefined> {
		const response = await request(new URL('/v1/hosts', url), {
			headers: entityTag === undefined ? {} : {'if-none-match': entityTag},
			signal: AbortSignal.timeout(timeoutMs),
		});
		if (response.statusCode === notModifiedStatus) {
			await response.body.dump();
			return undefined;
		}

		const hosts = hostListSchema.parse(await response.body.json());
		const {etag} = response.headers;
		entityTag = typeof etag === 'string' ? etag : undefined;
		return hosts;
	}

	return {
		async readChange() {
			try {
				return await readChange();
			} catch (error) {
				throw new VError({name: 'HostListError', cause: getError(error)}, 'the host list can not be read');
			}
		},
	};
}
