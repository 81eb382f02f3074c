/**
Quarantine of the segments of prompts, and of whole requests, that crash servers: requests with such a segment, and repeats of such
a request, are refused.

Gateways tell each other of crashes, of segments that a completed response has cleared, and of quarantines. Quarantines are
also recorded in the platform's store, for gateways that start, and for those that the others don't reach. So are the crashes that
have not led to one, since all gateways may restart at once.

A sound segment may be quarantined with the one that crashes servers. Single requests are let through to tell them apart: see
`quarantine-trials.ts`.
*/
import {createBoundedCache} from '../bounded-cache.js';
import type {Milliseconds, Timestamp} from '../types.js';
import type {GatewayAction} from './gateway-events.js';
import type {EndpointId, ListedEndpoint, SegmentId} from './gateway-types.js';
import type {GatewayName} from './load-view.js';
import {createQuarantineTrials} from './quarantine-trials.js';
import {
	crashWindowMs, createSegmentSuspicion, sameCrashMs, type CrashReport, type ServiceSegment,
} from './segment-suspicion.js';

/** A quarantine that ends after `remainingMs`. */
export type Quarantine = ServiceSegment & Readonly<{remainingMs: Milliseconds}>;

/** A quarantine in the platform's store, and the gateway that recorded it. `remainingMs` is negative once it has ended. */
export type QuarantineRecord = Quarantine & Readonly<{gateway: GatewayName}>;

/** What a gateway tells the others about crashes and segments. */
export type QuarantineChange
	= | Readonly<{kind: 'serverCrashed'; crash: CrashReport}>
	/** A response to a prompt with the segment was completed after crashes under it. */
		| Readonly<{kind: 'segmentCleared'; segment: ServiceSegment}>
		| Readonly<{kind: 'segmentQuarantined'; quarantine: Quarantine}>
	/** The gateway sends a request with the quarantined segment, to learn whether it is sound. */
		| Readonly<{kind: 'segmentTried'; segment: ServiceSegment}>;

/** What is known of the segments of a request. */
export type QuarantineCheck
	= | Readonly<{kind: 'free'}>
		| Readonly<{kind: 'quarantined'; segment: SegmentId; retryAfterMs: Milliseconds}>
	/** The segments are quarantined, and the request may be sent to learn whether they are sound. */
		| Readonly<{kind: 'mayTry'; segments: readonly ServiceSegment[]}>;

/** A decision on a segment, for the log. */
export type QuarantineReport
	= | Readonly<{kind: 'crashed'; endpoint: EndpointId; segments: readonly SegmentId[]}>
		| Readonly<{kind: 'quarantined'; segment: ServiceSegment; source: QuarantineSource; remainingMs: Milliseconds}>
		| Readonly<{kind: 'tried'; segment: ServiceSegment}>
		| Readonly<{kind: 'released'; segment: ServiceSegment; reason: ReleaseReason}>;

export type SegmentQuarantine = Readonly<{
	/** Checks the segments of a prompt. */
	check(service: string, segments: readonly SegmentId[], now: Timestamp): QuarantineCheck;
	/** Records that a request is sent to learn whether these segments are sound. */
	startTrial(segments: readonly ServiceSegment[], now: Timestamp): readonly GatewayAction[];
	/** Records the endpoint of a request whose connection broke, and asks for a check of whether the endpoint has crashed. */
	recordBrokenSend(endpoint: ListedEndpoint, segments: readonly SegmentId[], now: Timestamp): readonly GatewayAction[];
	/** Applies the result of such a check. `startedAt` is the start time that the endpoint reports, if any. */
	applyCheck(endpoint: EndpointId, result: EndpointCheck, now: Timestamp): readonly GatewayAction[];
	recordCompletion(service: string, segments: readonly SegmentId[], now: Timestamp): readonly GatewayAction[];
	/** Records a completed response that a crash of its endpoint may only have made look complete. Asks for a check if that matters. */
	recordUncertainCompletion(endpoint: ListedEndpoint, segments: readonly SegmentId[], now: Timestamp): readonly GatewayAction[];
	applyPeerChange(change: QuarantineChange, now: Timestamp): readonly GatewayAction[];
	/** Sets the number of gateways, over which the calls of the store are spread. */
	setGatewayCount(count: number): void;
	/** Applies the crashes that gateways have recorded in the store. */
	applyCrashRecords(crashes: readonly CrashReport[], now: Timestamp): void;
	/** Records that the store has gone back to an earlier state, so that its list says nothing about releases. */
	recordRestore(now: Timestamp): void;
	/** Applies the complete list of quarantines in the store. */
	applyRecords(records: readonly QuarantineRecord[], now: Timestamp): readonly GatewayAction[];
	/** Decides on crashes whose reports are complete, and records the own ones. */
	handleTimePassed(now: Timestamp): readonly GatewayAction[];
	/** Returns when `handleTimePassed` is due next. */
	getWakeAt(): Timestamp;
	/** Returns all that this gateway knows, for a peer that has just connected. */
	getSnapshot(now: Timestamp): readonly QuarantineChange[];
}>;

