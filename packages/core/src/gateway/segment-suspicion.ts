/**
Finds the segments of prompts that crash servers, from the crashes and the completed responses that all gateways report.

A server that crashes loses all its open requests, most of which are sound, so the segments of all of them are suspects. A
completed response clears the segments of its prompt of all earlier crashes. The others are taken for a cause by the test in
`crash-evidence.ts`, given how common they are among completed prompts.

A request as a whole counts as one more segment, which its repeats share. A request that was lost is sent again, and often to the
same server as others that were lost with it. Its repeats therefore say little about the segments of its prompt, and nothing once it is
known to crash servers by itself. Of requests that are lost together none is taken for the cause until one of them is lost without the
others, or all have come more often than sound ones do.
*/
import {createBoundedCache} from '../bounded-cache.js';
import type {Milliseconds, Timestamp} from '../types.js';
import type {EndpointId, SegmentId} from './gateway-types.js';
import type {GatewayName} from './load-view.js';
import {
	conclusiveEvidence, getCrashEvidence, sustainedEvidence, type CrashEvidence, type CrashIndication,
} from './crash-evidence.js';
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
	/** The segments of each lost request, with the request as a whole. */
	lostPrompts: ReadonlyArray<readonly SegmentId[]>;
	/** Time since the crash. */
	ageMs: Milliseconds;
}>;

