/**
Finds the segments of prompts that crash servers, from the crashes and the completed responses that all gateways report.

A server that crashes loses all its open requests, most of which are sound, so the segments of all of them are suspects. A
crash is the stronger evidence against a segment, the less likely it is that one of the lost requests contains the segment by
chance. A completed response clears the segments of its prompt of all earlier crashes. A crash is attributed to the segment
that explains most crashes, and then not counted against the others.

A request as a whole counts as one more segment, which its repeats share. It is only taken for the cause of crashes that no segment
explains, and if it explains more of them than any other request: sound requests that a crash has ended are sent again, often to the
same server as its cause.
*/
import {LRUCache} from 'lru-cache';
import type {Milliseconds, Timestamp} from '../types.js';
import type {EndpointId, SegmentId} from './gateway-types.js';
import type {GatewayName} from './load-view.js';
import {isWholeRequest} from './request-traits.js';

/** A segment of the prompts of a service. Servers of other services may process the same segment without a fault. */
export type ServiceSegment = Readonly<{service: string; segment: SegmentId}>;

/** A segment, and the numbers of lost requests and of recently completed ones whose prompts contain it. */
export type SuspectSegment = Readonly<{segment: SegmentId; requests: number; completed: number}>;

/** The requests that one gateway has lost in the crash of a server, compared with those that it has recently completed. */
export type CrashReport = Readonly<{
	service: string;
	endpoint: EndpointId;
	reporter: GatewayName;
	/** Number of lost requests. */
	requests: number;
	/** Number of recently completed requests. */
	completed: number;
	suspects: readonly SuspectSegment[];
	/** Time since the crash. */
	ageMs: Milliseconds;
}>;

export type SegmentSuspicion = Readonly<{
	/** Records a crash. A report replaces an earlier one by the same gateway about the same crash, if it covers more requests. */
	recordCrash(report: CrashReport, now: Timestamp): void;
	/** Clears a segment of all crashes so far. Returns whether it was a suspect. */
	clear(segment: ServiceSegment, now: Timestamp): boolean;
	/** Records that this gateway has completed a response to a prompt with these segments. */
	recordCompletion(service: string, segments: readonly SegmentId[]): void;
	/** Returns the numbers of lost requests and of recently completed ones, in total and for each segment of the lost requests. */
	countRequests(service: string, lostPrompts: ReadonlyArray<readonly SegmentId[]>): Pick<CrashReport, 'requests' | 'completed' | 'suspects'>;
	/** Returns the segments of the service that the crashes show to be their cause; less is required of the `known` ones. */
	takeCulprits(service: string, known: ReadonlySet<SegmentId>, now: Timestamp): readonly SegmentId[];
	/** Returns when the reports about a crash are complete that `takeCulprits` has not seen yet, and the service. */
	findNextDecision(): Readonly<{at: Timestamp; service: string}> | undefined;
	/** Returns the reports on all crashes in which segments are still suspects. */
	getOpenReports(now: Timestamp): readonly CrashReport[];
}>;

type Crash = {
	readonly service: string;
	readonly endpoint: EndpointId;
	readonly at: Timestamp;
	readonly reports: Map<GatewayName, CrashReport>;
	isDecided: boolean;
};

type CompletedPrompt = ReadonlySet<SegmentId>;

/** Number of requests, and of those among them whose prompts contain a segment. */
type RequestCounts = Readonly<{total: number; withSegment: number}>;

type SuspectRecord = Readonly<{
	segment: SegmentId;
	/** Crashes under the segment that no other segment explains. */
	crashes: ReadonlySet<Crash>;
	moments: number;
	/** Number of moments with crashes under the segment, whether another one explains them or not. */
	totalMoments: number;
	/** Number of recently completed requests with the segment. */
	completed: number;
	/** Negative logarithm of the probability that all of the unexplained crashes are by chance. */
	evidence: number;
}>;

/** Time for which a crash counts. */
export const crashWindowMs: Milliseconds = 600_000;
const maximumCrashes = 1000;
/** Reports about one endpoint within this time are about the same crash. */
export const sameCrashMs: Milliseconds = 2000;
/** Time within which all gateways have checked the endpoint and reported a crash. */
const reportDelayMs: Milliseconds = 400;
/** Crashes within this time have one cause, such as the loss of a rack, and count once. */
const sameMomentMs: Milliseconds = 100;
/** Crashes under one request at a time are not of one cause from this interval on: it is sent to one server after the other. */
const sameRequestMomentMs: Milliseconds = 10;
/** Number of crashes from which on a whole request may be taken for their cause, though another one was lost in all of them. */
const conclusiveRequestCrashes = 5;
/** Number of moments with crashes from which on a segment may be taken for their cause. */
const conclusiveMoments = 3;
/** Share of the crashes under a segment from which on the request that was lost in them is the likelier cause. */
const dominantRequestShare = 2 / 3;
/** Number of crashes that suffice if they fall into at least two moments. */
const conclusiveCrashes = 5;
const minimumMoments = 2;
/** Evidence required in addition, unless there are very many moments: crashes by chance must be less likely than one in fifty. */
const minimumEvidence = Math.log(50);
const conclusiveMomentsAlone = 10;
/** Share of the strongest evidence from which on other suspects are taken for causes too, and from which on they remain so. */
const similarEvidenceShare = 0.8;
const knownEvidenceShare = 0.5;
/** Number of the last completed prompts that show how common segments are. */
const maximumCompletedPrompts = 64;
/** Number of completed prompts that show this without the lost requests. */
const sufficientPrompts = 16;
const maximumKnownSegments = 50_000;

