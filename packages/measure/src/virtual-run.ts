/**
Runs a workload in virtual time through the decisions of entries and agents, over the timing rules of the engine model.

Only the network between them is made up here: a delay, and one more round for a message that was lost.
*/
import {createAgent, defaultAgentSettings, type Agent} from '@currantcross/core/agent';
import type {AgentAction, AgentEvent, QueuePolicy} from '@currantcross/core/agent-types';
import {createConfiguration} from '@currantcross/core/configuration';
import type {EntryAction, EntryEvent} from '@currantcross/core/entry-types';
import {createEntry, defaultEntrySettings, type Entry} from '@currantcross/core/entry';
import type {ErrorKind} from '@currantcross/core/errors';
import {createJobQueue} from '@currantcross/core/job-queue';
import {createRandom} from '@currantcross/core/random';
import type {RoutingPolicy} from '@currantcross/core/routing';
import type {AttemptId, Server, Ticket} from '@currantcross/core/types';
import {
	createEngineModel, defaultEngineModelSettings, type EngineModel, type EngineStep,
} from '@currantcross/standins/engine-model';
import type {Deployment, WorkloadPrompt} from './workload.js';

/** A policy at both sides: how entries route, and how agents queue. */
export type Policy = Readonly<{name: string; routing: RoutingPolicy; queue: QueuePolicy}>;

/** Faults of a run, at their times. */
export type RunFaults = Readonly<{
	/** Servers that die for good, by index. */
	deadServers: ReadonlyArray<Readonly<{index: number; at: number}>>;
	/** How late the engines' reports come, and a span in which none comes. */
	reportLagMs: number;
	reportsCutFrom: number;
	reportsCutUntil: number;
}>;

export const noRunFaults: RunFaults = {
	deadServers: [], reportLagMs: 500, reportsCutFrom: 0, reportsCutUntil: 0,
};

/** What became of one prompt. */
export type PromptOutcome = {
	readonly prompt: WorkloadPrompt;
	firstTokenMs: number | undefined;
	totalMs: number | undefined;
	/** Gaps between deliveries after the first, in milliseconds. */
	readonly gapsMs: number[];
	lastTokenAt: number;
	result: 'open' | 'completed' | ErrorKind;
	tries: number;
};

export type RunResult = Readonly<{
	outcomes: readonly PromptOutcome[];
	cacheHitTokens: number;
	/** Prompt tokens that all engines prefilled. */
	prefilledTokens: number;
	attempts: number;
}>;

type WakeState = {wakeAt: number};
type EntryNode = WakeState & Readonly<{entry: Entry; dataCentre: string}>;
type AgentNode = WakeState & Readonly<{agent: Agent; server: Server; engine: EngineModel}> & {isStepping: boolean; isDead: boolean};
type Stream = Readonly<{requestId: string; entry: number; agent: number}>;

const keyOfAll = 'b'.repeat(64);
const retransmitMs = 200;
const reportIntervalMs = 500;

function createTicket(): Ticket {
	return {
		number: 1,
		objects: [
			{kind: 'pool', name: 'models', state: {kind: 'model', engineMemoryTokens: defaultEngineModelSettings.memoryTokens}},
			{
				kind: 'route',
				name: 'base',
				state: {
					kind: 'prompt',
					pool: 'models',
					model: 'base',
					defaultDeadlineMs: 600_000,
					maximumDeadlineMs: 600_000,
					maximumPromptTokens: 395_000,
					objective: {firstTokenMs: 390, share: 0.95},
				},
			},
		],
	};
}

/** Returns a ticket that lets each organisation in without limits, so that the policy alone decides. */
function createOrganisationTicket(count: number): Ticket {
	return {
		number: 2,
		objects: Array.from({length: count}, (_, index) => ({
			kind: 'organisation',
			name: `o${index}`,
			state: {
				keySha256: getOrganisationKey(index), requestsPerSecond: 1e9, tokensPerSecond: 1e12, concurrentRequests: 1e6,
			},
		} as const)),
	};
}

function getOrganisationKey(index: number): string {
	return `${keyOfAll}${index}`;
}