export type SegmentSuspicion = Readonly<{
	/** Records a crash. A report replaces an earlier one by the same gateway about the same crash, if it covers more requests. */
	recordCrash(report: CrashReport, now: Timestamp): void;
	/** Clears a segment of all crashes so far. Returns whether it was a suspect. */
	clear(segment: ServiceSegment, now: Timestamp): boolean;
	/** Returns whether a segment is a suspect of a crash. */
	isSuspect(segment: ServiceSegment): boolean;
	/** Records that this gateway has completed a response to a prompt with these segments. */
	recordCompletion(service: string, segments: readonly SegmentId[]): void;
	/** Returns the numbers of lost requests and of recently completed ones, in total and for each segment of the lost requests. */
	countRequests(service: string, lostPrompts: ReadonlyArray<readonly SegmentId[]>): Pick<CrashReport, 'requests' | 'completed' | 'suspects' | 'lostPrompts'>;
	/** Returns the segments of the service that the crashes show to be their cause, and the `known` ones whose crashes are too long ago to be weighed again. */
	takeCulprits(service: string, known: ReadonlySet<SegmentId>, now: Timestamp): readonly SegmentId[];
	/** Returns the suspects of all crashes in which the segment is one, itself included: these crashes don't tell them apart. */
	getCommonSuspects(segment: ServiceSegment, now: Timestamp): ReadonlySet<SegmentId>;
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

/** A request that a crash has ended. */
type LostRequest = Readonly<{
	traits: ReadonlySet<SegmentId>;
	/** All traits, by which its repeats are told from other requests. */
	request: string;
	/** Whether an earlier crash has ended the same request. */
	isRepeat: boolean;
}>;

/** A crash and the requests that it has ended, by the reports of all gateways. */
type CrashRecord = Readonly<{crash: Crash; lost: readonly LostRequest[]}>;

/** A crash and its lost requests by trait, without those that are attributed to a known cause. */
type CrashView = Readonly<{
	crash: Crash;
	/** Whether any of its requests contains a known cause. */
	isAttributed: boolean;
	/** Number of the other requests, and of those among them that no earlier crash has ended. */
	count: number;
	freshCount: number;
	/** One of the fresh requests, and one of the repeated ones, that contain each trait. */
	freshByTrait: ReadonlyMap<SegmentId, LostRequest>;
	repeatedByTrait: ReadonlyMap<SegmentId, LostRequest>;
}>;

/** A suspect, the crashes in which it was lost, and the evidence against it. */
type SuspectRecord = Readonly<{
	segment: SegmentId;
	crashes: ReadonlySet<Crash>;
	/** Number of recently completed requests with the segment. */
	completed: number;
	evidence: CrashEvidence;
}>;

/** What crashes are attributed to so far. */
type Attribution = Readonly<{
	/** Segments and whole requests that are taken for causes, and the crashes as seen given these. */
	culprits: ReadonlySet<SegmentId>;
	views: readonly CrashView[];
	/** Whole requests that crash servers, whether by themselves or by a segment of their prompts. */
	repeaters: ReadonlySet<SegmentId>;
}>;

/** Time for which a crash counts. */
export const crashWindowMs: Milliseconds = 600_000;
/** Number of the last crashes that count. More would add the errors of the estimated shares of segments to evidence. */
const maximumCrashes = 150;
/** Reports about one endpoint within this time are about the same crash. */
export const sameCrashMs: Milliseconds = 2000;
/** Time within which all gateways have checked the endpoint and reported a crash. */
const reportDelayMs: Milliseconds = 400;
/** Crashes within this time may have one cause from outside. */
const sameMomentMs: Milliseconds = 50;
/** The same for crashes under one request: it is sent to one server after the other. */
const sameRequestMomentMs: Milliseconds = 10;
/** Ratio of evidence from which on one of two requests that were lost together is the likelier cause. */
const decisiveRatio = 5;
/** Number of crashes that no evidence can do without, whatever the moments count for. */
const minimumCrashes = 3;
/** Evidence from which on requests that were lost together are all taken for causes: sound ones don't come that often. */
const jointEvidence = 5000;
/** Chance that a sound request that is sent again is lost again in another crash. */
const repeatChance = 0.125;
/** Number of the last completed prompts that show how common segments are. */
const maximumCompletedPrompts = 256;
/** Number of completed prompts that show this without the lost requests. */
const sufficientPrompts = 16;
const maximumKnownSegments = 50_000;
/** Number of lost requests in a report, and of traits of each of them; more than servers process at once, and than usual prompts have. */
const maximumReportedRequests = 64;
const maximumReportedTraits = 32;

function getKey({service, segment}: ServiceSegment): string {
	return `${service} ${segment}`;
}

/** Returns the first traits of a request, and the last one, which is the request as a whole. */
function getReportedTraits(traits: readonly SegmentId[]): readonly SegmentId[] {
	return traits.length <= maximumReportedTraits ? traits : [...traits.slice(0, maximumReportedTraits - 1), ...traits.slice(-1)];
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

/** Returns the crashes in order, with the requests that each has ended. */
function getCrashRecords(crashes: readonly Crash[]): readonly CrashRecord[] {
	const seen = new Set<string>();
	return crashes.toSorted((left, right) => left.at - right.at).map(crash => {
		const lost = [...crash.reports.values()].flatMap(({lostPrompts}) => lostPrompts).map((segments): LostRequest => {
			const request = segments.join(' ');
			return {traits: new Set(segments), request, isRepeat: seen.has(request)};
		});
		for (const {request} of lost) {
			seen.add(request);
		}

		return {crash, lost};
	});
}

/** Returns one of the requests that contain each trait. */
function getRequestsByTrait(requests: readonly LostRequest[]): ReadonlyMap<SegmentId, LostRequest> {
	return new Map(requests.flatMap(request => [...request.traits].map(trait => [trait, request])));
}

/**
Returns the estimated share of sound requests that contain a segment: from completed prompts and, while there are few, from the lost
requests; of these, the one that each crash needs is left out.
*/
function getSoundShare(lost: readonly RequestCounts[], completed: RequestCounts): number {
	let total = completed.total + 1;
	let withSegment = completed.withSegment + 0.5;
	for (const counts of completed.total < sufficientPrompts ? lost : []) {
		total += counts.total - 1;
		withSegment += counts.withSegment - 1;
	}

	return Math.min(1, withSegment / total);
}

/** Returns the probability that at least one of some requests contains a segment which a share of all requests contains. */
function getChance(share: number, requestCount: number): number {
	return 1 - ((1 - share) ** requestCount);
}

/** Creates an empty record. */
export function createSegmentSuspicion(): SegmentSuspicion {
	let crashes: Crash[] = [];
	/** When each segment was last cleared of all earlier crashes. */
	const clearedAt = createBoundedCache<string, Timestamp>(maximumKnownSegments);
	/** When the last crash occurred in which each segment was a suspect. */
	const suspectedAt = createBoundedCache<string, Timestamp>(maximumKnownSegments);
	const completedPrompts = new Map<string, readonly CompletedPrompt[]>();

	function isCleared({service, at}: Crash, segment: SegmentId): boolean {
		return at <= (clearedAt.get(getKey({service, segment})) ?? Number.NEGATIVE_INFINITY);
	}

	/** Returns whether a segment has been cleared since the last crash in which it was a suspect. */
	function isClearedOfAll(service: string, segment: SegmentId): boolean {
		const key = getKey({service, segment});
		return (suspectedAt.get(key) ?? Number.NEGATIVE_INFINITY) <= (clearedAt.get(key) ?? Number.NEGATIVE_INFINITY);
	}

	/** Returns whether a request contains a suspect that the crash is attributed to. */
	function isExplained({traits}: LostRequest, crash: Crash, culprits: ReadonlySet<SegmentId>): boolean {
		return culprits.size > 0 && [...traits].some(segment => culprits.has(segment) && !isCleared(crash, segment));
	}

	/** Returns what the crashes look like once the requests that contain a known cause are left out. */
	function getCrashViews(records: readonly CrashRecord[], culprits: ReadonlySet<SegmentId>): readonly CrashView[] {
		return records.map(({crash, lost}) => {
			const others = culprits.size === 0 ? lost : lost.filter(request => !isExplained(request, crash, culprits));
			const fresh = others.filter(({isRepeat}) => !isRepeat);
			const repeated = others.filter(({isRepeat}) => isRepeat);
			return {
				crash, isAttributed: others.length < lost.length, count: others.length, freshCount: fresh.length, freshByTrait: getRequestsByTrait(fresh), repeatedByTrait: getRequestsByTrait(repeated),
			};
		});
	}

	/** Returns what a crash says about a segment of prompts. */
	function findSegmentIndication(view: CrashView, segment: SegmentId, share: number, repeaters: ReadonlySet<SegmentId>): CrashIndication | undefined {
		const {crash: {at}, isAttributed, count, freshCount} = view;
		const fresh = view.freshByTrait.get(segment);
		if (fresh !== undefined) {
			return {
				kind: 'hit', at, chance: getChance(share, freshCount), request: fresh.request,
			};
		}

		const repeated = view.repeatedByTrait.get(segment);
		if (isAttributed || count === 0 || (repeated !== undefined && [...repeated.traits].some(trait => repeaters.has(trait)))) {
			return undefined;
		}

		return repeated === undefined
			? {kind: 'miss', at}
			: {
				kind: 'hit', at, chance: Math.max(repeatChance, getChance(share, count)), request: repeated.request,
			};
	}

	/** Returns what a crash says about a whole request. */
	function findRequestIndication({crash: {at}, isAttributed, count, freshByTrait, repeatedByTrait}: CrashView, request: SegmentId, share: number): CrashIndication | undefined {
		if (isAttributed || count === 0) {
			return undefined;
		}

		const chance = getChance(share, count);
		if (freshByTrait.has(request)) {
			return {
				kind: 'hit', at, chance, request: `${request} ${at}`,
			};
		}

		return repeatedByTrait.has(request)
			? {
				kind: 'hit', at, chance: Math.max(repeatChance, chance), request: `${request} ${at}`,
			}
			: {kind: 'miss', at};
	}

	/** Returns the evidence against a suspect, given what crashes are attributed to. */
	function createSuspectRecord(segment: SegmentId, suspected: readonly Crash[], {views, repeaters}: Attribution): SuspectRecord {
		const isRequest = isWholeRequest(segment);
		const completed = countCompletedRequests(suspected, segment);
		const share = getSoundShare(suspected.map(crash => countLostRequests(crash, segment)), completed);
		const times = suspected.map(({at}) => at);
		const [firstAt, lastAt] = [Math.min(...times), Math.max(...times)];
		const indications = views.filter(({crash: {at}}) => at >= firstAt && at <= lastAt).flatMap(view =>
			(isRequest ? findRequestIndication(view, segment, share) : findSegmentIndication(view, segment, share, repeaters)) ?? []);
		const {current, highest} = getCrashEvidence(indications, isRequest ? sameRequestMomentMs : sameMomentMs);
		// A cause of crashes is in no completed prompt; a sound segment of this share is missing in all of them by chance only.
		const absenceFactor = completed.withSegment === 0 ? (1 - share) ** -completed.total : 1;
		return {
			segment, crashes: new Set(suspected), completed: completed.withSegment, evidence: {current: current * absenceFactor, highest: highest * absenceFactor},
		};
	}

	/** Returns whether another request was lost in about the same crashes, and it can't be told which one is their cause. */
	function isAmbiguous({segment, crashes, evidence}: SuspectRecord, others: readonly SuspectRecord[]): boolean {
		return others.some(other => other.segment !== segment && other.evidence.current * decisiveRatio > evidence.current
			&& [...crashes].filter(crash => other.crashes.has(crash)).length * 2 >= crashes.size);
	}

	/** Returns whether the evidence against a suspect suffices. The more often it was completed shortly before, the more is required (rule of succession). */
	function isConclusive({segment, completed, evidence}: SuspectRecord, known: ReadonlySet<SegmentId>): boolean {
		return evidence.highest >= (known.has(segment) ? sustainedEvidence : conclusiveEvidence) * (completed + 1);
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

	/** Returns the segment with the most evidence, if it suffices, and those with about as much. */
	function findCulprits(suspects: ReadonlyArray<readonly [SegmentId, readonly Crash[]]>, attribution: Attribution, known: ReadonlySet<SegmentId>): readonly SegmentId[] {
		const conclusive = suspects.filter(([segment]) => !attribution.culprits.has(segment))
			.map(([segment, suspected]) => createSuspectRecord(segment, suspected, attribution))
			.filter(record => isConclusive(record, known));
		const most = Math.max(...conclusive.map(({evidence}) => evidence.highest));
		return conclusive.filter(({evidence}) => evidence.highest * decisiveRatio >= most).map(({segment}) => segment);
	}

	/** Returns the request with the most evidence, if it suffices and no other one is as likely the cause. */
	function findRequestCulprits(suspects: ReadonlyArray<readonly [SegmentId, readonly Crash[]]>, attribution: Attribution, known: ReadonlySet<SegmentId>): readonly SegmentId[] {
		const candidates = suspects.filter(([segment]) => !attribution.culprits.has(segment)).map(([segment, suspected]) => createSuspectRecord(segment, suspected, attribution));
		return candidates.filter(record => isConclusive(record, known)
			&& (known.has(record.segment) || record.evidence.highest >= jointEvidence || !isAmbiguous(record, candidates))).map(({segment}) => segment);
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
			const wasSuspect = !isClearedOfAll(segment.service, segment.segment);
			// Nearly all whole requests occur once, and would displace the segments.
			if (wasSuspect || !isWholeRequest(segment.segment)) {
				clearedAt.set(getKey(segment), now);
			}

			return wasSuspect;
		},
		isSuspect: ({service, segment}) => !isClearedOfAll(service, segment),
		recordCompletion(service, segments) {
			completedPrompts.set(service, [...(completedPrompts.get(service) ?? []).slice(1 - maximumCompletedPrompts), new Set(segments)]);
		},
		countRequests(service, allLostPrompts) {
			const lostPrompts = allLostPrompts.slice(-maximumReportedRequests).map(segments => getReportedTraits(segments));
			const counts = new Map<SegmentId, number>();
			for (const segment of lostPrompts.flatMap(segments => [...new Set(segments)])) {
				counts.set(segment, (counts.get(segment) ?? 0) + 1);
			}

			const prompts = completedPrompts.get(service) ?? [];
			return {
				requests: allLostPrompts.length,
				lostPrompts,
				completed: prompts.length,
				suspects: [...counts].map(([segment, requests]) => ({segment, requests, completed: prompts.filter(prompt => prompt.has(segment)).length})),
			};
		},
		takeCulprits(service, known, now) {
			const dueCrashes = crashes.filter(crash => crash.service === service && crash.at + reportDelayMs <= now);
			for (const crash of dueCrashes) {
				crash.isDecided = true;
			}

			const records = getCrashRecords(dueCrashes.filter(({at}) => at > now - crashWindowMs));
			const crashesBySuspect = [...getCrashesBySuspect(records.map(({crash}) => crash))].filter(([, suspected]) => suspected.length >= minimumCrashes);
			const segments = crashesBySuspect.filter(([segment]) => !isWholeRequest(segment));
			const requests = crashesBySuspect.filter(([segment]) => isWholeRequest(segment));
			const unattributed: Attribution = {culprits: new Set(), views: getCrashViews(records, new Set()), repeaters: new Set()};
			const repeaters = new Set(requests.filter(([request, suspected]) => isConclusive(createSuspectRecord(request, suspected, unattributed), known)).map(([request]) => request));
			let attribution: Attribution = {...unattributed, repeaters};
			const attributeAll = (find: (current: Attribution) => readonly SegmentId[]): void => {
				for (let found = find(attribution); found.length > 0; found = find(attribution)) {
					const culprits = new Set([...attribution.culprits, ...found]);
					attribution = {culprits, views: getCrashViews(records, culprits), repeaters};
				}
			};

			attributeAll(current => findCulprits(segments, current, known));
			attributeAll(current => findRequestCulprits(requests, current, known));
			const suspects = new Set(crashesBySuspect.map(([segment]) => segment));
			const displaced = [...known].filter(segment => !suspects.has(segment) && !isClearedOfAll(service, segment));
			return [...attribution.culprits, ...displaced];
		},
		getCommonSuspects({service, segment}, now) {
			const suspectSets = crashes.filter(crash => crash.service === service && crash.at > now - crashWindowMs)
				.map(crash => new Set(getSegments(crash).filter(suspect => !isCleared(crash, suspect))))
				.filter(suspects => suspects.has(segment));
			const [first = new Set<SegmentId>(), ...others] = suspectSets;
			return new Set([...first].filter(suspect => others.every(suspects => suspects.has(suspect))));
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
