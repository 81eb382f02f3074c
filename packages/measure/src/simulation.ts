/**
Discrete-event simulation of a workload in virtual time: drives the state machines that entries and agents run in
production, with the stand-ins' engine model in place of the model servers.

The network is the only part that is modelled here: a one-way delay for each message, and a retransmission delay for
each message that is lost.
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
import type {DeploymentProfile, WorkloadPrompt} from './workload.js';

/** A scheduling policy: how entries route requests, and how agents queue them. */
export type Policy = Readonly<{name: string; routing: RoutingPolicy; queue: QueuePolicy}>;

/** The faults that a simulation injects, with their times in virtual time. */
export type FaultSchedule = Readonly<{
	/** Servers that crash and do not restart, by index. */
	serverCrashes: ReadonlyArray<Readonly<{index: number; at: number}>>;
	/** Delay of each engine report on its way to the agent. */
	reportDelayMs: number;
	/** Engines send no reports from `reportOutageFrom`, inclusive, to `reportOutageUntil`, exclusive. */
	reportOutageFrom: number;
	reportOutageUntil: number;
}>;

export const noFaults: FaultSchedule = {
	serverCrashes: [], reportDelayMs: 500, reportOutageFrom: 0, reportOutageUntil: 0,
};

/** The result and the timing of one prompt, as its caller sees them. */
export type PromptOutcome = {
	readonly prompt: WorkloadPrompt;
	firstTokenMs: number | undefined;
	totalMs: number | undefined;
	/** Times between successive deliveries of tokens. */
	readonly gapsMs: number[];
	lastTokenAt: number;
	result: 'open' | 'completed' | ErrorKind;
	/** Number of attempts of a completed prompt; 0 in all other cases. */
	attemptCount: number;
};

export type SimulationResult = Readonly<{
	outcomes: readonly PromptOutcome[];
	cacheHitTokens: number;
	/** Prompt tokens that the engines prefilled, over all servers. */
	prefilledTokens: number;
	/** Attempts that the entries submitted to agents. */
	submittedAttemptCount: number;
}>;

/** The time of the next scheduled wake-up of an entry or an agent; infinite if there is none. */
type WakeTimer = {wakeAt: number};
type SimulatedEntry = WakeTimer & Readonly<{entry: Entry; dataCentre: string}>;
type SimulatedAgent = WakeTimer & Readonly<{agent: Agent; server: Server; engine: EngineModel}> & {isEngineRunning: boolean; hasCrashed: boolean};
type Stream = Readonly<{requestId: string; entryIndex: number; agentIndex: number}>;

/** Prefix of the simulated key hashes. An organisation's index is appended to make its hash unique. */
const keyHashPrefix = 'b'.repeat(64);
const retransmissionDelayMs = 200;
const reportIntervalMs = 500;

