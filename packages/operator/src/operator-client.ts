/**
HTTP client of the operator API, used by the command line.
*/
import {parseTrustedJson} from '@currantcross/core/json';
import {toError} from '@currantcross/core/error-text';
import type {VersionedObject} from '@currantcross/core/configuration';
import type {ErrorBody} from '@currantcross/core/errors';
import type {Ticket} from '@currantcross/core/types';
import {request, type Dispatcher} from 'undici';
import VError from 'verror';
import type {
	ApplyTicketResult, BurnReport, RouteView, ServerView,
} from './operator-types.js';

export type OperatorClient = Readonly<{
	applyTicket(ticket: Ticket, waitsForAll: boolean): Promise<Extract<ApplyTicketResult, {kind: 'settled'}>>;
	getTicketObjects(number: number): Promise<readonly VersionedObject[]>;
	getRoutes(): Promise<readonly RouteView[]>;
	getServers(): Promise<readonly ServerView[]>;
	getBurnReport(): Promise<BurnReport>;
}>;

const timeoutMs = 60_000;

/** Creates a client. Its calls throw a `VError` named `OperatorError` whose message is one line for the operator. */
export function createOperatorClient(url: string, operatorKey: string): OperatorClient {
	async function send(method: Dispatcher.HttpMethod, path: string, body?: string) {
		try {
			const response = await request(new URL(`/operator/v1/${path}`, url), {
				method,
				headers: {authorization: `Bearer ${operatorKey}`, 'content-type': 'application/json'},
				...(body === undefined ? {} : {body}),
				signal: AbortSignal.timeout(timeoutMs),
			});
			return {status: response.statusCode, text: await response.body.text()};
		} catch (error) {
			throw new VError({name: 'OperatorError', cause: toError(error)}, 'no entry answers at %s', url);
		}
	}

	async function call<ResponseBody>(method: Dispatcher.HttpMethod, path: string, body?: string): Promise<ResponseBody> {
		const response = await send(method, path, body);
		if (response.status !== 200) {
			const {error} = parseTrustedJson<ErrorBody>(response.text);
			throw new VError({name: 'OperatorError'}, '%s (%s)', error.message, error.kind);
		}

		return parseTrustedJson<ResponseBody>(response.text);
	}

	return {
		applyTicket: async (ticket, waitsForAll) => call('POST', `tickets?wait=${String(waitsForAll)}`, formatTicket(ticket)),
		async getTicketObjects(number) {
			const body = await call<{objects: readonly VersionedObject[]}>('GET', `tickets/${number}`);
			return body.objects;
		},
		async getRoutes() {
			const body = await call<{routes: readonly RouteView[]}>('GET', 'routes');
			return body.routes;
		},
		async getServers() {
			const body = await call<{servers: readonly ServerView[]}>('GET', 'servers');
			return body.servers;
		},
		getBurnReport: async () => call('GET', 'burn'),
	};
}

/** Returns a ticket as JSON, in the format of ticket files: an object without a state is marked as removed. */
function formatTicket(ticket: Ticket): string {
	const objects = ticket.objects.map(object => object.state === undefined
		? {kind: object.kind, name: object.name, removed: true}
		: object);
	return JSON.stringify({number: ticket.number, objects});
}
