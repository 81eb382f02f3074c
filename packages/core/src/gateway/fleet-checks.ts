/**
Checks of the platform's bounds on requests whose prompts crash servers, and on requests to servers that name a limit, over all
gateways of a simulation.
*/
import type {Milliseconds, Timestamp} from '../types.js';
import type {SegmentId} from './gateway-types.js';
import {stableWindowMs, type FleetRequestRecord, type FleetResult} from './fleet-simulation.js';

/** The crash under a segment after which the bounds apply. */
const boundedCrashNumber = 5;
/** Number of requests with a crash segment that may reach servers once the bound applies. */
const maximumLateArrivals = 3;
/** Minimum number of requests on either side of a comparison. */
const minimumComparedRequests = 20;
/** Minimum share of sound requests that begin, relative to the time before the first crash. */
const minimumRelativeShare = 0.5;

/** Returns when servers crashed under a segment, in order. */
function getCrashTimes({crashes}: FleetResult, segment: SegmentId): readonly Timestamp[] {
	return crashes.filter(({segments}) => segments.includes(segment)).map(({at}) => at);
}

/** Returns how many requests with the segment reached servers later than the window after the fifth crash, from gateways in touch. */
function countLateArrivals(result: FleetResult, segment: SegmentId): number {
	const boundedCrashAt = getCrashTimes(result, segment)[boundedCrashNumber - 1];
	if (boundedCrashAt === undefined) {
		return 0;
	}

	return result.records.filter(({segments}) => segments.includes(segment))
		.flatMap(({arrivals, gatewayIndex}) => arrivals.filter(({at}) => at > boundedCrashAt + stableWindowMs && result.isInTouch(gatewayIndex, at)))
		.length;
}

function getBegunShare(records: readonly FleetRequestRecord[]): number {
	return records.filter(({hasBegun}) => hasBegun).length / records.length;
}

/** Returns the first segments of the prompts with a crash segment. */
function getFirstSegments({records, crashSegments}: FleetResult, crashSegment: SegmentId): readonly SegmentId[] {
	const first = records.filter(({segments}) => segments.includes(crashSegment)).flatMap(({segments}) => segments.slice(0, 1));
	return [...new Set(first)].filter(segment => !crashSegments.includes(segment));
}

/**
Returns whether sound requests, of all or of those with the same first segment, begin less than half as often, while requests with the crash
segment still come, as before the first crash.
*/
function isSoundTrafficLost(result: FleetResult, segment: SegmentId, firstSegment?: SegmentId): boolean {
	const crashTimes = getCrashTimes(result, segment);
	const lastCrashAt = crashTimes[boundedCrashNumber - 1] ?? crashTimes.at(-1);
	if (lastCrashAt === undefined) {
		return false;
	}

	const firstCrashAt = result.crashes[0]?.at ?? 0;
	const lastRequestAt = result.records.findLast(({segments}) => segments.includes(segment))?.sentAt ?? 0;
	const soundRecords = result.records.filter(({segments, isRepeat, gatewayIndex, sentAt}) =>
		!isRepeat && !segments.some(other => result.crashSegments.includes(other)) && (firstSegment === undefined || segments[0] === firstSegment)
		&& result.isInTouch(gatewayIndex, sentAt));
	const compared = soundRecords.filter(({sentAt}) => sentAt > lastCrashAt + (2 * stableWindowMs) && sentAt < lastRequestAt);
	const usual = soundRecords.filter(({sentAt}) => sentAt < firstCrashAt - stableWindowMs);
	return compared.length >= minimumComparedRequests && usual.length >= minimumComparedRequests
		&& getBegunShare(compared) < minimumRelativeShare * getBegunShare(usual);
}

/** The crash under a whole request after which the bound on its arrivals applies. */
const boundedRequestCrashNumber = 3;
/** Share of the sound requests that may be refused as quarantined while servers are also ended from outside. */
const maximumQuarantinedShare = 0.01;

