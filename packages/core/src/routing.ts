/**
Selects a server for each request.

The length-aware policy confines long prompts to as few servers as can sustain them, and predicts the cost of a request
at a random sample of candidates. The prediction uses the last load report of each agent, the attempts sent since that
report, and the server that last received the same prompt prefix. This information may be stale, so a misprediction must
be cheap: an agent that is busier than predicted refuses the attempt, and the request is routed again.
*/
import {LRUCache} from 'lru-cache';
import {createLongPromptDemand} from './long-prompt-demand.js';
import {isAvailable, type Member, type Membership} from './membership.js';
import {getClassesAhead, getPromptClass} from './prompt-class.js';
import type {Random} from './random.js';
import type {
	AttemptId, Milliseconds, PoolName, PromptClass, Server, ServerName, Timestamp, TokenCount, Work,
} from './types.js';

/** How a server is selected. `roundRobin` and `leastOutstanding` are baselines for benchmarks. */
export type RoutingPolicy
	= | Readonly<{kind: 'roundRobin'}>
		| Readonly<{kind: 'leastOutstanding'}>
		| LengthAwarePolicy;

export type LengthAwarePolicy = Readonly<{
	kind: 'lengthAware';
	/** Number of servers that are drawn at random and compared. */
	candidateCount: number;
	/** Largest fraction of a pool's servers that long prompts may use. */
	maximumLongFraction: number;
	/** Predicted cost of a short prompt above which it may spill over to the servers assigned to long prompts. */
	shortSpilloverCostMs: Milliseconds;
	/** Predicted wait of a long prompt above which it may spill over to all servers that `maximumLongFraction` allows. */
	longSpilloverWaitMs: Milliseconds;
	/** Delay of each output token while a long prompt is in prefill on the same server. */
	interferenceMsPerToken: Milliseconds;
	/** Cost added to a server in another data centre. */
	remotePenaltyMs: Milliseconds;
}>;

export const defaultRoutingPolicy = {
	kind: 'lengthAware', candidateCount: 16, maximumLongFraction: 0.75, shortSpilloverCostMs: 1000, longSpilloverWaitMs: 20_000, interferenceMsPerToken: 20, remotePenaltyMs: 20,
} as const satisfies RoutingPolicy;

/** Services that the router depends on. */
export type RoutingHost = Readonly<{
	membership: Membership;
	random: Random;
	/** Returns a uniformly distributed 32-bit hash of a string. */
	getHash(text: string): number;
}>;

export type RoutingSettings = Readonly<{
	dataCentre: string;
	policy: RoutingPolicy;
}>;

export type Router = Readonly<{
	/** Returns the best available server of the pool that is not excluded, or `undefined` if there is none. */
	findServer(pool: PoolName, work: Work, excluded: ReadonlySet<ServerName>, now: Timestamp): Server | undefined;
	/** Returns the predicted wait for the first token of the work if it is sent to the server. */
	getPredictedWaitMs(member: Member, work: Work, now: Timestamp): Milliseconds;
	recordSent(attemptId: AttemptId, server: ServerName, work: Work, now: Timestamp): void;
	recordFirstToken(attemptId: AttemptId): void;
	recordEnd(attemptId: AttemptId): void;
	/** Sets the number of entries that send prompts to the same servers. */
	setEntryCount(count: number): void;
}>;

type OutstandingAttempt = {
	readonly server: ServerName;
	readonly promptClass: PromptClass;
	readonly sentAt: Timestamp;
	/** Prompt tokens not yet prefilled; 0 once the first output token has arrived. */
	pendingPrefillTokens: TokenCount;
};

/** Number of prompt prefixes for which the last server is remembered. */
const maximumTrackedPrefixes = 20_000;
/** Predicted extra wait at an engine whose last load report shows too little free memory for the work. */
const fullMemoryPenaltyMs = 5000;

const defaultPrefillTokensPerSecond = 10_000;
const millisecondsPerSecond = 1000;

function getPrefillTokens(work: Work): TokenCount {
	switch (work.kind) {
		case 'prompt': {
			return work.promptTokens;
		}

		case 'service': {
			return 1;
		}
	}
}

