/**
The promises of the gateway, checked on what callers and servers saw.
*/
import type {CallOutcome} from './soak-callers.js';
import {
	callDeadlineMs, eventCount, soakBounds, steadyKey, type CallKind,
} from './soak-configuration.js';
import {isTroubled} from './soak-gateways.js';
import type {SoakRun} from './soak-servers.js';

/** A span in which the store could not be used by all. */
export type StoreTrouble = {readonly from: number; to: number};

export type SoakRecord = Readonly<{
	outcomes: readonly CallOutcome[];
	runs: readonly SoakRun[];
	/** When the store took each key away. */
	revokedAt: ReadonlyMap<string, number>;
	storeTroubles: readonly StoreTrouble[];
}>;

/** Time for one turn of a busy process and for the way back. */
const slackMs = 600;
const windowStepMs = 1000;

const whole = Array.from({length: eventCount}, (_, index) => `id: ${index + 1}\ndata: ${index + 1}\n\n`).join('');
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const deniedStatuses: ReadonlySet<number> = new Set([401, 403, 404]);

function isStream(kind: CallKind): boolean {
	return kind === 'ask' || kind === 'archive';
}

function checkSuccess({kind, requestId, text, hasStamp, isComplete, hasLeft}: CallOutcome): string | undefined {
	const expected = isStream(kind) ? whole : `done ${requestId}`;
	if (!hasStamp) {
		return 'a success without proof of its server';
	}

	if (isComplete && !hasLeft && text !== expected) {
		return `a success with another body: ${JSON.stringify(text.slice(0, 80))}`;
	}

	return expected.startsWith(text) ? undefined : 'an answer that broke off and is no part of the whole one';
}

/** Returns what one answer breaks, if anything. */
export function findBrokenPromise(outcome: CallOutcome): string | undefined {
	const {status, key, kind, gateway, sentAt, endedAt, error, hasLeft} = outcome;
	if (status !== undefined && status < 300) {
		const broken = checkSuccess(outcome);
		if (broken !== undefined) {
			return broken;
		}
	}

	if (status !== undefined && deniedStatuses.has(status) && key === steadyKey) {
		return `a proper request was answered ${status}`;
	}

	const isLate = endedAt - sentAt > callDeadlineMs[kind] + slackMs;
	if (isLate && !isTroubled(gateway, ['ended', 'frozen'], sentAt, endedAt + slackMs)) {
		return `the end came ${Math.round(endedAt - sentAt)} ms after the request`;
	}

	if (error !== undefined && !hasLeft && !isTroubled(gateway, ['ended', 'frozen'], sentAt - slackMs, endedAt + slackMs)) {
		const troubles = gateway.troubles.map(({kind, from, to}) => `${kind} from ${Math.round(from - sentAt)} to ${Math.round(to - sentAt)} ms`);
		return `the connection closed without an answer: ${error}; ${troubles.join(', ')}`;
	}

	return undefined;
}

function getRunsByRequest(runs: readonly SoakRun[]): ReadonlyMap<string, readonly SoakRun[]> {
	const groups = new Map<string, SoakRun[]>();
	for (const run of runs) {
		groups.set(run.requestId, [...groups.get(run.requestId) ?? [], run]);
	}

	return groups;
}

function isStoreTroubled(storeTroubles: readonly StoreTrouble[], from: number, to: number): boolean {
	return storeTroubles.some(trouble => trouble.from <= to && trouble.to >= from);
}

function checkRun(run: SoakRun, outcome: CallOutcome | undefined, record: SoakRecord): string | undefined {
	if (outcome === undefined || run.body !== run.requestId || run.credential !== undefined || run.organisation !== 'club') {
		return `${run.server.id} ran what nobody sent in that form: ${run.requestId}`;
	}

	if (run.server.service !== (isStream(outcome.kind) ? 'models' : 'shop')) {
		return `${run.server.id} ran ${outcome.kind} of another service`;
	}

	const revokedAt = record.revokedAt.get(outcome.key);
	if (revokedAt !== undefined && outcome.sentAt > revokedAt + soakBounds.revocationMs) {
		return `${run.requestId} ran ${Math.round(outcome.sentAt - revokedAt)} ms after its key was taken away`;
	}

	const {leftAt} = run.server;
	const isBound = leftAt !== undefined && outcome.sentAt > leftAt + soakBounds.drainMs
		&& !isTroubled(outcome.gateway, ['ended', 'frozen', 'cutOff'], leftAt - slackMs, run.at)
		&& !isStoreTroubled(record.storeTroubles, leftAt - slackMs, run.at);
	return isBound ? `${run.requestId} reached ${run.server.id} ${Math.round(run.at - leftAt)} ms after that left` : undefined;
}

function checkOutcomeRuns({kind, requestId, status}: CallOutcome, runs: readonly SoakRun[]): string | undefined {
	if (kind === 'book' && runs.length > 1) {
		return `the action ${requestId} ran ${runs.length} times`;
	}

	return status !== undefined && notRunStatuses.has(status) && runs.length > 0
		? `${requestId} (${kind}) was answered ${status} and ran`
		: undefined;
}

function findBudgetBreaks({outcomes, runs}: SoakRecord): readonly string[] {
	const kindsById = new Map(outcomes.map(({requestId, kind}) => [requestId, kind]));
	const broken: string[] = [];
	for (const service of ['models', 'shop'] as const) {
		const further = [...getRunsByRequest(runs.filter(({server}) => server.service === service)).values()].flatMap(group => group.slice(1).map(({at}) => at));
		const sent = outcomes.filter(({kind}) => isStream(kind) === (service === 'models')).map(({sentAt}) => sentAt);
		const first = Math.min(...sent);
		const last = Math.max(...sent);
		for (let start = first; start < last; start += windowStepMs) {
			const isInside = (at: number): boolean => at >= start && at < start + soakBounds.retryWindowMs;
			const limit = (sent.filter(at => at >= start - soakBounds.retryWindowMs && at < start + soakBounds.retryWindowMs).length * soakBounds.retryRatio)
				+ soakBounds.retrySlack;
			const count = further.filter(at => isInside(at)).length;
			if (count > limit) {
				broken.push(`${count} further runs at ${service} in a window, ${Math.round(limit)} allowed (${kindsById.size} requests)`);
			}
		}
	}

	return broken;
}

/** Returns all that is broken by what callers and servers saw together. */
export function findBrokenPromises(record: SoakRecord): readonly string[] {
	const outcomes = new Map(record.outcomes.map(outcome => [outcome.requestId, outcome]));
	const runs = getRunsByRequest(record.runs);
	return [
		...record.runs.flatMap(run => checkRun(run, outcomes.get(run.requestId), record) ?? []),
		...record.outcomes.flatMap(outcome => checkOutcomeRuns(outcome, runs.get(outcome.requestId) ?? []) ?? []),
		...findBudgetBreaks(record),
	];
}