function createRouteTicket(): Ticket {
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

/** Creates a ticket of organisations with limits too high to be reached, so that results depend on the policy alone. */
function createOrganisationTicket(organisationCount: number): Ticket {
	return {
		number: 2,
		objects: Array.from({length: organisationCount}, (_, index) => ({
			kind: 'organisation',
			name: `o${index}`,
			state: {
				keySha256: getOrganisationKeyHash(index), requestsPerSecond: 1e9, tokensPerSecond: 1e12, concurrentRequests: 1e6,
			},
		} as const)),
	};
}

function getOrganisationKeyHash(index: number): string {
	return `${keyHashPrefix}${index}`;
}

export type SimulationOptions = Readonly<{
	seed: number;
	faults: FaultSchedule;
	/** Disables the retry budget, to measure its effect. */
	hasUnboundedRetries: boolean;
	/** Returns a uniformly distributed 32-bit hash of a text. */
	getHash(text: string): number;
}>;

/** Runs the simulation until each prompt has completed or failed. */
export function runSimulation(
	deployment: DeploymentProfile,
	policy: Policy,
	prompts: readonly WorkloadPrompt[],
	options: SimulationOptions,
): SimulationResult {
	const {
		seed, faults, hasUnboundedRetries, getHash,
	} = options;
	const random = createRandom(seed);
	const jobs = createJobQueue();
	const outcomes = new Map<string, PromptOutcome>();
	const streams = new Map<string, Stream>();
	const lastDeliveryTimes = new Map<string, number>();
	let now = 0;
	let openPromptCount = prompts.length;
	let prefilledTokens = 0;
	let submittedAttemptCount = 0;

	const agents: readonly SimulatedAgent[] = Array.from({length: deployment.modelServerCount}, (_, index) => {
		const dataCentre = deployment.dataCentres[index % deployment.dataCentres.length] ?? '';
		// The index of an agent is read back from the name of its server.
		const server: Server = {
			name: `m${index}`, kind: 'model', pool: 'models', dataCentre, agentUrl: `http://m${index}`,
		};
		const agent = createAgent({
			...defaultAgentSettings, server: server.name, incarnation: 'i', queuePolicy: policy.queue,
		});
		return {
			agent, server, engine: createEngineModel(defaultEngineModelSettings), isEngineRunning: false, hasCrashed: false, wakeAt: Number.POSITIVE_INFINITY,
		};
	});
	const entries: readonly SimulatedEntry[] = deployment.dataCentres.map((dataCentre, index) => {
		const configuration = createConfiguration();
		configuration.applyTicket(createRouteTicket(), 1);
		configuration.applyTicket(createOrganisationTicket(deployment.organisationCount), 2);
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

	/** Schedules a delivery. Messages on one connection arrive in order, so a retransmission delays those behind it. */
	function scheduleOrderedDelivery(connection: string, delayMs: number, run: () => void): void {
		const at = Math.max(now + delayMs, lastDeliveryTimes.get(connection) ?? 0);
		lastDeliveryTimes.set(connection, at);
		schedule(at, run);
	}

	/** Draws the one-way delay of a message: within 25 % of the mean, plus a retransmission delay if the message is lost. */
	function drawDelayMs(entryIndex: number, agentIndex: number): number {
		const isLocal = entries[entryIndex]?.dataCentre === agents[agentIndex]?.server.dataCentre;
		const delayMs = (isLocal ? deployment.localDelayMs : deployment.remoteDelayMs) * (0.75 + (random.getFraction() / 2));
		return delayMs + (random.getFraction() < deployment.lossRate ? retransmissionDelayMs : 0);
	}

	/** Schedules a wake-up in place of a later one. An earlier one stays, and schedules the next when it runs. */
	function scheduleWakeUp(node: WakeTimer, wakeAt: number | undefined, run: () => void): void {
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

	function stepEntry(entryIndex: number, event: EntryEvent): void {
		const node = entries[entryIndex];
		if (node === undefined) {
			return;
		}

		for (const action of node.entry.step(event, now)) {
			performEntryAction(entryIndex, action);
		}

		scheduleWakeUp(node, node.entry.tryGetWakeAt(), () => {
			stepEntry(entryIndex, {kind: 'timePassed'});
		});
	}

	function stepAgent(agentIndex: number, event: AgentEvent): void {
		const node = agents[agentIndex];
		if (node === undefined || node.hasCrashed) {
			return;
		}

		for (const action of node.agent.step(event, now)) {
			performAgentAction(agentIndex, node, action);
		}

		scheduleWakeUp(node, node.agent.getWakeAt(), () => {
			stepAgent(agentIndex, {kind: 'timePassed'});
		});
	}

	function sendToAgent(entryIndex: number, server: Server, event: AgentEvent): void {
		const agentIndex = Number(server.name.slice(1));
		scheduleOrderedDelivery(`${entryIndex} to ${agentIndex}`, drawDelayMs(entryIndex, agentIndex), () => {
			stepAgent(agentIndex, event);
		});
	}

	function performEntryAction(entryIndex: number, action: EntryAction): void {
		switch (action.kind) {
			case 'openStream': {
				openStream(entryIndex, action);
				break;
			}

			case 'closeStream': {
				const stream = streams.get(action.streamId);
				const server = stream === undefined ? undefined : agents[stream.agentIndex]?.server;
				streams.delete(action.streamId);
				if (server !== undefined) {
					sendToAgent(entryIndex, server, {kind: 'streamClosed', streamId: action.streamId});
				}

				break;
			}

			case 'cancelAttempt': {
				sendToAgent(entryIndex, action.server, {kind: 'cancelArrived', attemptId: action.attemptId});
				break;
			}

			case 'probeServer': {
				probeAgent(entryIndex, Number(action.server.name.slice(1)));
				break;
			}

			case 'deliverTokens': {
				recordDelivery(action.requestId);
				break;
			}

			case 'completeRequest': {
				recordResult(action.requestId, 'completed', action.summary.tries);
				break;
			}

			case 'failRequest': {
				recordResult(action.requestId, action.failure.kind, 0);
				break;
			}

			case 'answerRequest':
			case 'submitClaim':
			case 'recordOutcome': {
				break;
			}
		}
	}

	function openStream(entryIndex: number, action: Extract<EntryAction, {kind: 'openStream'}>): void {
		const {streamId, requestId, attempt, mode, server} = action;
		const agentIndex = Number(server.name.slice(1));
		streams.set(streamId, {requestId, entryIndex, agentIndex});
		submittedAttemptCount += mode.kind === 'submit' ? 1 : 0;
		if (agents[agentIndex]?.hasCrashed === true) {
			// A crashed server refuses the connection; the entry learns of this after one network delay.
			schedule(now + drawDelayMs(entryIndex, agentIndex), () => {
				stepEntry(entryIndex, {
					kind: 'streamBroken', requestId, streamId, wasSent: mode.kind === 'resume',
				});
			});
			return;
		}

		sendToAgent(entryIndex, server, mode.kind === 'submit'
			? {kind: 'submitArrived', streamId, attempt}
			: {
				kind: 'resumeArrived', streamId, attemptId: attempt.attemptId, permit: attempt.permit, nextOffset: mode.nextOffset,
			});
	}

	function probeAgent(entryIndex: number, agentIndex: number): void {
		const node = agents[agentIndex];
		if (node === undefined) {
			return;
		}

		schedule(now + (2 * drawDelayMs(entryIndex, agentIndex)), () => {
			stepEntry(entryIndex, node.hasCrashed
				? {kind: 'probeFailed', server: node.server.name}
				: {kind: 'statusReceived', status: node.agent.getStatus(now)});
		});
	}

	function performAgentAction(agentIndex: number, node: SimulatedAgent, action: AgentAction): void {
		switch (action.kind) {
			case 'sendMessage': {
				const stream = streams.get(action.streamId);
				if (stream !== undefined) {
					const {requestId, entryIndex} = stream;
					scheduleOrderedDelivery(`${agentIndex} to ${entryIndex}`, drawDelayMs(entryIndex, agentIndex), () => {
						stepEntry(entryIndex, {
							kind: 'messageReceived', requestId, streamId: action.streamId, message: action.message,
						});
					});
				}

				break;
			}

			case 'startWork': {
				startWork(agentIndex, node, action);
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

	function startWork(agentIndex: number, node: SimulatedAgent, {attempt, priority}: Extract<AgentAction, {kind: 'startWork'}>): void {
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
		if (!node.isEngineRunning) {
			runEngineStep(agentIndex, node);
		}
	}

	function runEngineStep(agentIndex: number, node: SimulatedAgent): void {
		const step = node.engine.runStep();
		node.isEngineRunning = step !== undefined;
		if (step === undefined) {
			return;
		}

		schedule(now + step.durationMs, () => {
			if (!node.hasCrashed) {
				completeEngineStep(agentIndex, step);
				runEngineStep(agentIndex, node);
			}
		});
	}

	function completeEngineStep(agentIndex: number, step: EngineStep): void {
		prefilledTokens += step.prefilledTokens;
		for (const {attemptId, isLast} of step.generated) {
			stepAgent(agentIndex, {kind: 'tokensGenerated', attemptId, tokens: ['t']});
			if (isLast) {
				stepAgent(agentIndex, {kind: 'promptCompleted', attemptId, finishReason: 'stop'});
			}
		}
	}

	/** Sends the engine's report to its agent, and schedules the next one while prompts are open. */
	function reportEngineState(agentIndex: number, node: SimulatedAgent): void {
		const isReportOutage = now >= faults.reportOutageFrom && now < faults.reportOutageUntil;
		const held: ReadonlyArray<Readonly<{attemptId: AttemptId; tokens: number}>> = node.engine.getHeldMemory();
		if (!isReportOutage && !node.hasCrashed) {
			schedule(now + faults.reportDelayMs, () => {
				stepAgent(agentIndex, {
					kind: 'engineReported', report: {
						totalMemoryTokens: defaultEngineModelSettings.memoryTokens,
						prefillTokensPerSecond: node.engine.getPrefillTokensPerSecond(),
						held,
					},
				});
			});
		}

		if (openPromptCount > 0) {
			schedule(now + reportIntervalMs, () => {
				reportEngineState(agentIndex, node);
			});
		}
	}

	function recordDelivery(requestId: string): void {
		const outcome = outcomes.get(requestId);
		if (outcome === undefined) {
			return;
		}

		const at = now + deployment.callerDelayMs;
		if (outcome.firstTokenMs === undefined) {
			outcome.firstTokenMs = at - outcome.prompt.sentAt;
		} else {
			outcome.gapsMs.push(at - outcome.lastTokenAt);
		}

		outcome.lastTokenAt = at;
	}

	function recordResult(requestId: string, result: PromptOutcome['result'], attemptCount: number): void {
		const outcome = outcomes.get(requestId);
		if (outcome === undefined) {
			return;
		}

		outcome.result = result;
		outcome.attemptCount = attemptCount;
		outcome.totalMs = now + deployment.callerDelayMs - outcome.prompt.sentAt;
		openPromptCount -= 1;
	}

	function hasOpenPrompts(): boolean {
		return openPromptCount > 0;
	}

	function submitPrompt(prompt: WorkloadPrompt): void {
		outcomes.set(prompt.requestId, {
			prompt, firstTokenMs: undefined, totalMs: undefined, gapsMs: [], lastTokenAt: 0, result: 'open', attemptCount: 0,
		});
		stepEntry(prompt.entryIndex, {
			kind: 'requestArrived',
			request: {
				requestId: prompt.requestId,
				keySha256: getOrganisationKeyHash(prompt.organisationIndex),
				route: 'base',
				deadlineMs: prompt.deadlineMs,
				ageMs: 0,
				work: prompt.work,
			},
		});
	}

	for (const index of entries.keys()) {
		stepEntry(index, {kind: 'hostListRead', listings: agents.map(({server}) => ({server, isLeaving: false})), entryCount: entries.length});
	}

	for (const [index, node] of agents.entries()) {
		reportEngineState(index, node);
	}

	for (const {index, at} of faults.serverCrashes) {
		const node = agents[index];
		if (node !== undefined) {
			schedule(at, () => {
				node.hasCrashed = true;
			});
		}
	}

	for (const prompt of prompts) {
		schedule(prompt.sentAt + deployment.callerDelayMs, () => {
			submitPrompt(prompt);
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
		submittedAttemptCount,
	};
}