/** Returns how often a request that crashes servers reached servers later than the window after its third crash, from gateways in touch. */
function countLateRequestArrivals(result: FleetResult, fingerprint: string): number {
	const boundedCrashAt = result.crashes.filter(crash => crash.fingerprint === fingerprint)[boundedRequestCrashNumber - 1]?.at ?? Number.POSITIVE_INFINITY;
	return result.records.filter(record => record.fingerprint === fingerprint)
		.flatMap(({arrivals, gatewayIndex}) => arrivals.filter(({at}) => at > boundedCrashAt + stableWindowMs && result.isInTouch(gatewayIndex, at)))
		.length;
}

/** Returns the bounds on whole requests that crash servers that a simulation broke, in words. */
export function findRequestCrashViolations(result: FleetResult): readonly string[] {
	const sound = result.records.filter(({fingerprint, segments}) =>
		!result.crashFingerprints.includes(fingerprint) && !segments.some(segment => result.crashSegments.includes(segment)));
	const quarantinedCount = sound.filter(({isQuarantined}) => isQuarantined).length;
	const hasOtherCrashes = result.crashes.some(({fingerprint, segments}) => fingerprint === undefined && segments.length === 0);
	return [
		...result.crashFingerprints.flatMap(fingerprint => {
			const lateArrivals = countLateRequestArrivals(result, fingerprint);
			return lateArrivals > maximumLateArrivals ? [`${fingerprint} reached servers ${lateArrivals} times after the bound`] : [];
		}),
		...(quarantinedCount > (hasOtherCrashes ? sound.length * maximumQuarantinedShare : 0) ? [`${quarantinedCount} of ${sound.length} sound requests were refused as quarantined`] : []),
	];
}

/** Returns the bounds that a simulation broke, in words. */
export function findCrashViolations(result: FleetResult): readonly string[] {
	return result.crashSegments.flatMap(segment => {
		const lateArrivals = countLateArrivals(result, segment);
		return [
			...(lateArrivals > maximumLateArrivals ? [`${lateArrivals} requests with ${segment} reached servers after the bound`] : []),
			...(isSoundTrafficLost(result, segment) ? [`sound requests began less than half as often beside ${segment}`] : []),
			...getFirstSegments(result, segment).filter(first => isSoundTrafficLost(result, segment, first))
				.map(first => `sound requests with ${first} began less than half as often beside ${segment}`),
		];
	});
}

/** Length of the windows in which arrivals at a limited server are counted. */
const limitWindowMs: Milliseconds = 4000;
/** Arrivals allowed in a window: a multiple of what the limit allows, and a fixed number. */
const limitFactor = 1.5;
const limitSlack = 5;
/** Time after a gateway received a response that names the limit until its requests count. */
const limitLearningMs: Milliseconds = 500;
const millisecondsPerSecond = 1000;

/** Returns when requests reached the address of a limited server from gateways that had learnt of its limit by a response, in order. */
function getCountedArrivals(result: FleetResult, address: string, from: Timestamp, to: Timestamp): readonly Timestamp[] {
	const named = result.namedLimits.filter(limit => limit.address === address);
	return result.records.flatMap(({arrivals, gatewayIndex}) => arrivals
		.filter(arrival => arrival.address === address && arrival.at >= from && arrival.at < to && result.isUndisturbed(gatewayIndex, arrival.at)
			&& named.some(limit => limit.gatewayIndex === gatewayIndex && limit.at + limitLearningMs <= arrival.at))
		.map(({at}) => at)).toSorted((left, right) => left - right);
}

/** Returns the limits that a simulation broke, in words. */
export function findLimitViolations(result: FleetResult, limits: ReadonlyArray<Readonly<{address: string; perSecond: number; endsAt: Timestamp}>>): readonly string[] {
	return limits.flatMap(({address, perSecond, endsAt}) => {
		const firstNamedAt = result.namedLimits.find(limit => limit.address === address)?.at ?? Number.POSITIVE_INFINITY;
		const arrivals = getCountedArrivals(result, address, firstNamedAt + stableWindowMs, endsAt);
		const allowed = (limitFactor * perSecond * limitWindowMs / millisecondsPerSecond) + limitSlack;
		const most = Math.max(0, ...arrivals.map(start => arrivals.filter(at => at >= start && at < start + limitWindowMs).length));
		return most > allowed ? [`${address} with a limit of ${perSecond} got ${most} requests in 4 s, ${allowed} are allowed`] : [];
	});
}