/** Whether an endpoint answered a check; `startedAt` is the start of its process by its own clock, if it says so. */
export type EndpointCheck = Readonly<{isAlive: boolean; startedAt: number | undefined}>;

export type SegmentQuarantineSettings = Readonly<{
	gateway: GatewayName;
	/** Returns a number in [0, 1) that is fixed for this gateway and the text, and differs between gateways. */
	getRank(text: string): number;
}>;

type QuarantinedSegment = {
	readonly segment: ServiceSegment;
	readonly source: QuarantineSource;
	readonly until: Timestamp;
	/** When the store's list last contained it, or `undefined` if it never has. */
	listedAt: Timestamp | undefined;
	/** From then on this gateway records the quarantine if the store doesn't list it. */
	recordDueAt: Timestamp;
};

/** When a segment was released, and whether this gateway was the one to find that it is sound. */
type Release = Readonly<{at: Timestamp; isOwn: boolean}>;

/** Why a segment was quarantined: by the crashes that this gateway knows of, or by a peer, or by a record in the store. */
type QuarantineSource = 'crashes' | 'peer' | 'store';

type ReleaseReason = 'completion' | 'peer' | 'store' | 'expiry' | 'reconsidered';

/** A check of an endpoint, the prompts of the requests that it lost, and of those that look complete but were lost if it has crashed. */
type PendingCheck = Readonly<{endpoint: ListedEndpoint; lostPrompts: Array<readonly SegmentId[]>; uncertainPrompts: Array<readonly SegmentId[]>; brokenAt: Timestamp}>;

/** The requests that this gateway has lost in a crash. */
type OwnCrash = Readonly<{lostPrompts: ReadonlyArray<readonly SegmentId[]>; brokenAt: Timestamp}>;

/** Time for which a listed quarantine must be missing from the store's lists, which may be stale, until it counts as removed. */
const removalDelayMs: Milliseconds = 5000;
/** Time after a release for which records in the store are taken for outdated. */
const releaseMemoryMs: Milliseconds = 30_000;
/** Time after its end at which a record is removed even if the gateway that made it is gone. */
const abandonedRecordMs: Milliseconds = 600_000;
/** Time over which the writes of gateways that know the same quarantine are spread: the first one suffices, and the others see it. */
const recordSpreadPerGatewayMs: Milliseconds = 20;
/** Retry delay of a request that may be sent once the outcome of a trial is known. */
const trialRetryMs: Milliseconds = 1000;
const maximumQuarantines = 10_000;
const maximumOwnCrashes = 1000;
/** Number of this gateway's last crashes that the store keeps; more than a conclusion needs. */
const maximumRecordedCrashes = 50;
/** Minimum time between two records of crashes, and its part for each gateway: all may lose requests in the same crashes. */
const minimumCrashRecordMs: Milliseconds = 500;
const crashRecordPerGatewayMs: Milliseconds = 5;

function getKey({service, segment}: ServiceSegment): string {
	return `${service} ${segment}`;
}