/** Creates the router of one entry. */
export function createRouter(settings: RoutingSettings, host: RoutingHost): Router {
	const outstandingByAttempt = new Map<AttemptId, OutstandingAttempt>();
	const attemptsByServer = new Map<ServerName, Set<AttemptId>>();
	const serverByPrefix = new LRUCache<string, ServerName>({max: maximumTrackedPrefixes});
	const longPromptDemand = createLongPromptDemand();
	let roundRobinIndex = 0;
	let entryCount = 1;

	function getOutstandingAttempts(server: ServerName): readonly OutstandingAttempt[] {
		const attempts = attemptsByServer.get(server);
		if (attempts === undefined) {
			return [];
		}

		return [...attempts].flatMap(attemptId => outstandingByAttempt.get(attemptId) ?? []);
	}

	function getUncachedTokens(server: ServerName, work: Work): TokenCount {
		if (work.kind === 'service') {
			return 1;
		}

		return serverByPrefix.get(work.prefixKey) === server ? Math.max(1, work.promptTokens - work.prefixTokens) : work.promptTokens;
	}

	/** Returns the number of tokens of the given classes that await prefill at the server. */
	function getTokensAhead(member: Member, classes: readonly PromptClass[], now: Timestamp): TokenCount {
		const sent = getOutstandingAttempts(member.server.name).filter(item => classes.includes(item.promptClass));
		const {status, statusAt} = member;
		if (status === undefined) {
			return getPendingTokenSum(sent);
		}

		const {queuedTokens, prefillTokensPerSecond} = status.load;
		const reportedTokens = classes.map(name => queuedTokens[name]).reduce((sum, tokens) => sum + tokens, 0);
		const prefilledTokens = (now - statusAt) / millisecondsPerSecond * prefillTokensPerSecond;
		return Math.max(0, reportedTokens - prefilledTokens) + getPendingTokenSum(sent.filter(item => item.sentAt > statusAt));
	}

	function getPredictedWaitMs(member: Member, work: Work, now: Timestamp): Milliseconds {
		const rate = member.status?.load.prefillTokensPerSecond ?? defaultPrefillTokensPerSecond;
		const tokensAhead = getTokensAhead(member, getClassesAhead(getPromptClass(getPrefillTokens(work))), now);
		const ownTokens = getUncachedTokens(member.server.name, work);
		const isMemoryFull = member.status !== undefined && member.status.load.freeMemoryTokens < getPrefillTokens(work);
		return ((tokensAhead + ownTokens) / Math.max(1, rate) * millisecondsPerSecond) + (isMemoryFull ? fullMemoryPenaltyMs : 0);
	}

	/** Orders the members by hash, so that all entries agree on the order. Long prompts are assigned to the first members. */
	function rankMembers(members: readonly Member[]): readonly Member[] {
		const ranked = members.map(member => ({member, hash: host.getHash(member.server.name)}));
		return ranked.toSorted((left, right) => left.hash - right.hash).map(({member}) => member);
	}

	function getMaximumLongServerCount(members: readonly Member[], policy: LengthAwarePolicy): number {
		return Math.max(1, Math.floor(members.length * policy.maximumLongFraction));
	}

	function getLongServerCount(members: readonly Member[], policy: LengthAwarePolicy, now: Timestamp): number {
		const rates = members.map(member => member.status?.load.prefillTokensPerSecond ?? defaultPrefillTokensPerSecond);
		const meanRate = rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
		return Math.min(longPromptDemand.getRequiredServerCount(entryCount, meanRate, now), getMaximumLongServerCount(members, policy));
	}

	/** Selects among the servers assigned to long prompts, or among more servers if the best of those is too busy. */
	function findForLongPrompt(members: readonly Member[], work: Work, policy: LengthAwarePolicy, now: Timestamp): Member | undefined {
		const ranked = rankMembers(members);
		const getWaitMs = (member: Member): number => getPredictedWaitMs(member, work, now);
		const best = findMemberWithLowestCost(ranked.slice(0, getLongServerCount(members, policy, now)), getWaitMs);
		if (best === undefined || getWaitMs(best) <= policy.longSpilloverWaitMs) {
			return best;
		}

		return findMemberWithLowestCost(ranked.slice(0, getMaximumLongServerCount(members, policy)), getWaitMs);
	}

	function getInterferenceMs(member: Member, work: Work, policy: LengthAwarePolicy, now: Timestamp): Milliseconds {
		if (work.kind === 'service') {
			return 0;
		}

		const rate = member.status?.load.prefillTokensPerSecond ?? defaultPrefillTokensPerSecond;
		const prefillMs = getTokensAhead(member, ['medium', 'long'], now) / rate * millisecondsPerSecond;
		return Math.min(prefillMs, work.maximumTokens * policy.interferenceMsPerToken);
	}

	/** Selects among a sample of the servers not assigned to long prompts, or of all servers if the best of those is too busy. */
	function findForShortPrompt(members: readonly Member[], work: Work, policy: LengthAwarePolicy, now: Timestamp): Member | undefined {
		const getCostMs = (member: Member): number => {
			const penaltyMs = member.server.dataCentre === settings.dataCentre ? 0 : policy.remotePenaltyMs;
			return getPredictedWaitMs(member, work, now) + getInterferenceMs(member, work, policy, now) + penaltyMs;
		};

		const prefixServer = work.kind === 'prompt' ? serverByPrefix.get(work.prefixKey) : undefined;
		const withoutLongPrompts = rankMembers(members).slice(getLongServerCount(members, policy, now));
		const withPrefix = withoutLongPrompts.filter(member => member.server.name === prefixServer);
		const best = findMemberWithLowestCost([...drawCandidates(withoutLongPrompts, policy.candidateCount), ...withPrefix], getCostMs);
		if (best !== undefined && getCostMs(best) <= policy.shortSpilloverCostMs) {
			return best;
		}

		return findMemberWithLowestCost([...best === undefined ? [] : [best], ...drawCandidates(members, policy.candidateCount)], getCostMs);
	}

	function drawCandidates(members: readonly Member[], count: number): readonly Member[] {
		const remaining = [...members];
		const drawn: Member[] = [];
		while (drawn.length < count && remaining.length > 0) {
			const [member] = remaining.splice(host.random.getInteger(remaining.length), 1);
			if (member !== undefined) {
				drawn.push(member);
			}
		}

		return drawn;
	}

	function findMember(members: readonly Member[], work: Work, now: Timestamp): Member | undefined {
		const {policy} = settings;
		switch (policy.kind) {
			case 'roundRobin': {
				roundRobinIndex += 1;
				return members[roundRobinIndex % members.length];
			}

			case 'leastOutstanding': {
				return findMemberWithLowestCost(members, member => attemptsByServer.get(member.server.name)?.size ?? 0);
			}

			case 'lengthAware': {
				return getPromptClass(getPrefillTokens(work)) === 'short'
					? findForShortPrompt(members, work, policy, now)
					: findForLongPrompt(members, work, policy, now);
			}
		}
	}

	return {
		findServer(pool, work, excluded, now) {
			const members = host.membership.getAvailable(pool, now)
				.filter(member => !excluded.has(member.server.name) && isAvailable(member, now));
			return findMember(members, work, now)?.server;
		},
		getPredictedWaitMs,
		recordSent(attemptId, server, work, now) {
			const promptClass = getPromptClass(getPrefillTokens(work));
			outstandingByAttempt.set(attemptId, {
				server, promptClass, sentAt: now, pendingPrefillTokens: getUncachedTokens(server, work),
			});
			const attempts = attemptsByServer.get(server) ?? new Set();
			attempts.add(attemptId);
			attemptsByServer.set(server, attempts);
			if (work.kind === 'prompt') {
				serverByPrefix.set(work.prefixKey, server);
			}

			if (promptClass !== 'short') {
				longPromptDemand.record(getPrefillTokens(work), now);
			}
		},
		recordFirstToken(attemptId) {
			const outstanding = outstandingByAttempt.get(attemptId);
			if (outstanding !== undefined) {
				outstanding.pendingPrefillTokens = 0;
			}
		},
		recordEnd(attemptId) {
			const outstanding = outstandingByAttempt.get(attemptId);
			if (outstanding === undefined) {
				return;
			}

			outstandingByAttempt.delete(attemptId);
			const attempts = attemptsByServer.get(outstanding.server);
			attempts?.delete(attemptId);
			if (attempts?.size === 0) {
				attemptsByServer.delete(outstanding.server);
			}
		},
		setEntryCount(count) {
			entryCount = Math.max(1, count);
		},
	};
}

function getPendingTokenSum(items: readonly OutstandingAttempt[]): TokenCount {
	let sum = 0;
	for (const item of items) {
		sum += item.pendingPrefillTokens;
	}

	return sum;
}

function findMemberWithLowestCost(members: readonly Member[], getCost: (member: Member) => number): Member | undefined {
	let best: Member | undefined;
	let lowestCost = Number.POSITIVE_INFINITY;
	for (const member of members) {
		const cost = getCost(member);
		if (cost < lowestCost) {
			best = member;
			lowestCost = cost;
		}
	}

	return best;
}
