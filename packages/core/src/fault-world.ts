/**
A few entries and agents in virtual time, joined by a network and an object API that fail as they are told.

This is scaffolding for tests of failures, and no model of a fleet: servers answer after a fixed time. What it keeps are
facts that no process of the system knows by itself: which attempts were started, and how often each action ran.
*/
import type {AgentAction, AgentEvent} from './agent-types.js';
import {createAgent, defaultAgentSettings, type Agent} from './agent.js';
import {createClaims, type Claim, type ClaimRecord} from './claims.js';
import type {EntryAction, EntryEvent, StreamMode} from './entry-types.js';
import {createEntry, defaultEntrySettings, type Entry} from './entry.js';
import {
	defaultWorldSettings, type Fault, type RequestFacts, type Scenario, type ScriptedRequest, type WorldFacts, type WorldSettings,
} from './fault-scenario.js';
import {
	createFixtureCall, createFixtureConfiguration, createFixtureListings, createFixturePrompt, createFixtureRequest, createFixtureServer,
} from './fixtures.js';
import {createJobQueue} from './job-queue.js';
import {
	createReplicatedLog, type ReplicatedLog, type LogAction, type LogEntry,
} from './replicated-log.js';
import {createRandom} from './random.js';
import {defaultRoutingPolicy} from './routing.js';
import type {
	Attempt, AttemptId, RequestId, Timestamp,
} from './types.js';

type Process = {
	generation: number;
	pausedUntil: Timestamp;
	pausedMs: number;
	downUntil: Timestamp;
};

type EntryProcess = Process & {entry: Entry; log: ReplicatedLog<ClaimRecord, Claim | undefined>; readonly wakeAts: Set<Timestamp>};
type AgentProcess = Process & {agent: Agent; readonly name: string; engineGeneration: number; readonly wakeAts: Set<Timestamp>};

type Stream = {
	readonly streamId: string;
	readonly requestId: RequestId;
	readonly entry: number;
	readonly entryGeneration: number;
	readonly agent: number;
	readonly agentGeneration: number;
	isSilent: boolean;
	isClosed: boolean;
};

type RequestState = {
	readonly request: ScriptedRequest;
	readonly requestId: RequestId;
	readonly entryGeneration: number;
	final: EntryAction | undefined;
	finalAt: Timestamp | undefined;
	finalCount: number;
	readonly delivered: string[];
};

const networkDelayMs = 3;
const objectApiDelayMs = 4;
const serviceTimeMs = 20;
const firstTokenMs = 30;
const tokenIntervalMs = 10;
const answerLength = 6;

/** Time after the last deadline in which what is left over must have been cleaned up. */
const settleMs = 100_000;

/** Returns the tokens of a whole answer. */
export function getWorldAnswer(requestId: RequestId): readonly string[] {
	return Array.from({length: answerLength}, (_, index) => `${requestId}:${index}`);
}

function getProcess<Kind>(processes: readonly Kind[], index: number): Kind {
	const found = processes[index % processes.length];
	if (found === undefined) {
		throw new Error('the world has no such process');
	}

	return found;
}