export type RunOptions = Readonly<{
	seed: number;
	faults: RunFaults;
	/** Whether retries are let through without a budget, to show what the budget is for. */
	hasUnboundedRetries: boolean;
	/** Returns a well-mixed 32-bit hash of a text. */
	getHash(text: string): number;
}>;

/** Runs the prompts to their ends. */
export function runWorkload(
	deployment: Deployment,
	policy: Policy,
	prompts: readonly WorkloadPrompt[],
	options: RunOptions,
): RunResult {
	const {
		seed, faults, hasUnboundedRetries, getHash,
	} = options;
	const random = createRandom(seed);
	const jobs = createJobQueue();
	const outcomes = new Map<string, PromptOutcome>();
	const streams = new Map<string, Stream>();
	const lastArrivals = new Map<string, number>();
	let now = 0;
	let openCount = prompts.length;
	let prefilledTokens = 0;
	let attempts = 0;

	const agents: readonly AgentNode[] = Array.from({length: deployment.modelServers}, (_, index) => {
		const dataCentre = deployment.dataCentres[index % deployment.dataCentres.length] ?? '';
		const server: Server = {
			name: `m${index}`, kind: 'model', pool: 'models', dataCentre, agentUrl: `http://m${index}`,
		};
		const agent = createAgent({
			...defaultAgentSettings, server: server.name, incarnation: 'i', queuePolicy: policy.queue,
		});
		return {
			agent, server, engine: createEngineModel(defaultEngineModelSettings), isStepping: false, isDead: false, wakeAt: Number.POSITIVE_INFINITY,
		};
	});
	const entries: readonly EntryNode[] = deployment.dataCentres.map((dataCentre, index) => {
		const configuration = createConfiguration();
		configuration.applyTicket(createTicket(), 1);
		configuration.applyTicket(createOrganisationTicket(deployment.organisations), 2);
		const entry = createEntry({
			...defaultEntrySettings, ...(hasUnboundedRetries ? {retryRatio: 1e6, retryBurst: 1e6} : {}), entryName: `e${index}`, dataCentre,
		}, {
			configuration, random: createRandom(seed + index), policy: policy.routing, getHash,
		});
		return {entry, dataCentre, wakeAt: Number.POSITIVE_INFINITY};
	});

	function schedule(at: number, run: () => void): void {
		jobs.add(at, run);
	}

	/** Schedules what a connection brings; one connection keeps its order, also behind a message that was lost. */
	function scheduleInOrder(connection: string, delayMs: number, run: () => void): void {
		const at = Math.max(now + delayMs, lastArrivals.get(connection) ?? 0);
		lastArrivals.set(connection, at);
		schedule(at, run);
	}

	/** Returns the time a message takes between an entry and an agent. */
	function getDelayMs(entry: number, agent: number): number {
		const isLocal = entries[entry]?.dataCentre === agents[agent]?.server.dataCentre;
		const delayMs = (isLocal ? deployment.localDelayMs : deployment.remoteDelayMs) * (0.75 + (random.getFraction() / 2));
		return delayMs + (random.getFraction() < deployment.lossShare ? retransmitMs : 0);
	}

	function setWake(node: WakeState, wakeAt: number | undefined, run: () => void): void {
		if (wakeAt === undefined || wakeAt >= node.wakeAt) {
			return;
		}

		node.wakeAt = wakeAt;
		schedule(Math.max(now, wakeAt), () => {
			if (node.wakeAt === wakeAt) {
				node.wakeAt = Number.POSITIVE_INFINITY;
				run();
			}
		});
	}

	function stepEntry(index: number, event: EntryEvent): void {
		const node = entries[index];
		if (node === undefined) {
			return;
		}

		for (const action of node.entry.step(event, now)) {
			performEntryAction(index, action);
		}

		setWake(node, node.entry.tryGetWakeAt(), () => {
			stepEntry(index, {kind: 'timePassed'});
		});
	}

	function stepAgent(index: number, event: AgentEvent): void {
		const node = agents[index];
		if (node === undefined || node.isDead) {
			return;
		}

		for (const action of node.agent.step(event, now)) {
			performAgentAction(index, node, action);
		}

		setWake(node, node.agent.getWakeAt(), () => {
			stepAgent(index, {kind: 'timePassed'});
		});
	}

	function sendToAgent(entry: number, server: Server, event: AgentEvent): void {
		const agent = Number(server.name.slice(1));
		scheduleInOrder(`${entry} to ${agent}`, getDelayMs(entry, agent), () => {
			stepAgent(agent, event);
		});
	}

	function performEntryAction(index: number, action: EntryAction): void {
		switch (action.kind) {
			case 'openStream': {
				openStream(index, action);
				break;
			}

			case 'closeStream': {
				const stream = streams.get(action.streamId);
				const server = stream === undefined ? undefined : agents[stream.agent]?.server;
				streams.delete(action.streamId);
				if (server !== undefined) {
					sendToAgent(index, server, {kind: 'streamClosed', streamId: action.streamId});
				}

				break;
			}

			case 'cancelAttempt': {
				sendToAgent(index, action.server, {kind: 'cancelArrived', attemptId: action.attemptId});
				break;
			}

			case 'probeServer': {
				probe(index, Number(action.server.name.slice(1)));
				break;
			}

			case 'deliverTokens': {
				recordTokens(action.requestId);
				break;
			}

			case 'completeRequest': {
				recordEnd(action.requestId, 'completed', action.summary.tries);
				break;
			}

			case 'failRequest': {
				recordEnd(action.requestId, action.failure.kind, 0);
				break;
			}

			case 'answerRequest':
			case 'submitClaim':
			case 'recordOutcome': {
				break;
			}
		}
	}

	function openStream(index: number, action: Extract<EntryAction, {kind: 'openStream'}>): void {
		const {streamId, requestId, attempt, mode, server} = action;
		const agent = Number(server.name.slice(1));
		streams.set(streamId, {requestId, entry: index, agent});
		attempts += mode.kind === 'submit' ? 1 : 0;
		if (agents[agent]?.isDead === true) {
			// The host is gone: nothing answers, and the connection is refused a little later.
			schedule(now + getDelayMs(index, agent), () => {
				stepEntry(index, {
					kind: 'streamBroken', requestId, streamId, wasSent: mode.kind === 'resume',
				});
			});
			return;
		}

		sendToAgent(index, server, mode.kind === 'submit'
			? {kind: 'submitArrived', streamId, attempt}
			: {
				kind: 'resumeArrived', streamId, attemptId: attempt.attemptId, permit: attempt.permit, nextOffset: mode.nextOffset,
			});
	}

	function probe(entry: number, agent: number): void {
		const node = agents[agent];
		if (node === undefined) {
			return;
		}

		schedule(now + (2 * getDelayMs(entry, agent)), () => {
			stepEntry(entry, node.isDead
				? {kind: 'probeFailed', server: node.server.name}
				: {kind: 'statusReceived', status: node.agent.getStatus(now)});
		});
	}

	function performAgentAction(index: number, node: AgentNode, action: AgentAction): void {
		switch (action.kind) {
			case 'sendMessage': {
				const stream = streams.get(action.streamId);
				if (stream !== undefined) {
					const {requestId, entry} = stream;
					scheduleInOrder(`${index} to ${entry}`, getDelayMs(entry, index), () => {
						stepEntry(entry, {
							kind: 'messageReceived', requestId, streamId: action.streamId, message: action.message,
						});
					});
				}

				break;
			}

			case 'startWork': {
				startWork(index, node, action);
				break;
			}

			case 'cancelWork':
			case 'releaseMemory': {
				node.engine.release(action.attemptId);
				break;
			}

			case 'endStream':
			case 'replyState': {
				break;
			}
		}
	}

	function startWork(index: number, node: AgentNode, {attempt, priority}: Extract<AgentAction, {kind: 'startWork'}>): void {
		const {work} = attempt;
		if (work.kind !== 'prompt') {
			return;
		}

		node.engine.submit({
			attemptId: attempt.attemptId,
			promptTokens: work.promptTokens,
			prefixKey: work.prefixKey,
			prefixTokens: work.prefixTokens,
			resumedTokens: attempt.deliveredTokens.length,
			answerTokens: work.maximumTokens,
			priority,
		});
		if (!node.isStepping) {
			runEngine(index, node);
		}
	}

	function runEngine(index: number, node: AgentNode): void {
		const step = node.engine.runStep();
		node.isStepping = step !== undefined;
		if (step === undefined) {
			return;
		}

		schedule(now + step.durationMs, () => {
			if (!node.isDead) {
				completeStep(index, step);
				runEngine(index, node);
			}
		});
	}

	function completeStep(index: number, step: EngineStep): void {
		prefilledTokens += step.prefilledTokens;
		for (const {attemptId, isLast} of step.generated) {
			stepAgent(index, {kind: 'tokensGenerated', attemptId, tokens: ['t']});
			if (isLast) {
				stepAgent(index, {kind: 'promptCompleted', attemptId, finishReason: 'stop'});
			}
		}
	}

	function report(index: number, node: AgentNode): void {
		const isCut = now >= faults.reportsCutFrom && now < faults.reportsCutUntil;
		const held: ReadonlyArray<Readonly<{attemptId: AttemptId; tokens: number}>> = node.engine.getHeldMemory();
		if (!isCut && !node.isDead) {
			schedule(now + faults.reportLagMs, () => {
				stepAgent(index, {
					kind: 'engineReported', report: {
						totalMemoryTokens: defaultEngineModelSettings.memoryTokens,
						prefillTokensPerSecond: node.engine.getPrefillTokensPerSecond(),
						held,
					},
				});
			});
		}

		if (openCount > 0) {
			schedule(now + reportIntervalMs, () => {
				report(index, node);
			});
		}
	}

	function recordTokens(requestId: string): void {
		const outcome = outcomes.get(requestId);
		if (outcome === undefined) {
			return;
		}

		const at = now + deployment.callerDelayMs;
		if (outcome.firstTokenMs === undefined) {
			outcome.firstTokenMs = at - outcome.prompt.at;
		} else {
			outcome.gapsMs.push(at - outcome.lastTokenAt);
		}

		outcome.lastTokenAt = at;
	}

	function recordEnd(requestId: string, result: PromptOutcome['result'], tries: number): void {
		const outcome = outcomes.get(requestId);
		if (outcome === undefined) {
			return;
		}

		outcome.result = result;
		outcome.tries = tries;
		outcome.totalMs = now + deployment.callerDelayMs - outcome.prompt.at;
		openCount -= 1;
	}

	function hasOpenPrompts(): boolean {
		return openCount > 0;
	}

	function startPrompt(prompt: WorkloadPrompt): void {
		outcomes.set(prompt.requestId, {
			prompt, firstTokenMs: undefined, totalMs: undefined, gapsMs: [], lastTokenAt: 0, result: 'open', tries: 0,
		});
		stepEntry(prompt.entry, {
			kind: 'requestArrived',
			request: {
				requestId: prompt.requestId,
				keySha256: getOrganisationKey(prompt.organisation),
				route: 'base',
				deadlineMs: prompt.deadlineMs,
				work: prompt.work,
			},
		});
	}

	for (const index of entries.keys()) {
		stepEntry(index, {kind: 'hostListRead', listings: agents.map(({server}) => ({server, isLeaving: false})), entryCount: entries.length});
	}

	for (const [index, node] of agents.entries()) {
		report(index, node);
	}

	for (const {index, at} of faults.deadServers) {
		const node = agents[index];
		if (node !== undefined) {
			schedule(at, () => {
				node.isDead = true;
			});
		}
	}

	for (const prompt of prompts) {
		schedule(prompt.at + deployment.callerDelayMs, () => {
			startPrompt(prompt);
		});
	}

	for (let job = jobs.tryTake(); job !== undefined && hasOpenPrompts(); job = jobs.tryTake()) {
		now = job.at;
		job.run();
	}

	return {
		outcomes: [...outcomes.values()],
		cacheHitTokens: agents.reduce((sum, node) => sum + node.engine.getCacheHitTokens(), 0),
		prefilledTokens,
		attempts,
	};
}
