/**
Calls between entries: exchange of configuration, and reports for operators.

A delta travels as JSON inside its message, since its objects are checked by the same schemas as tickets.
*/
import {parseOwnJson} from '@currantcross/core/json';
import {createClient, type ConnectRouter} from '@connectrpc/connect';
import type {ConfigurationDelta} from '@currantcross/core/configuration';
import type {Milliseconds} from '@currantcross/core/types';
import type {Connections} from './connections.js';
import {EntryService} from './gen/currantcross/v1/peer_pb.js';

export type EntryPeerHost = Readonly<{
	/** Returns what changed after the asker's sequence. */
	getDelta(after: number): ConfigurationDelta;
	/** Hears that another entry, named in the list of hosts, knows of a sequence. */
	learnSequence(sequence: number, entryName: string): void;
	/** Returns the report of this entry as JSON. */
	getReport(): string;
}>;

export type EntryPeerClient = Readonly<{
	/** Tells a peer the own sequence and returns what it knows beyond. */
	exchangeConfiguration(peerUrl: string, sequence: number): Promise<ConfigurationDelta>;
	getReport(peerUrl: string): Promise<string>;
}>;

/** Adds the service of an entry to its server. */
export function registerEntryService(router: ConnectRouter, host: EntryPeerHost): void {
	router.service(EntryService, {
		exchangeConfiguration({sequence, entry}) {
			host.learnSequence(sequence, entry);
			const delta = host.getDelta(sequence);
			return {sequence: delta.sequence, delta: JSON.stringify(delta.objects)};
		},
		getReport: () => ({report: host.getReport()}),
	});
}

/** Creates the client of the entry `entryName`, whose calls time out after `timeoutMs`. */
export function createEntryPeerClient(entryName: string, connections: Connections, timeoutMs: Milliseconds): EntryPeerClient {
	async function call<Result>(peerUrl: string, perform: (client: ReturnType<typeof getClient>) => Promise<Result>): Promise<Result> {
		try {
			return await perform(getClient(peerUrl));
		} catch (error) {
			connections.getTransport(peerUrl, true);
			throw error;
		}
	}

	function getClient(peerUrl: string) {
		return createClient(EntryService, connections.getTransport(peerUrl, false));
	}

	return {
		async exchangeConfiguration(peerUrl, sequence) {
			const response = await call(peerUrl, async client => client.exchangeConfiguration({sequence, entry: entryName}, {timeoutMs}));
			const objects = parseOwnJson<ConfigurationDelta['objects']>(response.delta);
			return {after: sequence, sequence: response.sequence, objects};
		},
		async getReport(peerUrl) {
			const response = await call(peerUrl, async client => client.getReport({}, {timeoutMs}));
			return response.report;
		},
	};
}