/** Runs a scenario to its end. */
export function runScenario(scenario: Scenario, settings: WorldSettings = defaultWorldSettings): WorldFacts {
	const random = createRandom(scenario.seed);
	const models = Array.from({length: settings.modelCount}, (_, index) => createFixtureServer(`m${index}`, 'models'));
	const shops = Array.from({length: settings.shopCount}, (_, index) => createFixtureServer(`s${index}`, 'shops'));
	const servers = [...models, ...shops];
	const objects = new Map<string, LogEntry<ClaimRecord>>();
	const streams = new Map<string, Stream>();
	const states = new Map<RequestId, RequestState>();
	const started = new Set<AttemptId>();
	const runs = new Map<string, number>();
	const jobs = createJobQueue();
	let now: Timestamp = 0;
	let apiDownUntil: Timestamp = 0;
	let lostWriteAnswers = 0;
	let lostServiceAnswers = 0;
	let delayedSubmits = {count: 0, delayMs: 0, isRepeated: false};
	let partedLinks: ReadonlyArray<Readonly<{entry: number; agent: number; until: Timestamp}>> = [];
	let attemptCount = 0;

	function schedule(delayMs: number, run: () => void): void {
		jobs.add(now + delayMs, run);
	}

	function getDelay(baseMs: number): number {
		return baseMs + random.getInteger(baseMs);
	}

	/** Lets a process do something after a delay, unless it dies, and not before it wakes from a pause. */
	function scheduleIn(process: Process, delayMs: number, run: () => void): void {
		const {generation} = process;
		const runWhenAwake = (): void => {
			if (process.generation !== generation) {
				return;
			}

			if (process.pausedUntil > now) {
				schedule(process.pausedUntil - now, runWhenAwake);
				return;
			}

			run();
		};

		schedule(delayMs, runWhenAwake);
	}

	function createWorldEntry(index: number, generation: number): Pick<EntryProcess, 'entry' | 'log'> {
		const claims = createClaims();
		const entry = createEntry({...defaultEntrySettings, entryName: `e${index}`, dataCentre: 'a'}, {
			configuration: createFixtureConfiguration(), random, policy: defaultRoutingPolicy, getHash: text => text.length,
		});
		entry.step({kind: 'hostListRead', listings: createFixtureListings(servers), entryCount: 1}, now);
		const log = createReplicatedLog<ClaimRecord, Claim | undefined>({
			writer: `e${index}.${generation}`, minimumCreateIntervalMs: 10, retryDelayMs: 50, maximumBatchRecords: 50,
		}, record => claims.applyRecord(record));
		return {entry, log};
	}

	function createWorldAgent(index: number, generation: number): Agent {
		return createAgent({
			...defaultAgentSettings,
			server: servers[index]?.name ?? '',
			incarnation: `i${generation}`,
		});
	}

	const entries: readonly EntryProcess[] = Array.from({length: settings.entryCount}, (_, index) => ({
		...createWorldEntry(index, 0), generation: 0, pausedUntil: 0, pausedMs: 0, downUntil: 0, wakeAts: new Set(),
	}));
	const agents: readonly AgentProcess[] = servers.map((server, index) => ({
		agent: createWorldAgent(index, 0), name: server.name, generation: 0, engineGeneration: 0, pausedUntil: 0, pausedMs: 0, downUntil: 0,
		wakeAts: new Set(),
	}));

	function getEntry(index: number): EntryProcess {
		return getProcess(entries, index);
	}

	function getAgent(index: number): AgentProcess {
		return getProcess(agents, index);
	}

	function isParted(entry: number, agent: number): boolean {
		return partedLinks.some(link => link.entry === entry && link.agent === agent && link.until > now);
	}

	function stepEntry(index: number, event: EntryEvent): void {
		const process = getEntry(index);
		for (const action of process.entry.step(event, now)) {
			performEntryAction(index, action);
		}

		wake(process, process.entry.tryGetWakeAt(), () => {
			stepEntry(index, {kind: 'timePassed'});
		});
	}

	function stepLog(index: number, event: Parameters<EntryProcess['log']['step']>[0]): void {
		const process = getEntry(index);
		for (const action of process.log.step(event, now)) {
			performLogAction(index, action);
		}

		wake(process, process.log.tryGetWakeAt(), () => {
			stepLog(index, {kind: 'timePassed'});
		});
	}

	function stepAgent(index: number, event: AgentEvent): void {
		const process = getAgent(index);
		for (const action of process.agent.step(event, now)) {
			performAgentAction(index, action);
		}

		const wakeAt = process.agent.getWakeAt();
		wake(process, Number.isFinite(wakeAt) ? wakeAt : undefined, () => {
			stepAgent(index, {kind: 'timePassed'});
		});
	}

	function wake(process: EntryProcess | AgentProcess, wakeAt: Timestamp | undefined, run: () => void): void {
		if (wakeAt === undefined || process.wakeAts.has(wakeAt)) {
			return;
		}

		process.wakeAts.add(wakeAt);
		scheduleIn(process, Math.max(1, wakeAt - now), () => {
			process.wakeAts.delete(wakeAt);
			run();
		});
	}

	function performEntryAction(index: number, action: EntryAction): void {
		switch (action.kind) {
			case 'openStream': {
				openStream(index, action);
				return;
			}

			case 'closeStream': {
				closeStream(action.streamId);
				return;
			}

			case 'cancelAttempt': {
				const agent = servers.findIndex(server => server.name === action.server.name);
				sendToAgent(index, agent, {kind: 'cancelArrived', attemptId: action.attemptId});
				return;
			}

			case 'probeServer': {
				probe(index, servers.findIndex(server => server.name === action.server.name));
				return;
			}

			case 'submitClaim': {
				stepLog(index, {
					kind: 'submitted', submissionId: action.requestId, record: action.record, expiresAt: now + action.budgetMs,
				});
				return;
			}

			case 'recordOutcome': {
				stepLog(index, {
					kind: 'submitted', submissionId: `outcome ${now}`, record: action.record, expiresAt: now + 30_000,
				});
				return;
			}

			case 'deliverTokens': {
				states.get(action.requestId)?.delivered.push(...action.tokens);
				return;
			}

			case 'completeRequest':
			case 'answerRequest':
			case 'failRequest': {
				recordFinal(action.requestId, action);
			}
		}
	}

	function recordFinal(requestId: RequestId, action: EntryAction): void {
		const state = states.get(requestId);
		if (state === undefined) {
			return;
		}

		state.final = action;
		state.finalAt = now;
		state.finalCount += 1;
	}

	function sendToAgent(entry: number, agent: number, event: AgentEvent): void {
		if (isParted(entry, agent)) {
			return;
		}

		const process = getAgent(agent);
		if (process.downUntil <= now) {
			scheduleIn(process, getDelay(networkDelayMs), () => {
				stepAgent(agent, event);
			});
		}
	}

	function probe(entry: number, agent: number): void {
		const entryProcess = getEntry(entry);
		const agentProcess = getAgent(agent);
		let isAnswered = false;
		if (!isParted(entry, agent) && agentProcess.downUntil <= now) {
			scheduleIn(agentProcess, getDelay(networkDelayMs), () => {
				const status = agentProcess.agent.getStatus(now);
				scheduleIn(entryProcess, getDelay(networkDelayMs), () => {
					isAnswered = true;
					stepEntry(entry, {kind: 'statusReceived', status});
				});
			});
		}

		scheduleIn(entryProcess, 1000, () => {
			if (!isAnswered) {
				stepEntry(entry, {kind: 'probeFailed', server: agentProcess.name});
			}
		});
	}

	function openStream(entry: number, action: Extract<EntryAction, {kind: 'openStream'}>): void {
		const agent = servers.findIndex(server => server.name === action.server.name);
		const agentProcess = getAgent(agent);
		const entryProcess = getEntry(entry);
		const stream: Stream = {
			streamId: `${entry}.${entryProcess.generation}/${action.streamId}`,
			requestId: action.requestId,
			entry,
			entryGeneration: entryProcess.generation,
			agent,
			agentGeneration: agentProcess.generation,
			isSilent: isParted(entry, agent),
			isClosed: false,
		};
		streams.set(action.streamId, stream);
		attemptCount += action.mode.kind === 'submit' ? 1 : 0;
		if (agentProcess.downUntil > now) {
			breakStream(action.streamId, stream, false);
			return;
		}

		if (!stream.isSilent) {
			deliverRequest(action.streamId, stream, action.attempt, action.mode);
		}
	}

	function deliverRequest(streamId: string, stream: Stream, attempt: Attempt, mode: StreamMode): void {
		const event: AgentEvent = mode.kind === 'submit'
			? {kind: 'submitArrived', streamId, attempt}
			: {
				kind: 'resumeArrived', streamId, attemptId: attempt.attemptId, permit: attempt.permit, nextOffset: mode.nextOffset,
			};
		const isDelayed = mode.kind === 'submit' && delayedSubmits.count > 0;
		if (isDelayed) {
			delayedSubmits = {...delayedSubmits, count: delayedSubmits.count - 1};
			// A copy on its way reaches whichever incarnation is there when it comes.
			schedule(delayedSubmits.delayMs, () => {
				stepAgent(stream.agent, {kind: 'submitArrived', streamId: `${streamId} late`, attempt});
			});
		}

		if (!isDelayed || delayedSubmits.isRepeated) {
			scheduleIn(getAgent(stream.agent), getDelay(networkDelayMs), () => {
				stepAgent(stream.agent, event);
			});
		}
	}

	function closeStream(streamId: string): void {
		const stream = streams.get(streamId);
		if (stream === undefined || stream.isClosed) {
			return;
		}

		stream.isClosed = true;
		if (!stream.isSilent) {
			sendToAgent(stream.entry, stream.agent, {kind: 'streamClosed', streamId});
		}
	}

	function breakStream(streamId: string, stream: Stream, wasSent: boolean): void {
		const process = getEntry(stream.entry);
		if (process.generation !== stream.entryGeneration) {
			return;
		}

		scheduleIn(process, getDelay(networkDelayMs), () => {
			stepEntry(stream.entry, {
				kind: 'streamBroken', requestId: stream.requestId, streamId, wasSent,
			});
		});
	}

	function performAgentAction(index: number, action: AgentAction): void {
		switch (action.kind) {
			case 'sendMessage': {
				const stream = streams.get(action.streamId);
				if (stream === undefined || stream.isClosed || stream.isSilent || isParted(stream.entry, index)) {
					return;
				}

				const process = getEntry(stream.entry);
				if (process.generation === stream.entryGeneration) {
					// One connection keeps its order.
					scheduleIn(process, networkDelayMs, () => {
						stepEntry(stream.entry, {
							kind: 'messageReceived', requestId: stream.requestId, streamId: action.streamId, message: action.message,
						});
					});
				}

				return;
			}

			case 'endStream': {
				const stream = streams.get(action.streamId);
				if (stream !== undefined && !stream.isSilent) {
					breakStream(action.streamId, stream, true);
				}

				return;
			}

			case 'startWork': {
				startWork(index, action.attempt, action.remainingMs);
				break;
			}

			case 'replyState':
			case 'cancelWork':
			case 'releaseMemory': {
				// The servers of this world stop by themselves.
				break;
			}
		}
	}

	function startWork(index: number, attempt: Attempt, remainingMs: number): void {
		const deadlineAt = now + remainingMs;
		if (attempt.work.kind === 'prompt') {
			started.add(attempt.attemptId);
			runPrompt(index, attempt);
			return;
		}

		const {idempotencyKey} = attempt.work;
		// A pause may fall between the start and the call itself.
		scheduleIn(getAgent(index), 1, () => {
			callService(index, attempt.attemptId, idempotencyKey, deadlineAt);
		});
	}

	function callService(index: number, attemptId: AttemptId, idempotencyKey: string | undefined, deadlineAt: Timestamp): void {
		if (now >= deadlineAt) {
			stepAgent(index, {
				kind: 'workFailed', attemptId, ran: 'no', detail: 'paused past the deadline',
			});
			return;
		}

		started.add(attemptId);
		const key = idempotencyKey ?? 'lookup';
		runs.set(key, (runs.get(key) ?? 0) + 1);
		const isLost = lostServiceAnswers > 0;
		lostServiceAnswers -= isLost ? 1 : 0;
		scheduleIn(getAgent(index), serviceTimeMs, () => {
			stepAgent(index, isLost
				? {
					kind: 'workFailed', attemptId, ran: 'unknown', detail: 'no answer',
				}
				: {kind: 'serviceAnswered', attemptId, answer: {status: 201, contentType: 'text/plain', body: key}});
		});
	}

	function runPrompt(index: number, attempt: Attempt): void {
		const process = getAgent(index);
		const {engineGeneration} = process;
		const [requestId = ''] = attempt.attemptId.split('.');
		const tokens = getWorldAnswer(requestId).slice(attempt.deliveredTokens.length);
		for (const [offset, token] of tokens.entries()) {
			scheduleIn(process, firstTokenMs + (offset * tokenIntervalMs), () => {
				if (process.engineGeneration === engineGeneration) {
					stepAgent(index, {kind: 'tokensGenerated', attemptId: attempt.attemptId, tokens: [token]});
				}
			});
		}

		scheduleIn(process, firstTokenMs + (tokens.length * tokenIntervalMs), () => {
			stepAgent(index, process.engineGeneration === engineGeneration
				? {kind: 'promptCompleted', attemptId: attempt.attemptId, finishReason: 'stop'}
				: {
					kind: 'workFailed', attemptId: attempt.attemptId, ran: 'yes', detail: 'the engine died',
				});
		});
	}

	function performLogAction(index: number, action: LogAction<ClaimRecord, Claim | undefined>): void {
		const process = getEntry(index);
		switch (action.kind) {
			case 'createEntry': {
				createObject(index, action.entry);
				return;
			}

			case 'readEntries': {
				scheduleIn(process, getDelay(objectApiDelayMs), () => {
					if (apiDownUntil > now) {
						stepLog(index, {kind: 'readFailed'});
						return;
					}

					const found = [...objects.values()].filter(entry => entry.sequence > action.after);
					stepLog(index, {kind: 'entriesRead', entries: found});
				});
				return;
			}

			case 'effectKnown': {
				stepEntry(index, {kind: 'claimKnown', requestId: action.submissionId, claim: action.effect});
				return;
			}

			case 'submissionExpired': {
				stepEntry(index, {kind: 'claimExpired', requestId: action.submissionId});
			}
		}
	}

	function createObject(index: number, entry: LogEntry<ClaimRecord>): void {
		const process = getEntry(index);
		// The write arrives even if its writer is paused or dies meanwhile.
		schedule(getDelay(objectApiDelayMs), () => {
			const isDown = apiDownUntil > now;
			const key = String(entry.sequence);
			const exists = objects.has(key);
			if (!isDown && !exists) {
				objects.set(key, entry);
			}

			const isLost = isDown || (!exists && lostWriteAnswers > 0);
			lostWriteAnswers -= isLost && !isDown ? 1 : 0;
			const outcome = isLost ? 'unknown' : (exists ? 'exists' : 'created');
			scheduleIn(process, getDelay(objectApiDelayMs), () => {
				stepLog(index, {kind: 'createAnswered', sequence: entry.sequence, outcome});
			});
		});
	}

	function killEntry(index: number): void {
		const process = getEntry(index);
		process.generation += 1;
		process.pausedUntil = 0;
		process.wakeAts.clear();
		for (const [streamId, stream] of streams) {
			if (stream.entry === index % entries.length && !stream.isClosed) {
				closeStream(streamId);
			}
		}

		Object.assign(process, createWorldEntry(index % entries.length, process.generation));
	}

	function killAgent(index: number, downMs: number): void {
		const process = getAgent(index);
		const agentIndex = index % agents.length;
		process.generation += 1;
		process.pausedUntil = 0;
		process.downUntil = now + downMs;
		process.wakeAts.clear();
		process.agent = createWorldAgent(agentIndex, process.generation);
		for (const [streamId, stream] of streams) {
			if (stream.agent === agentIndex && !stream.isClosed && !stream.isSilent && stream.agentGeneration < process.generation) {
				stream.isClosed = true;
				breakStream(streamId, stream, true);
			}
		}
	}

	function pause(process: Process, forMs: number): void {
		process.pausedUntil = Math.max(process.pausedUntil, now + forMs);
		process.pausedMs += forMs;
	}

	function applyFault(fault: Fault): void {
		switch (fault.kind) {
			case 'killEntry': {
				killEntry(fault.index);
				return;
			}

			case 'killAgent': {
				killAgent(fault.index, fault.downMs);
				return;
			}

			case 'pauseEntry': {
				pause(getEntry(fault.index), fault.forMs);
				return;
			}

			case 'pauseAgent': {
				pause(getAgent(fault.index), fault.forMs);
				return;
			}

			case 'silenceConnections': {
				for (const stream of streams.values()) {
					const isBetween = stream.entry === fault.entry % entries.length && stream.agent === fault.agent % agents.length;
					stream.isSilent ||= isBetween;
				}

				return;
			}

			case 'partLink': {
				const link = {entry: fault.entry % entries.length, agent: fault.agent % agents.length, until: now + fault.forMs};
				partedLinks = [...partedLinks, link];
				return;
			}

			case 'stopObjectApi': {
				apiDownUntil = Math.max(apiDownUntil, now + fault.forMs);
				return;
			}

			case 'loseWriteAnswers': {
				lostWriteAnswers += fault.count;
				return;
			}

			case 'loseServiceAnswers': {
				lostServiceAnswers += fault.count;
				return;
			}

			case 'killEngines': {
				getAgent(fault.index).engineGeneration += 1;
				return;
			}

			case 'delaySubmits': {
				const {count, delayMs, isRepeated} = fault;
				delayedSubmits = {count, delayMs, isRepeated};
			}
		}
	}

	function createWork(request: ScriptedRequest) {
		switch (request.kind) {
			case 'prompt': {
				return createFixturePrompt(request.promptTokens);
			}

			case 'lookup': {
				return createFixtureCall(undefined);
			}

			case 'action': {
				return createFixtureCall(request.key);
			}
		}
	}

	function startRequest(request: ScriptedRequest, index: number): void {
		const entryIndex = request.entry % entries.length;
		const requestId = `r${index}`;
		const process = getEntry(entryIndex);
		states.set(requestId, {
			request, requestId, entryGeneration: process.generation, final: undefined, finalAt: undefined, finalCount: 0, delivered: [],
		});
		scheduleIn(process, 0, () => {
			stepEntry(entryIndex, {kind: 'requestArrived', request: createFixtureRequest(requestId, createWork(request), request.deadlineMs)});
		});
	}

	function runJobs(): void {
		const endAt = Math.max(0, ...scenario.requests.map(request => request.at + request.deadlineMs)) + settleMs;
		for (let job = jobs.tryTake(); job !== undefined && job.at <= endAt; job = jobs.tryTake()) {
			now = Math.max(now, job.at);
			job.run();
		}
	}

	function getFacts(state: RequestState): RequestFacts {
		const process = getEntry(state.request.entry);
		const {
			request, requestId, final, finalAt, finalCount, delivered,
		} = state;
		return {
			request,
			requestId,
			final,
			finalAt,
			finalCount,
			delivered,
			isEntryLost: process.generation !== state.entryGeneration && final === undefined,
			pausedMs: process.pausedMs,
			wasStarted: [...started].some(attemptId => attemptId.startsWith(`${requestId}.`)),
		};
	}

	for (const fault of scenario.faults) {
		schedule(fault.at, () => {
			applyFault(fault);
		});
	}

	for (const [index, request] of scenario.requests.entries()) {
		schedule(request.at, () => {
			startRequest(request, index);
		});
	}

	runJobs();
	return {
		requests: [...states.values()].map(state => getFacts(state)),
		runs,
		reservedOwners: agents.flatMap(process => process.agent.getReservedOwners()),
		attemptCount,
		tombstoneCount: agents.reduce((sum, process) => sum + process.agent.getTombstoneCount(), 0),
	};
}