function getKey({service, segment}: ServiceSegment): string {
	return `${service} ${segment}`;
}

/** Counts a crash's lost requests over all reports. */
function countLostRequests({reports}: Crash, segment: SegmentId): RequestCounts {
	let total = 0;
	let withSegment = 0;
	for (const report of reports.values()) {
		total += report.requests;
		withSegment += report.suspects.find(suspect => suspect.segment === segment)?.requests ?? 0;
	}

	return {total, withSegment};
}

/** Counts the requests that the reporters of the crashes have recently completed, by the last report of each about the segment. */
function countCompletedRequests(crashes: readonly Crash[], segment: SegmentId): RequestCounts {
	const countsByReporter = new Map<GatewayName, RequestCounts>();
	for (const {reporter, completed, suspects} of crashes.flatMap(({reports}) => [...reports.values()])) {
		const suspect = suspects.find(other => other.segment === segment);
		if (suspect !== undefined) {
			countsByReporter.set(reporter, {total: completed, withSegment: suspect.completed});
		}
	}

	let total = 0;
	let withSegment = 0;
	for (const counts of countsByReporter.values()) {
		total += counts.total;
		withSegment += counts.withSegment;
	}

	return {total, withSegment};
}

function getSegments({reports}: Crash): readonly SegmentId[] {
	return [...reports.values()].flatMap(({suspects}) => suspects.map(({segment}) => segment));
}

/** Counts the moments of crashes that lie at least an interval apart. */
function countMoments(crashes: readonly Crash[], intervalMs: Milliseconds): number {
	let count = 0;
	let momentAt = Number.NEGATIVE_INFINITY;
	for (const {at} of crashes.toSorted((left, right) => left.at - right.at)) {
		if (at - momentAt >= intervalMs) {
			count += 1;
			momentAt = at;
		}
	}

	return count;
}

function isConclusive({crashes, moments, totalMoments, evidence}: SuspectRecord): boolean {
	const isRepeated = moments >= minimumMoments && (totalMoments >= conclusiveMoments || crashes.size >= conclusiveCrashes);
	return moments >= conclusiveMomentsAlone || (isRepeated && evidence >= minimumEvidence);
}

/** Returns whether a whole request is the cause of its crashes; more is required of one that was completed shortly before. */
function isRequestConclusive({moments, evidence, completed}: SuspectRecord): boolean {
	return moments >= (completed > 0 ? conclusiveMomentsAlone : conclusiveMoments) && evidence >= minimumEvidence;
}

/** Returns whether another request was lost in about the same crashes, and it is too early to tell which one is their cause. */
function isAmbiguous(record: SuspectRecord, others: readonly SuspectRecord[]): boolean {
	return record.crashes.size < conclusiveRequestCrashes && others.some(other => other !== record
		&& other.crashes.size >= record.crashes.size && [...record.crashes].filter(crash => other.crashes.has(crash)).length * 2 >= record.crashes.size);
}

/** Returns the crashes under a segment; those under one request count as one if they are most of them, as they say little of its segments. */
function removeRepeatedCrashes(crashes: readonly Crash[], requests: readonly SuspectRecord[]): readonly Crash[] {
	const repeated = new Set(requests.flatMap(request => {
		const shared = crashes.filter(crash => request.crashes.has(crash));
		return shared.length >= crashes.length * dominantRequestShare ? shared.slice(1) : [];
	}));
	return crashes.filter(crash => !repeated.has(crash));
}

/** Returns whether another suspect explains at least half of the crashes of this one, and has more evidence against it. */
function hasBetterExplanation({crashes, evidence}: SuspectRecord, others: readonly SuspectRecord[]): boolean {
	return others.some(other => other.evidence > evidence && [...crashes].filter(crash => other.crashes.has(crash)).length * 2 >= crashes.size);
}

