/**
RPC service and client between entries: configuration exchange, claim appends, and reports for operators.

Configuration deltas are sent as JSON inside their message because their objects are checked by the same schemas as
tickets.
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

/** Timeout of a call to the preferred appender, after which the calling entry appends the record itself. */
const appendTimeoutMs = 400;

/** The operations of an entry that the service needs. */
export type EntryServiceHost = Readonly<{
	/** Returns the configuration changes after a sequence. */
	getDelta(after: number): ConfigurationDelta;
	/** Notes that another entry has reached a sequence; `entryName` is its name in the host list. */
	learnSequence(sequence: number, entryName: string): void;
	/** Returns the service-level counts of this entry as JSON. */
	getReport(): string;
	/** Appends a record for another entry, because this entry is the preferred appender of the record's log. */
	appendClaim(record: ClaimRecord, budgetMs: Milliseconds): Promise<AppendOutcome>;
}>;

/** Outcome of an append, with the claim as it stands afterwards. */
export type AppendOutcome = SubmissionOutcome<Claim | undefined>;

export type EntryPeerClient = Readonly<{
	/** Announces the local sequence to a peer and returns the changes that the peer has after it. */
	exchangeConfiguration(peerUrl: string, sequence: number): Promise<ConfigurationDelta>;
	getReport(peerUrl: string): Promise<string>;
	/** Asks a peer to append a record. When this throws, the record may still have been appended. */
	appendClaim(peerUrl: string, record: ClaimRecord, budgetMs: Milliseconds): Promise<AppendOutcome>;
}>;

function toWireAppendOutcome(outcome: AppendOutcome): wire.AppendClaimResponse {
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

function fromWireAppendOutcome({outcome}: wire.AppendClaimResponse): AppendOutcome {
	switch (outcome.case) {
		case 'claim': {
			return {kind: 'applied', effect: outcome.value === '' ? undefined : parseTrustedJson<Claim>(outcome.value)};
		}

		case 'expired': {
			return {kind: 'expired', mayTakeEffect: outcome.value.mayTakeEffect};
		}

		// Without an outcome, the record may have been appended.
		case undefined: {
			return {kind: 'expired', mayTakeEffect: true};
		}
	}
}

/** Registers the entry service on an RPC server. */
export function registerEntryService(router: ConnectRouter, host: EntryServiceHost): void {
	router.service(wire.EntryService, {
		exchangeConfiguration({sequence, entry}) {
			host.learnSequence(sequence, entry);
			const delta = host.getDelta(sequence);
			return {sequence: delta.sequence, delta: JSON.stringify(delta.objects)};
		},
		getReport: () => ({report: host.getReport()}),
		async appendClaim({record, budgetMs}) {
			return toWireAppendOutcome(await host.appendClaim(parseTrustedJson<ClaimRecord>(record), budgetMs));
		},
	});
}

/** Creates the client of the entry `entryName`. Its calls, other than appends, time out after `timeoutMs`. */
export function createEntryPeerClient(entryName: string, connections: Connections, timeoutMs: Milliseconds): EntryPeerClient {
	/** Performs a call. After a failure the next call uses a new connection, since the old one may be dead. */
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
			return fromWireAppendOutcome(response);
		},
	};
}
