/**
Checks the guarantees of the gateway against the requests and responses that callers and servers observed.
*/
import type {CallOutcome} from './soak-callers.js';
import {
	callDeadlineMs, eventCount, soakBounds, permanentKey, type CallKind,
} from './soak-configuration.js';
import {isDisrupted} from './soak-gateways.js';
import type {SoakRun} from './soak-servers.js';

/** Time span in which the store failed for all gateways. */
export type StoreDisruption = {readonly from: number; to: number};

export type SoakObservations = Readonly<{
	outcomes: readonly CallOutcome[];
	runs: readonly SoakRun[];
	/** When each revoked key was removed from the configuration. */
	revocationTimes: ReadonlyMap<string, number>;
	storeDisruptions: readonly StoreDisruption[];
}>;

/** Tolerance for one event-loop iteration of a busy process and for the time that the response takes to reach the caller. */
const toleranceMs = 600;
const windowStepMs = 1000;

const completeStream = Array.from({length: eventCount}, (_, index) => `id: ${index + 1}\ndata: ${index + 1}\n\n`).join('');
/** Statuses that guarantee that the request did not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Statuses that must not occur for a valid request with a key that is never revoked. */
const deniedStatuses: ReadonlySet<number> = new Set([401, 403, 404]);

function isStream(kind: CallKind): boolean {
	return kind === 'ask' || kind === 'archive';
}

/** Checks the stamp and the body of a success response. */
function checkSuccess({kind, requestId, text, hasResponseStamp, isComplete, shouldDisconnect}: CallOutcome): string | undefined {
	const expected = isStream(kind) ? completeStream : `done ${requestId}`;
	if (!hasResponseStamp) {
		return 'a success response has no stamp of a server';
	}

	if (isComplete && !shouldDisconnect && text !== expected) {
		return `a success response has an unexpected body: ${JSON.stringify(text.slice(0, 80))}`;
	}

	return expected.startsWith(text) ? undefined : 'the body of an incomplete response is not a prefix of the expected body';
}

/** Returns the guarantee that one outcome violates, if any. */
export function findOutcomeViolation(outcome: CallOutcome): string | undefined {
	const {status, key, kind, gateway, sentAt, endedAt, error, shouldDisconnect} = outcome;
	if (status !== undefined && status < 300) {
		const violation = checkSuccess(outcome);
		if (violation !== undefined) {
			return violation;
		}
	}

	if (status !== undefined && deniedStatuses.has(status) && key === permanentKey) {
		return `a valid request got status ${status}`;
	}

	const isLate = endedAt - sentAt > callDeadlineMs[kind] + toleranceMs;
	if (isLate && !isDisrupted(gateway, ['ended', 'frozen'], sentAt, endedAt + toleranceMs)) {
		return `the request ended ${Math.round(endedAt - sentAt)} ms after it was sent`;
	}

	if (error !== undefined && !shouldDisconnect && !isDisrupted(gateway, ['ended', 'frozen'], sentAt - toleranceMs, endedAt + toleranceMs)) {
		const disruptions = gateway.disruptions.map(({kind, from, to}) => `${kind} from ${Math.round(from - sentAt)} to ${Math.round(to - sentAt)} ms`);
		return `the connection closed without a response: ${error}; ${disruptions.join(', ')}`;
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

function isStoreDisrupted(storeDisruptions: readonly StoreDisruption[], from: number, to: number): boolean {
	return storeDisruptions.some(disruption => disruption.from <= to && disruption.to >= from);
}

/** Checks that a caller sent the request, that its key was valid, and that the server belongs to its service and had not left. */
function checkRun(run: SoakRun, outcome: CallOutcome | undefined, observations: SoakObservations): string | undefined {
	if (outcome === undefined || run.body !== run.requestId || run.credential !== undefined || run.organisation !== 'club') {
		return `${run.server.id} ran a request that no caller sent in this form: ${run.requestId}`;
	}

	if (run.server.service !== (isStream(outcome.kind) ? 'models' : 'shop')) {
		return `${run.server.id} ran a request of kind ${outcome.kind}, which belongs to another service`;
	}

	const revokedAt = observations.revocationTimes.get(outcome.key);
	if (revokedAt !== undefined && outcome.sentAt > revokedAt + soakBounds.revocationMs) {
		return `${run.requestId} ran ${Math.round(outcome.sentAt - revokedAt)} ms after its key was revoked`;
	}

	const {leftAt} = run.server;
	const isDrainViolated = leftAt !== undefined && outcome.sentAt > leftAt + soakBounds.drainMs
		&& !isDisrupted(outcome.gateway, ['ended', 'frozen', 'cutOff'], leftAt - toleranceMs, run.startedAt)
		&& !isStoreDisrupted(observations.storeDisruptions, leftAt - toleranceMs, run.startedAt);
	return isDrainViolated ? `${run.requestId} reached ${run.server.id} ${Math.round(run.startedAt - leftAt)} ms after it started to leave` : undefined;
}

/** Checks that an action ran at most once, and that a request reported as not run did not run. */
function checkOutcomeRuns({kind, requestId, status}: CallOutcome, runs: readonly SoakRun[]): string | undefined {
	if (kind === 'book' && runs.length > 1) {
		return `the action ${requestId} ran ${runs.length} times`;
	}

	return status !== undefined && notRunStatuses.has(status) && runs.length > 0
		? `${requestId} (${kind}) got status ${status}, but ran`
		: undefined;
}

/** Checks repeated runs against the retry budget in sliding windows; the budget also counts the requests of the window before. */
function findRetryBudgetViolations({outcomes, runs}: SoakObservations): readonly string[] {
	const kindsById = new Map(outcomes.map(({requestId, kind}) => [requestId, kind]));
	const violations: string[] = [];
	for (const service of ['models', 'shop'] as const) {
		const retryTimes = [...getRunsByRequest(runs.filter(({server}) => server.service === service)).values()].flatMap(group => group.slice(1).map(({startedAt}) => startedAt));
		const sentTimes = outcomes.filter(({kind}) => isStream(kind) === (service === 'models')).map(({sentAt}) => sentAt);
		const firstSentAt = Math.min(...sentTimes);
		const lastSentAt = Math.max(...sentTimes);
		for (let start = firstSentAt; start < lastSentAt; start += windowStepMs) {
			const isInWindow = (at: number): boolean => at >= start && at < start + soakBounds.retryWindowMs;
			const limit = (sentTimes.filter(at => at >= start - soakBounds.retryWindowMs && at < start + soakBounds.retryWindowMs).length * soakBounds.retryRatio)
				+ soakBounds.retrySlack;
			const count = retryTimes.filter(at => isInWindow(at)).length;
			if (count > limit) {
				violations.push(`${count} repeated runs at ${service} in one window, ${Math.round(limit)} allowed (${kindsById.size} requests in total)`);
			}
		}
	}

	return violations;
}

/** Returns the guarantees that the runs on servers violate, compared with the outcomes that callers observed. */
export function findRunViolations(observations: SoakObservations): readonly string[] {
	const outcomes = new Map(observations.outcomes.map(outcome => [outcome.requestId, outcome]));
	const runs = getRunsByRequest(observations.runs);
	return [
		...observations.runs.flatMap(run => checkRun(run, outcomes.get(run.requestId), observations) ?? []),
		...observations.outcomes.flatMap(outcome => checkOutcomeRuns(outcome, runs.get(outcome.requestId) ?? []) ?? []),
		...findRetryBudgetViolations(observations),
	];
}