/**
Returns for each crash under a segment the probability that it is by chance. The share of sound requests that contain the segment is
estimated from completed prompts and, while there are few, from the lost requests; of these, the one that each crash needs is left out.
*/
function getChances(lost: readonly RequestCounts[], completed: RequestCounts): readonly number[] {
	let total = completed.total + 1;
	let withSegment = completed.withSegment + 0.5;
	for (const counts of completed.total < sufficientPrompts ? lost : []) {
		total += counts.total - 1;
		withSegment += counts.withSegment - 1;
	}

	const share = Math.min(1, withSegment / total);
	return lost.map(counts => 1 - ((1 - share) ** counts.total));
}

/** Returns the evidence of crashes, each of which has a probability to be by chance. */
function getEvidence(chances: readonly number[]): number {
	return chances.reduce((sum, chance) => sum - Math.log(chance), 0);
}

/**
Returns the evidence that a request was lost in some crashes and not in others: a bound on the logarithm of the probability of as many
by chance (Chernoff). A popular request is lost in many crashes, but in no larger part of them than chance would give.
*/
function getShareEvidence(chances: readonly number[], crashCount: number): number {
	const chance = chances.reduce((sum, value) => sum + value, 0) / chances.length;
	const share = chances.length / crashCount;
	if (share <= chance) {
		return 0;
	}

	const absence = share < 1 ? (1 - share) * Math.log((1 - share) / (1 - chance)) : 0;
	return crashCount * ((share * Math.log(share / chance)) + absence);
}