/** Creates a quarantine without segments. */
export function createSegmentQuarantine(settings: SegmentQuarantineSettings): SegmentQuarantine {
	const suspicion = createSegmentSuspicion();
	const quarantined = createBoundedCache<string, QuarantinedSegment>(maximumQuarantines);
	const releases = createBoundedCache<string, Release>(maximumQuarantines);
	const trials = createQuarantineTrials({getRivals});
	const pendingChecks = new Map<EndpointId, PendingCheck>();
	const ownCrashes = createBoundedCache<EndpointId, OwnCrash>(maximumOwnCrashes);

	let gatewayCount = 1;
	let crashesRecordedAt = Number.NEGATIVE_INFINITY;
	/** When the record of this gateway's crashes is due, infinite if it is up to date. */
	let crashRecordDueAt = Number.POSITIVE_INFINITY;

	function scheduleCrashRecord(now: Timestamp): void {
		const intervalMs = Math.max(minimumCrashRecordMs, gatewayCount * crashRecordPerGatewayMs);
		crashRecordDueAt = Math.min(crashRecordDueAt, Math.max(now, crashesRecordedAt + intervalMs));
	}

	function recordCrashes(now: Timestamp): readonly GatewayAction[] {
		if (now < crashRecordDueAt) {
			return [];
		}

		crashesRecordedAt = now;
		crashRecordDueAt = Number.POSITIVE_INFINITY;
		const crashes = suspicion.getOpenReports(now).filter(({reporter}) => reporter === settings.gateway).slice(-maximumRecordedCrashes);
		return [{kind: 'recordCrashes', crashes}];
	}

	/** Returns the delay after which this gateway does what one gateway has to do, and another one has not done by then. */
	function getSpreadDelayMs(segment: ServiceSegment): Milliseconds {
		return settings.getRank(getKey(segment)) * gatewayCount * recordSpreadPerGatewayMs;
	}

	function isQuarantined(segment: ServiceSegment, now: Timestamp): boolean {
		return (quarantined.get(getKey(segment))?.until ?? Number.NEGATIVE_INFINITY) > now;
	}

	function publish(change: QuarantineChange): GatewayAction {
		return {kind: 'publishChange', change};
	}

	function report(quarantineReport: QuarantineReport): GatewayAction {
		return {kind: 'reportQuarantine', report: quarantineReport};
	}

	function add({remainingMs, ...segment}: Quarantine, source: QuarantineSource, now: Timestamp): readonly GatewayAction[] {
		if (isQuarantined(segment, now)) {
			return [];
		}

		quarantined.set(getKey(segment), {
			segment,
			source,
			until: now + remainingMs,
			listedAt: source === 'store' ? now : undefined,
			recordDueAt: source === 'peer' ? now + getSpreadDelayMs(segment) : now,
		});
		trials.addSegment(segment, getSpreadDelayMs(segment), now);
		return [report({
			kind: 'quarantined', segment, source, remainingMs,
		})];
	}

	function release(segment: ServiceSegment, reason: ReleaseReason, now: Timestamp): readonly GatewayAction[] {
		if (!quarantined.delete(getKey(segment))) {
			return [];
		}

		if (reason !== 'expiry') {
			releases.set(getKey(segment), {at: now, isOwn: reason === 'completion' || reason === 'reconsidered'});
		}

		if (reason === 'peer' || reason === 'store') {
			suspicion.clear(segment, now);
		}

		return [report({kind: 'released', segment, reason})];
	}

	/** Quarantines the segments that the crashes show to be their cause, and releases those for which later crashes show another. */
	function reconcileCulprits(service: string, now: Timestamp): readonly GatewayAction[] {
		const known = [...quarantined.values()].filter(({segment, source}) => source === 'crashes' && segment.service === service).map(({segment}) => segment);
		const culprits = suspicion.takeCulprits(service, new Set(known.map(({segment}) => segment)), now);
		const reconsidered = known.filter(({segment}) => !culprits.includes(segment));
		return [
			...reconsidered.flatMap((segment): readonly GatewayAction[] => [...release(segment, 'reconsidered', now), {kind: 'removeQuarantine', segment}]),
			...culprits.flatMap(segment => addCulprit({service, segment, remainingMs: crashWindowMs}, now)),
		];
	}

	function addCulprit(quarantine: Quarantine, now: Timestamp): readonly GatewayAction[] {
		const actions = add(quarantine, 'crashes', now);
		// A gateway that has lost no request leaves the rest to those that have.
		return actions.length === 0 || ownCrashes.size === 0
			? actions
			: [...actions, publish({kind: 'segmentQuarantined', quarantine}), {kind: 'recordQuarantine', quarantine}];
	}

	/** Records a crash that this gateway has seen, and tells the other gateways of all requests that it has lost in it. */
	function recordOwnCrash(check: PendingCheck, now: Timestamp): readonly GatewayAction[] {
		const {endpoint, brokenAt} = check;
		const lostPrompts = [...check.lostPrompts, ...check.uncertainPrompts];
		const earlier = ownCrashes.get(endpoint.id);
		const isSameCrash = earlier !== undefined && brokenAt - earlier.brokenAt < sameCrashMs;
		const ownCrash = isSameCrash ? {lostPrompts: [...earlier.lostPrompts, ...lostPrompts], brokenAt: earlier.brokenAt} : {lostPrompts, brokenAt};
		ownCrashes.set(endpoint.id, ownCrash);
		const {id, service} = endpoint;
		const crash = {
			service, endpoint: id, reporter: settings.gateway, ageMs: now - ownCrash.brokenAt, ...suspicion.countRequests(service, ownCrash.lostPrompts),
		};
		suspicion.recordCrash(crash, now);
		scheduleCrashRecord(now);
		return [report({kind: 'crashed', endpoint: id, segments: crash.suspects.map(({segment}) => segment)}), publish({kind: 'serverCrashed', crash})];
	}

	/** Asks for a check of an endpoint unless one is under way, and adds to what depends on its result. */
	function startCheck(endpoint: ListedEndpoint, now: Timestamp, addPrompt: (check: PendingCheck) => void): readonly GatewayAction[] {
		const pending = pendingChecks.get(endpoint.id);
		const check = pending ?? {
			endpoint, lostPrompts: [], uncertainPrompts: [], brokenAt: now,
		};
		addPrompt(check);
		pendingChecks.set(endpoint.id, check);
		return pending === undefined ? [{kind: 'checkEndpoint', endpoint}] : [];
	}

	function recordCompletion(service: string, segments: readonly SegmentId[], now: Timestamp): readonly GatewayAction[] {
		suspicion.recordCompletion(service, segments);
		return segments.flatMap(segment => {
			const serviceSegment = {service, segment};
			const wasSuspect = suspicion.clear(serviceSegment, now);
			if (wasSuspect && ownCrashes.size > 0) {
				scheduleCrashRecord(now);
			}

			const released = release(serviceSegment, 'completion', now);
			return [
				...released,
				...(released.length > 0 ? [{kind: 'removeQuarantine', segment: serviceSegment} as const] : []),
				...(wasSuspect || released.length > 0 ? [publish({kind: 'segmentCleared', segment: serviceSegment})] : []),
			];
		});
	}

	/** Applies a record, or removes it if it has ended or if this gateway has released its segment. */
	function checkRecord(record: QuarantineRecord, now: Timestamp): readonly GatewayAction[] {
		const {service, segment, remainingMs, gateway} = record;
		const key = getKey(record);
		const removeAfterMs = gateway === settings.gateway ? 0 : abandonedRecordMs * (1 + settings.getRank(key));
		if (remainingMs <= 0) {
			return remainingMs < -removeAfterMs ? [{kind: 'removeQuarantine', segment: {service, segment}}] : [];
		}

		const recentRelease = releases.get(key);
		if (recentRelease !== undefined && now - recentRelease.at < releaseMemoryMs) {
			return recentRelease.isOwn ? [{kind: 'removeQuarantine', segment: {service, segment}}] : [];
		}

		const known = quarantined.get(key);
		if (known !== undefined) {
			known.listedAt = now;
		}

		return add({service, segment, remainingMs}, 'store', now);
	}

	/** Returns the actions for a quarantine that the store doesn't list: released by another gateway, or not recorded yet. */
	function checkUnlisted({segment, until, listedAt, recordDueAt}: QuarantinedSegment, now: Timestamp): readonly GatewayAction[] {
		if (until <= now) {
			return release(segment, 'expiry', now);
		}

		if (listedAt === undefined) {
			return now < recordDueAt ? [] : [{kind: 'recordQuarantine', quarantine: {...segment, remainingMs: until - now}}];
		}

		return now - listedAt > removalDelayMs ? release(segment, 'store', now) : [];
	}

	/** Returns the other quarantined segments that the crashes don't tell apart from this one. */
	function getRivals(segment: ServiceSegment, now: Timestamp): ReadonlySet<SegmentId> {
		const others = [...suspicion.getCommonSuspects(segment, now)].filter(other => other !== segment.segment);
		return new Set(others.filter(other => isQuarantined({service: segment.service, segment: other}, now)));
	}

	return {
		check(service, segments, now) {
			const found = segments.map((segment): ServiceSegment => ({service, segment})).filter(segment => isQuarantined(segment, now));
			const [first] = found;
			if (first === undefined) {
				return {kind: 'free'};
			}

			const decision = trials.decide(found, segments, now);
			switch (decision.kind) {
				case 'mayTry': {
					return {kind: 'mayTry', segments: found};
				}

				case 'wait': {
					return {kind: 'quarantined', segment: first.segment, retryAfterMs: trialRetryMs};
				}

				case 'useless': {
					const {segment} = decision;
					return {kind: 'quarantined', segment, retryAfterMs: (quarantined.get(getKey({service, segment}))?.until ?? now) - now};
				}
			}
		},
		startTrial(segments, now) {
			return segments.flatMap(segment => {
				trials.recordTrial(segment, now);
				return [report({kind: 'tried', segment}), publish({kind: 'segmentTried', segment})];
			});
		},
		recordBrokenSend: (endpoint, segments, now) => startCheck(endpoint, now, ({lostPrompts}) => {
			lostPrompts.push(segments);
		}),
		applyCheck(id, {isAlive, startedAt}, now) {
			const pending = pendingChecks.get(id);
			pendingChecks.delete(id);
			if (pending === undefined) {
				return [];
			}

			const hasCrashed = !isAlive || (startedAt !== undefined && startedAt !== pending.endpoint.startedAt);
			return hasCrashed
				? recordOwnCrash(pending, now)
				: pending.uncertainPrompts.flatMap(segments => recordCompletion(pending.endpoint.service, segments, now));
		},
		recordCompletion,
		recordUncertainCompletion(endpoint, segments, now) {
			const {service} = endpoint;
			return segments.some(segment => suspicion.isSuspect({service, segment}) || isQuarantined({service, segment}, now))
				? startCheck(endpoint, now, ({uncertainPrompts}) => {
					uncertainPrompts.push(segments);
				})
				: [];
		},
		applyPeerChange(change, now) {
			switch (change.kind) {
				case 'serverCrashed': {
					suspicion.recordCrash(change.crash, now);
					return [];
				}

				case 'segmentCleared': {
					suspicion.clear(change.segment, now);
					return release(change.segment, 'peer', now);
				}

				case 'segmentQuarantined': {
					return add(change.quarantine, 'peer', now);
				}

				case 'segmentTried': {
					trials.recordTrial(change.segment, now);
					return [];
				}
			}
		},
		setGatewayCount(count) {
			gatewayCount = count;
		},
		applyCrashRecords(crashes, now) {
			for (const crash of crashes) {
				suspicion.recordCrash(crash, now);
			}
		},
		recordRestore(now) {
			if (ownCrashes.size > 0) {
				scheduleCrashRecord(now);
			}

			for (const entry of quarantined.values()) {
				entry.listedAt = undefined;
				entry.recordDueAt = now + getSpreadDelayMs(entry.segment);
			}
		},
		applyRecords(records, now) {
			const listedKeys = new Set(records.filter(({remainingMs}) => remainingMs > 0).map(record => getKey(record)));
			const unlisted = [...quarantined.values()].filter(({segment}) => !listedKeys.has(getKey(segment)));
			return [
				...records.flatMap(record => checkRecord(record, now)),
				...unlisted.flatMap(entry => checkUnlisted(entry, now)),
			];
		},
		handleTimePassed(now) {
			const actions: GatewayAction[] = [];
			for (let next = suspicion.findNextDecision(); next !== undefined && next.at <= now; next = suspicion.findNextDecision()) {
				actions.push(...reconcileCulprits(next.service, now));
			}

			return [...actions, ...recordCrashes(now)];
		},
		getWakeAt: () => Math.min(crashRecordDueAt, suspicion.findNextDecision()?.at ?? Number.POSITIVE_INFINITY),
		getSnapshot: now => [
			...suspicion.getOpenReports(now).map((crash): QuarantineChange => ({kind: 'serverCrashed', crash})),
			...[...quarantined.values()].filter(({until}) => until > now).map(({segment, until}): QuarantineChange =>
				({kind: 'segmentQuarantined', quarantine: {...segment, remainingMs: until - now}})),
		],
	};
}
