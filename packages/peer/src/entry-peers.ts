/**
Calls between entries: exchange of configuration, and reports for operators.

A delta travels as JSON inside its message, since its objects are checked by the same schemas as tickets.
*/
import {parseTrustedJson} from '@currantcross/core/json';
import {createClient, type ConnectRouter} from '@connectrpc/connect';
import {create} from '@bufbuild/protobuf';
import type {Claim, ClaimRecord} from '@currantcross/core/claims';
import type {ConfigurationDelta} from '@currantcross/core/configuration';
import type {SubmissionOutcome} from '@currantcross/core/replicated-log';
import type {Milliseconds} from '@currantcross/core/types';
import type {Connections} from './connections.js';
import * as wire from './gen/currantcross/v1/peer_pb.js';

/** Wait for the usual appender, after which an entry appends by itself. */
const appendTimeoutMs = 400;

export type EntryPeerHost = Readonly<{
	/** Returns what changed after the asker's sequence. */
	getDelta(after: number): ConfigurationDelta;
	/** Hears that another entry, named in the list of hosts, knows of a sequence. */
	learnSequence(sequence: number, entryName: string): void;
	/** Returns the report of this entry as JSON. */
	getReport(): string;
	/** Appends a record here, as the usual appender of its log. */
	appendClaim(record: ClaimRecord, budgetMs: Milliseconds): Promise<AppendOutcome>;
}>;

/** What came of a record that was appended. */
export type AppendOutcome = SubmissionOutcome<Claim | undefined>;

export type EntryPeerClient = Readonly<{
	/** Tells a peer the own sequence and returns what it knows beyond. */
	exchangeConfiguration(peerUrl: string, sequence: number): Promise<ConfigurationDelta>;
	getReport(peerUrl: string): Promise<string>;
	/** Lets a peer append a record; throws when it does not answer, and the record may then have been appended. */
	appendClaim(peerUrl: string, record: ClaimRecord, budgetMs: Milliseconds): Promise<AppendOutcome>;
}>;

function formatAppendOutcome(outcome: AppendOutcome): wire.AppendClaimResponse {
	switch (outcome.kind) {
		case 'applied': {
			const claim = outcome.effect === undefined ? '' : JSON.stringify(outcome.effect);
			return create(wire.AppendClaimResponseSchema, {outcome: {case: 'claim', value: claim}});
		}

		case 'expired': {
			const {mayTakeEffect} = outcome;
			return create(wire.AppendClaimResponseSchema, {outcome: {case: 'expired', value: {mayTakeEffect}}});
		}
	}
}

function parseAppendOutcome({outcome}: wire.AppendClaimResponse): AppendOutcome {
	switch (outcome.case) {
		case 'claim': {
			return {kind: 'applied', effect: outcome.value === '' ? undefined : parseTrustedJson<Claim>(outcome.value)};
		}

		case 'expired': {
			return {kind: 'expired', mayTakeEffect: outcome.value.mayTakeEffect};
		}

		case undefined: {
			return {kind: 'expired', mayTakeEffect: true};
		}
	}
}

/** Adds the service of an entry to its server. */
export function registerEntryService(router: ConnectRouter, host: EntryPeerHost): void {
	router.service(wire.EntryService, {
		exchangeConfiguration({sequence, entry}) {
			host.learnSequence(sequence, entry);
			const delta = host.getDelta(sequence);
			return {sequence: delta.sequence, delta: JSON.stringify(delta.objects)};
		},
		getReport: () => ({report: host.getReport()}),
		async appendClaim({record, budgetMs}) {
			return formatAppendOutcome(await host.appendClaim(parseTrustedJson<ClaimRecord>(record), budgetMs));
		},
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
		return createClient(wire.EntryService, connections.getTransport(peerUrl, false));
	}

	return {
		async exchangeConfiguration(peerUrl, sequence) {
			const response = await call(peerUrl, async client => client.exchangeConfiguration({sequence, entry: entryName}, {timeoutMs}));
			const objects = parseTrustedJson<ConfigurationDelta['objects']>(response.delta);
			return {after: sequence, sequence: response.sequence, objects};
		},
		async getReport(peerUrl) {
			const response = await call(peerUrl, async client => client.getReport({}, {timeoutMs}));
			return response.report;
		},
		async appendClaim(peerUrl, record, budgetMs) {
			const response = await call(peerUrl, async client =>
				client.appendClaim({record: JSON.stringify(record), budgetMs}, {timeoutMs: appendTimeoutMs}));
			return parseAppendOutcome(response);
		},
	};
}
