/**
The command line's side of the operator API.
*/
import {parseTrustedJson} from '@currantcross/core/json';
import {toError} from '@currantcross/core/error-text';
import type {VersionedObject} from '@currantcross/core/configuration';
import type {ErrorBody} from '@currantcross/core/errors';
import type {Ticket} from '@currantcross/core/types';
import {request, type Dispatcher} from 'undici';
import VError from 'verror';
import type {
	ApplyAnswer, BurnReport, RouteView, ServerView,
} from './operator-types.js';

export type OperatorClient = Readonly<{
	applyTicket(ticket: Ticket, waits: boolean): Promise<Extract<ApplyAnswer, {kind: 'settled'}>>;
	getTicketObjects(number: number): Promise<readonly VersionedObject[]>;
	getRoutes(): Promise<readonly RouteView[]>;
	getServers(): Promise<readonly ServerView[]>;
	getBurnReport(): Promise<BurnReport>;
}>;

const timeoutMs = 60_000;

/** Creates a client; its calls throw a `VError` named `OperatorError` with one line for the operator. */
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

	async function call<Answer>(method: Dispatcher.HttpMethod, path: string, body?: string): Promise<Answer> {
		const answer = await send(method, path, body);
		if (answer.status !== 200) {
			const {error} = parseTrustedJson<ErrorBody>(answer.text);
			throw new VError({name: 'OperatorError'}, '%s (%s)', error.message, error.kind);
		}

		return parseTrustedJson<Answer>(answer.text);
	}

	return {
		applyTicket: async (ticket, waits) => call('POST', `tickets?wait=${String(waits)}`, formatTicket(ticket)),
		async getTicketObjects(number) {
			const answer = await call<{objects: readonly VersionedObject[]}>('GET', `tickets/${number}`);
			return answer.objects;
		},
		async getRoutes() {
			const answer = await call<{routes: readonly RouteView[]}>('GET', 'routes');
			return answer.routes;
		},
		async getServers() {
			const answer = await call<{servers: readonly ServerView[]}>('GET', 'servers');
			return answer.servers;
		},
		getBurnReport: async () => call('GET', 'burn'),
	};
}

/** Returns a ticket in the form of its file. */
function formatTicket(ticket: Ticket): string {
	const objects = ticket.objects.map(object => object.state === undefined
		? {kind: object.kind, name: object.name, removed: true}
		: object);
	return JSON.stringify({number: ticket.number, objects});
}
