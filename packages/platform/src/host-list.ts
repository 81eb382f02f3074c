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

/**
Reads the host list.

@throws VError named `HostListError` when it does not answer in time or in its form.
*/
export async function readHostList(url: string, timeoutMs: Milliseconds): Promise<HostList> {
	try {
		const response = await request(new URL('/v1/hosts', url), {signal: AbortSignal.timeout(timeoutMs)});
		return hostListSchema.parse(await response.body.json());
	} catch (error) {
		throw new VError({name: 'HostListError', cause: getError(error)}, 'the host list can not be read');
	}
}
