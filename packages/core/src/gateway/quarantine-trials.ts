/**
Trials of quarantined segments: which request may be sent to learn whether a segment is sound, and when.

Several segments that occur in the same lost prompts are all quarantined, though one of them suffices as a cause. A request that contains
one of them and lacks another tells them apart. One such request at a time is sent, as a circuit breaker does when it is half open. If it
completes, its segments are cleared; if it crashes a server too, the crashes show another cause than the segments that it lacks.
*/
import {createBoundedCache} from '../bounded-cache.js';
import type {Milliseconds, Timestamp} from '../types.js';
import type {SegmentId} from './gateway-types.js';
import type {ServiceSegment} from './segment-suspicion.js';

/** Whether a request with quarantined segments may be sent. */
export type TrialDecision
	= | Readonly<{kind: 'mayTry'}>
	/** Another request is sent, or a gateway has precedence. */
		| Readonly<{kind: 'wait'}>
	/** The request would show nothing about this segment. */
		| Readonly<{kind: 'useless'; segment: SegmentId}>;

export type QuarantineTrials = Readonly<{
	/** Records that a segment is quarantined; its first trial may begin after a delay. */
	addSegment(segment: ServiceSegment, delayMs: Milliseconds, now: Timestamp): void;
	/** Records that a request with the segment is sent, by this gateway or another. */
	recordTrial(segment: ServiceSegment, now: Timestamp): void;
	/** Decides whether to send a request, given all its segments and the quarantined ones among them. */
	decide(quarantined: readonly ServiceSegment[], segments: readonly SegmentId[], now: Timestamp): TrialDecision;
}>;

export type QuarantineTrialsHost = Readonly<{
	/** Returns the other quarantined segments that the crashes don't tell apart from this one. */
	getRivals(segment: ServiceSegment, now: Timestamp): ReadonlySet<SegmentId>;
}>;

type TrialState = {
	/** Number of trials by all gateways, and when the next one may begin. */
	count: number;
	dueAt: Timestamp;
	rivals: ReadonlySet<SegmentId>;
	rivalsFoundAt: Timestamp;
};

/** Time between two trials of a segment, in which the first one usually has an outcome, and after several without one. */
const trialIntervalMs: Milliseconds = 5000;
const lateTrialIntervalMs: Milliseconds = 60_000;
const frequentTrials = 3;
/** Time for which the rivals of a segment are not sought again, since each refused request asks for them. */
const rivalsAgeMs: Milliseconds = 100;
const maximumSegments = 10_000;

function getKey({service, segment}: ServiceSegment): string {
	return `${service} ${segment}`;
}

/** Creates an empty record. */
export function createQuarantineTrials(host: QuarantineTrialsHost): QuarantineTrials {
	const states = createBoundedCache<string, TrialState>(maximumSegments);

	/** Returns whether a request lacks a segment that the crashes don't tell apart from this one. */
	function isTellingApart(segment: ServiceSegment, segments: readonly SegmentId[], now: Timestamp): boolean {
		const state = states.get(getKey(segment));
		if (state === undefined) {
			return false;
		}

		if (now - state.rivalsFoundAt >= rivalsAgeMs) {
			state.rivals = host.getRivals(segment, now);
			state.rivalsFoundAt = now;
		}

		return [...state.rivals].some(rival => !segments.includes(rival));
	}

	return {
		addSegment(segment, delayMs, now) {
			states.set(getKey(segment), {
				count: 0, dueAt: now + delayMs, rivals: new Set(), rivalsFoundAt: Number.NEGATIVE_INFINITY,
			});
		},
		recordTrial(segment, now) {
			const state = states.get(getKey(segment));
			if (state !== undefined) {
				state.count += 1;
				state.dueAt = now + (state.count < frequentTrials ? trialIntervalMs : lateTrialIntervalMs);
			}
		},
		decide(quarantined, segments, now) {
			const useless = quarantined.find(segment => !isTellingApart(segment, segments, now));
			if (useless !== undefined) {
				return {kind: 'useless', segment: useless.segment};
			}

			return quarantined.some(segment => (states.get(getKey(segment))?.dueAt ?? Number.POSITIVE_INFINITY) > now) ? {kind: 'wait'} : {kind: 'mayTry'};
		},
	};
}
