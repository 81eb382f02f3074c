/**
Checks the platform's bounds on requests whose prompts crash servers, and on requests to servers that name a limit.
*/
import type {CallOutcome} from './soak-callers.js';
import {crashSegment, serverBounds} from './soak-configuration.js';
import {isDisrupted} from './soak-gateways.js';
import type {SoakRun, SoakServer} from './soak-servers.js';

/** Time after a server first named its limit until all gateways in use have received a response that names it. */
const limitLearningMs = 500;
const millisecondsPerSecond = 1000;

/** Returns whether a request came from a gateway without a disruption in the window before. */
function isFromStableGateway({requestId, startedAt}: SoakRun, outcomes: ReadonlyMap<string, CallOutcome>): boolean {
	const gateway = outcomes.get(requestId)?.gateway;
	return gateway !== undefined && !isDisrupted(gateway, ['ended', 'frozen', 'cutOff'], startedAt - serverBounds.stableWindowMs, startedAt);
}

function findCrashViolation(servers: readonly SoakServer[], runs: readonly SoakRun[], outcomes: ReadonlyMap<string, CallOutcome>): string | undefined {
	const crashTimes = servers.flatMap(({crashedAt}) => crashedAt ?? []).toSorted((left, right) => left - right);
	const boundedCrashAt = crashTimes[serverBounds.crashes - 1];
	if (boundedCrashAt === undefined) {
		return undefined;
	}

	const lateRuns = runs.filter(run => run.segments?.includes(`${crashSegment}:`) === true
		&& run.startedAt > boundedCrashAt + serverBounds.stableWindowMs && isFromStableGateway(run, outcomes));
	return lateRuns.length > serverBounds.maximumLateRuns
		? `${lateRuns.length} requests with the crash segment reached servers more than ${serverBounds.stableWindowMs} ms after the fifth of ${crashTimes.length} crashes`
		: undefined;
}

function findLimitViolation({id, limit}: SoakServer, serverRuns: readonly SoakRun[]): string | undefined {
	const firstRun = limit === undefined ? undefined : serverRuns.find(({startedAt}) => startedAt > limit.from);
	if (limit === undefined || firstRun === undefined) {
		return undefined;
	}

	const from = firstRun.startedAt + Math.max(limitLearningMs, serverBounds.stableWindowMs);
	const times = serverRuns.map(({startedAt}) => startedAt).filter(at => at >= from && at < limit.to);
	const allowed = (serverBounds.limitFactor * limit.requestsPerSecond * serverBounds.limitWindowMs / millisecondsPerSecond) + serverBounds.limitSlack;
	const most = Math.max(0, ...times.map(start => times.filter(at => at >= start && at < start + serverBounds.limitWindowMs).length));
	return most > allowed ? `${id} with a limit of ${limit.requestsPerSecond} requests a second ran ${most} in 4 s, ${allowed} are allowed` : undefined;
}

/** Returns the bounds that the runs on servers violate. */
export function findServerViolations(outcomes: readonly CallOutcome[], servers: readonly SoakServer[], runs: readonly SoakRun[]): readonly string[] {
	const outcomesById = new Map(outcomes.map(outcome => [outcome.requestId, outcome]));
	const stableRuns = runs.filter(run => isFromStableGateway(run, outcomesById));
	const crashViolation = findCrashViolation(servers, runs, outcomesById);
	return [
		...crashViolation === undefined ? [] : [crashViolation],
		...servers.flatMap(server => findLimitViolation(server, stableRuns.filter(run => run.server === server)) ?? []),
	];
}