/** Creates an empty record. */
export function createSegmentSuspicion(): SegmentSuspicion {
	let crashes: Crash[] = [];
	/** When each segment was last cleared of all earlier crashes. */
	const clearedAt = new LRUCache<string, Timestamp>({max: maximumKnownSegments});
	/** When the last crash occurred in which each segment was a suspect. */
	const suspectedAt = new LRUCache<string, Timestamp>({max: maximumKnownSegments});
	const completedPrompts = new Map<string, readonly CompletedPrompt[]>();

	function isCleared({service, at}: Crash, segment: SegmentId): boolean {
		return at <= (clearedAt.get(getKey({service, segment})) ?? Number.NEGATIVE_INFINITY);
	}

	function createSuspectRecord(segment: SegmentId, suspected: readonly Crash[], allSuspected: readonly Crash[]): SuspectRecord {
		return {
			segment,
			crashes: new Set(suspected),
			moments: countMoments(suspected, isWholeRequest(segment) ? sameRequestMomentMs : sameMomentMs),
			totalMoments: countMoments(allSuspected, sameMomentMs),
			completed: countCompletedRequests(suspected, segment).withSegment,
			evidence: getEvidence(getSegmentChances(segment, suspected)),
		};
	}

	function getSegmentChances(segment: SegmentId, suspected: readonly Crash[]): readonly number[] {
		return getChances(suspected.map(crash => countLostRequests(crash, segment)), countCompletedRequests(suspected, segment));
	}

	/** Returns the record of a whole request, whose evidence is weakened by the crashes since its first one in which it was not lost. */
	function createRequestRecord(segment: SegmentId, suspected: readonly Crash[], openCrashes: readonly Crash[]): SuspectRecord {
		const firstAt = Math.min(...suspected.map(({at}) => at));
		const crashCount = openCrashes.filter(({at}) => at >= firstAt).length;
		return {...createSuspectRecord(segment, suspected, suspected), evidence: getShareEvidence(getSegmentChances(segment, suspected), crashCount)};
	}

	/** Returns the suspect that explains most of the crashes, if they suffice for the conclusion, and those with about as much evidence. */
	function findCulprits(
		openCrashes: readonly Crash[],
		crashesBySuspect: ReadonlyMap<SegmentId, readonly Crash[]>,
		requests: readonly SuspectRecord[],
		known: ReadonlySet<SegmentId>,
	): readonly SuspectRecord[] {
		const records = [...getCrashesBySuspect(openCrashes)].filter(([segment]) => !isWholeRequest(segment))
			.map(([segment, suspected]) => ({
				...createSuspectRecord(segment, removeRepeatedCrashes(suspected, requests), crashesBySuspect.get(segment) ?? []),
				crashes: new Set(suspected),
			}))
			.toSorted((left, right) => right.evidence - left.evidence);
		const best = records.find(record => isConclusive(record) && !hasBetterExplanation(record, records));
		return best === undefined ? [] : records.filter(record => isConclusive(record) && record.evidence >= best.evidence * (known.has(record.segment) ? knownEvidenceShare : similarEvidenceShare));
	}

	/** Returns the whole requests that explain the crashes, most crashes first. */
	function findRequestCulprits(openCrashes: readonly Crash[], known: ReadonlySet<SegmentId>): readonly SuspectRecord[] {
		const records = [...getCrashesBySuspect(openCrashes)]
			.filter(([segment, suspected]) => isWholeRequest(segment) && suspected.length >= conclusiveMoments)
			.map(([segment, suspected]) => createRequestRecord(segment, suspected, openCrashes))
			.toSorted((left, right) => right.crashes.size - left.crashes.size || right.evidence - left.evidence);
		const best = records.find(record => isRequestConclusive(record) && (known.has(record.segment) || !isAmbiguous(record, records)));
		return best === undefined ? [] : [best, ...findRequestCulprits(openCrashes.filter(crash => !best.crashes.has(crash)), known)];
	}

	/** Returns the crashes in which each segment is a suspect. */
	function getCrashesBySuspect(openCrashes: readonly Crash[]): ReadonlyMap<SegmentId, readonly Crash[]> {
		const crashesBySuspect = new Map<SegmentId, Crash[]>();
		for (const crash of openCrashes) {
			for (const segment of new Set(getSegments(crash))) {
				if (!isCleared(crash, segment)) {
					const suspected = crashesBySuspect.get(segment) ?? [];
					suspected.push(crash);
					crashesBySuspect.set(segment, suspected);
				}
			}
		}

		return crashesBySuspect;
	}

	return {
		recordCrash(report, now) {
			const at = now - report.ageMs;
			for (const {segment} of report.suspects) {
				const key = getKey({service: report.service, segment});
				suspectedAt.set(key, Math.max(at, suspectedAt.get(key) ?? at));
			}

			const known = crashes.find(crash => crash.endpoint === report.endpoint && Math.abs(crash.at - at) < sameCrashMs);
			if (known === undefined) {
				crashes = [...crashes.filter(crash => crash.at > now - crashWindowMs).slice(1 - maximumCrashes), {
					service: report.service, endpoint: report.endpoint, at, reports: new Map([[report.reporter, report]]), isDecided: false,
				}];
			} else if (report.requests > (known.reports.get(report.reporter)?.requests ?? 0)) {
				known.reports.set(report.reporter, report);
			}
		},
		clear(segment, now) {
			const key = getKey(segment);
			const wasSuspect = (suspectedAt.get(key) ?? Number.NEGATIVE_INFINITY) > (clearedAt.get(key) ?? Number.NEGATIVE_INFINITY);
			// Nearly all whole requests occur once, and would displace the segments.
			if (wasSuspect || !isWholeRequest(segment.segment)) {
				clearedAt.set(key, now);
			}

			return wasSuspect;
		},
		recordCompletion(service, segments) {
			completedPrompts.set(service, [...(completedPrompts.get(service) ?? []).slice(1 - maximumCompletedPrompts), new Set(segments)]);
		},
		countRequests(service, lostPrompts) {
			const counts = new Map<SegmentId, number>();
			for (const segment of lostPrompts.flatMap(segments => [...new Set(segments)])) {
				counts.set(segment, (counts.get(segment) ?? 0) + 1);
			}

			const prompts = completedPrompts.get(service) ?? [];
			return {
				requests: lostPrompts.length,
				completed: prompts.length,
				suspects: [...counts].map(([segment, requests]) => ({segment, requests, completed: prompts.filter(prompt => prompt.has(segment)).length})),
			};
		},
		takeCulprits(service, known, now) {
			const dueCrashes = crashes.filter(crash => crash.service === service && crash.at + reportDelayMs <= now);
			for (const crash of dueCrashes) {
				crash.isDecided = true;
			}

			const culprits: SegmentId[] = [];
			const windowCrashes = dueCrashes.filter(({at}) => at > now - crashWindowMs);
			const requests = findRequestCulprits(windowCrashes, known);
			let openCrashes: readonly Crash[] = windowCrashes;
			const crashesBySuspect = getCrashesBySuspect(openCrashes);
			const find = (): readonly SuspectRecord[] => findCulprits(openCrashes, crashesBySuspect, requests, known);
			for (let found = find(); found.length > 0; found = find()) {
				culprits.push(...found.map(({segment}) => segment));
				const explained = new Set(found.flatMap(record => [...record.crashes]));
				openCrashes = openCrashes.filter(crash => !explained.has(crash));
			}

			const unexplained = windowCrashes.filter(crash => !getSegments(crash).some(segment => culprits.includes(segment) && !isCleared(crash, segment)));
			return [...culprits, ...findRequestCulprits(unexplained, known).map(({segment}) => segment)];
		},
		findNextDecision() {
			const next = crashes.find(({isDecided}) => !isDecided);
			return next === undefined ? undefined : {at: next.at + reportDelayMs, service: next.service};
		},
		getOpenReports: now => crashes.filter(({at}) => at > now - crashWindowMs).flatMap(crash => [...crash.reports.values()].map(report => ({
			...report, ageMs: now - crash.at, suspects: report.suspects.filter(({segment}) => !isCleared(crash, segment)),
		}))).filter(({suspects}) => suspects.length > 0),
	};
}
