/**
Checks the platform's bounds on requests whose prompts crash servers, and on requests to servers that name a limit.
*/
import type {CallOutcome} from './soak-callers.js';
import {crashSegment, serverBounds, soakBounds} from './soak-configuration.js';
import {isDisrupted, type SoakGateway} from './soak-gateways.js';
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

type TimedArrival = Readonly<{gateway: SoakGateway; sentAt: number; at: number; answeredAt: number}>;

/** Returns whether a restart or a freeze of the gateway, or a cut where that counts, lies between two times. */
function isExcused(gateway: SoakGateway, from: number, to: number, isCutExcuse: boolean): boolean {
	return isDisrupted(gateway, isCutExcuse ? ['ended', 'frozen', 'cutOff'] : ['ended', 'frozen'], from, to);
}

/** Finds requests that callers sent to a gateway over `drainMs` after it had passed on a response of a leaving server, and that reached that server. */
function findLeavingViolation({id, leavingFrom}: SoakServer, arrivals: readonly TimedArrival[]): string | undefined {
	if (leavingFrom === undefined) {
		return undefined;
	}

	const told = arrivals.filter(({at}) => at > leavingFrom);
	const late = told.filter(({gateway, sentAt}) => told.some(first =>
		first.gateway === gateway && sentAt > first.answeredAt + soakBounds.drainMs && !isExcused(gateway, first.answeredAt, sentAt, false)));
	return late.length > 0 ? `${late.length} requests reached ${id} late after it had said that it is leaving` : undefined;
}

/** Finds gateways that sent more requests than allowed to a server within the time for which it had asked for none. */
function findRestViolation({id, standin}: SoakServer, arrivals: readonly TimedArrival[], outcomes: ReadonlyMap<string, CallOutcome>): string | undefined {
	for (const {requestId, refusedAt, restMs} of standin.refusals) {
		const gateway = outcomes.get(requestId)?.gateway;
		const early = arrivals.filter(arrival => arrival.gateway === gateway && arrival.at > refusedAt + serverBounds.restSlackMs && arrival.at < refusedAt + restMs
			&& !isExcused(arrival.gateway, refusedAt, arrival.at, true));
		if (early.length > serverBounds.maximumRestArrivals) {
			return `${id} asked for ${restMs} ms and got ${early.length} requests of one gateway in that time`;
		}
	}

	return undefined;
}

/** Returns when requests that servers ran or refused reached a server, and from which gateway. */
function getArrivals({standin}: SoakServer, outcomes: ReadonlyMap<string, CallOutcome>): readonly TimedArrival[] {
	const arrivals = [
		...standin.runs.map(({requestId, startedAt}) => ({requestId, at: startedAt})),
		...standin.refusals.map(({requestId, refusedAt}) => ({requestId, at: refusedAt})),
	];
	return arrivals.flatMap(({requestId, at}) => {
		const outcome = outcomes.get(requestId);
		return outcome === undefined
			? []
			: [{
				gateway: outcome.gateway, sentAt: outcome.sentAt, at, answeredAt: outcome.endedAt,
			}];
	});
}

/** Returns the bounds that the runs on servers violate. */
export function findServerViolations(outcomes: readonly CallOutcome[], servers: readonly SoakServer[], runs: readonly SoakRun[]): readonly string[] {
	const outcomesById = new Map(outcomes.map(outcome => [outcome.requestId, outcome]));
	const stableRuns = runs.filter(run => isFromStableGateway(run, outcomesById));
	const crashViolation = findCrashViolation(servers, runs, outcomesById);
	return [
		...crashViolation === undefined ? [] : [crashViolation],
		...servers.flatMap(server => findLeavingViolation(server, getArrivals(server, outcomesById)) ?? []),
		...servers.flatMap(server => findRestViolation(server, getArrivals(server, outcomesById), outcomesById) ?? []),
		...servers.flatMap(server => findLimitViolation(server, stableRuns.filter(run => run.server === server)) ?? []),
	];
}
