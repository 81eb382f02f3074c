/**
Simulates entries and agents in virtual time, with a network and an object API into which faults are injected.

It is made for fault tests and doesn't model performance: servers answer after a fixed time. It records facts that no
single process of the system knows, such as which attempts were started and how often each non-idempotent call ran.
*/
import type {AgentAction, AgentEvent} from './agent-types.js';
import {createAgent, defaultAgentSettings, type Agent} from './agent.js';
import {createClaims, type Claim, type ClaimRecord} from './claims.js';
import type {EntryAction, EntryEvent, StreamMode} from './entry-types.js';
import {createEntry, defaultEntrySettings, type Entry} from './entry.js';
import {
	defaultSimulationSettings, type Fault, type RequestResult, type Scenario, type ScriptedRequest, type ScenarioResult, type SimulationSettings,
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

type SimulatedProcess = {
	/** Incremented when the process is killed; callbacks of earlier generations are dropped. */
	generation: number;
	pausedUntil: Timestamp;
	pausedMs: number;
	downUntil: Timestamp;
};

type SimulatedEntry = SimulatedProcess & {entry: Entry; log: ReplicatedLog<ClaimRecord, Claim | undefined>; readonly wakeAts: Set<Timestamp>};
type SimulatedAgent = SimulatedProcess & {agent: Agent; readonly name: string; engineGeneration: number; readonly wakeAts: Set<Timestamp>};

type SimulatedStream = {
	readonly streamId: string;
	readonly requestId: RequestId;
	readonly entry: number;
	readonly entryGeneration: number;
	readonly agent: number;
	readonly agentGeneration: number;
	/** Whether messages are lost although the connection stays open. */
	isBlackholed: boolean;
	isClosed: boolean;
};

type RequestState = {
	readonly request: ScriptedRequest;
	readonly requestId: RequestId;
	readonly entryGeneration: number;
	finalAction: EntryAction | undefined;
	finalActionAt: Timestamp | undefined;
	finalActionCount: number;
	readonly deliveredTokens: string[];
};

const networkDelayMs = 3;
const objectApiDelayMs = 4;
const serviceTimeMs = 20;
const firstTokenMs = 30;
const tokenIntervalMs = 10;
const answerLength = 6;

/** Time after the last deadline within which agents must have released all memory. */
const settleMs = 100_000;

/** Returns all tokens of the simulated answer to a request. */
export function getExpectedAnswer(requestId: RequestId): readonly string[] {
	return Array.from({length: answerLength}, (_, index) => `${requestId}:${index}`);
}

/** Returns the process at the index, modulo the number of processes. */
function getProcess<Item>(processes: readonly Item[], index: number): Item {
	const item = processes[index % processes.length];
	if (item === undefined) {
		throw new Error('there is no process to choose from');
	}

	return item;
}

/** Runs a scenario to its end and returns the results. */
export function runScenario(scenario: Scenario, settings: SimulationSettings = defaultSimulationSettings): ScenarioResult {
	const random = createRandom(scenario.seed);
	const models = Array.from({length: settings.modelCount}, (_, index) => createFixtureServer(`m${index}`, 'models'));
	const shops = Array.from({length: settings.shopCount}, (_, index) => createFixtureServer(`s${index}`, 'shops'));
	const servers = [...models, ...shops];
	const objects = new Map<string, LogEntry<ClaimRecord>>();
	const streams = new Map<string, SimulatedStream>();
	const requestStates = new Map<RequestId, RequestState>();
	const startedAttemptIds = new Set<AttemptId>();
	const runCounts = new Map<string, number>();
	const jobs = createJobQueue();
	let now: Timestamp = 0;
	let apiDownUntil: Timestamp = 0;
	let writeResponsesToLose = 0;
	let appliedWritesToRefuse = 0;
	let serviceResponsesToLose = 0;
	let serviceCallsToRefuse = 0;
	let delayedSubmits = {count: 0, delayMs: 0, isDuplicated: false};
	let partitionedLinks: ReadonlyArray<Readonly<{entry: number; agent: number; until: Timestamp}>> = [];
	let attemptCount = 0;

	function schedule(delayMs: number, run: () => void): void {
		jobs.add(now + delayMs, run);
	}

	/** Returns a random delay between `baseMs` and twice that. */
	function drawDelayMs(baseMs: number): number {
		return baseMs + random.getInteger(baseMs);
	}

	/** Schedules a callback in a process: it is dropped if the process is killed, and deferred while the process is paused. */
	function scheduleIn(process: SimulatedProcess, delayMs: number, run: () => void): void {
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

	function createSimulatedEntry(index: number, generation: number): Pick<SimulatedEntry, 'entry' | 'log'> {
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

	function createSimulatedAgent(index: number, generation: number): Agent {
		return createAgent({
			...defaultAgentSettings,
			server: servers[index]?.name ?? '',
			incarnation: `i${generation}`,
		});
	}

	const entries: readonly SimulatedEntry[] = Array.from({length: settings.entryCount}, (_, index) => ({
		...createSimulatedEntry(index, 0), generation: 0, pausedUntil: 0, pausedMs: 0, downUntil: 0, wakeAts: new Set(),
	}));
	const agents: readonly SimulatedAgent[] = servers.map((server, index) => ({
		agent: createSimulatedAgent(index, 0), name: server.name, generation: 0, engineGeneration: 0, pausedUntil: 0, pausedMs: 0, downUntil: 0,
		wakeAts: new Set(),
	}));

	function getEntry(index: number): SimulatedEntry {
		return getProcess(entries, index);
	}

	function getAgent(index: number): SimulatedAgent {
		return getProcess(agents, index);
	}

	function isPartitioned(entry: number, agent: number): boolean {
		return partitionedLinks.some(link => link.entry === entry && link.agent === agent && link.until > now);
	}

	function stepEntry(index: number, event: EntryEvent): void {
		const process = getEntry(index);
		for (const action of process.entry.step(event, now)) {
			performEntryAction(index, action);
		}

		scheduleWakeUp(process, process.entry.tryGetWakeAt(), () => {
			stepEntry(index, {kind: 'timePassed'});
		});
	}

	function stepLog(index: number, event: Parameters<SimulatedEntry['log']['step']>[0]): void {
		const process = getEntry(index);
		for (const action of process.log.step(event, now)) {
			performLogAction(index, action);
		}

		scheduleWakeUp(process, process.log.tryGetWakeAt(), () => {
			stepLog(index, {kind: 'timePassed'});
		});
	}

	function stepAgent(index: number, event: AgentEvent): void {
		const process = getAgent(index);
		for (const action of process.agent.step(event, now)) {
			performAgentAction(index, action);
		}

		const wakeAt = process.agent.getWakeAt();
		scheduleWakeUp(process, Number.isFinite(wakeAt) ? wakeAt : undefined, () => {
			stepAgent(index, {kind: 'timePassed'});
		});
	}

	/** Schedules a callback for the time at which a process asks to be woken, unless one is already scheduled for that time. */
	function scheduleWakeUp(process: SimulatedEntry | SimulatedAgent, wakeAt: Timestamp | undefined, run: () => void): void {
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
				requestStates.get(action.requestId)?.deliveredTokens.push(...action.tokens);
				return;
			}

			case 'completeRequest':
			case 'answerRequest':
			case 'failRequest': {
				recordFinalAction(action.requestId, action);
			}
		}
	}

	function recordFinalAction(requestId: RequestId, action: EntryAction): void {
		const state = requestStates.get(requestId);
		if (state === undefined) {
			return;
		}

		state.finalAction = action;
		state.finalActionAt = now;
		state.finalActionCount += 1;
	}

	function sendToAgent(entry: number, agent: number, event: AgentEvent): void {
		if (isPartitioned(entry, agent)) {
			return;
		}

		const process = getAgent(agent);
		if (process.downUntil <= now) {
			scheduleIn(process, drawDelayMs(networkDelayMs), () => {
				stepAgent(agent, event);
			});
		}
	}

	function probe(entry: number, agent: number): void {
		const entryProcess = getEntry(entry);
		const agentProcess = getAgent(agent);
		let isAnswered = false;
		if (!isPartitioned(entry, agent) && agentProcess.downUntil <= now) {
			scheduleIn(agentProcess, drawDelayMs(networkDelayMs), () => {
				const status = agentProcess.agent.getStatus(now);
				scheduleIn(entryProcess, drawDelayMs(networkDelayMs), () => {
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
		const stream: SimulatedStream = {
			streamId: `${entry}.${entryProcess.generation}/${action.streamId}`,
			requestId: action.requestId,
			entry,
			entryGeneration: entryProcess.generation,
			agent,
			agentGeneration: agentProcess.generation,
			isBlackholed: isPartitioned(entry, agent),
			isClosed: false,
		};
		streams.set(action.streamId, stream);
		attemptCount += action.mode.kind === 'submit' ? 1 : 0;
		if (agentProcess.downUntil > now) {
			breakStream(action.streamId, stream, false);
			return;
		}

		if (!stream.isBlackholed) {
			deliverSubmitOrResume(action.streamId, stream, action.attempt, action.mode);
		}
	}

	/** Delivers the submit or resume that opens a stream to its agent, subject to `delaySubmits` faults. */
	function deliverSubmitOrResume(streamId: string, stream: SimulatedStream, attempt: Attempt, mode: StreamMode): void {
		const event: AgentEvent = mode.kind === 'submit'
			? {kind: 'submitArrived', streamId, attempt}
			: {
				kind: 'resumeArrived', streamId, attemptId: attempt.attemptId, permit: attempt.permit, nextOffset: mode.nextOffset,
			};
		const isDelayed = mode.kind === 'submit' && delayedSubmits.count > 0;
		if (isDelayed) {
			delayedSubmits = {...delayedSubmits, count: delayedSubmits.count - 1};
			// A delayed copy reaches whichever incarnation of the agent runs when it arrives.
			schedule(delayedSubmits.delayMs, () => {
				stepAgent(stream.agent, {kind: 'submitArrived', streamId: `${streamId} late`, attempt});
			});
		}

		if (!isDelayed || delayedSubmits.isDuplicated) {
			scheduleIn(getAgent(stream.agent), drawDelayMs(networkDelayMs), () => {
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
		if (!stream.isBlackholed) {
			sendToAgent(stream.entry, stream.agent, {kind: 'streamClosed', streamId});
		}
	}

	function breakStream(streamId: string, stream: SimulatedStream, wasSent: boolean): void {
		const process = getEntry(stream.entry);
		if (process.generation !== stream.entryGeneration) {
			return;
		}

		scheduleIn(process, drawDelayMs(networkDelayMs), () => {
			stepEntry(stream.entry, {
				kind: 'streamBroken', requestId: stream.requestId, streamId, wasSent,
			});
		});
	}

	function performAgentAction(index: number, action: AgentAction): void {
		switch (action.kind) {
			case 'sendMessage': {
				const stream = streams.get(action.streamId);
				if (stream === undefined || stream.isClosed || stream.isBlackholed || isPartitioned(stream.entry, index)) {
					return;
				}

				const process = getEntry(stream.entry);
				if (process.generation === stream.entryGeneration) {
					// The delay is fixed so that the messages of one connection stay in order.
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
				if (stream !== undefined && !stream.isBlackholed) {
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
				// Ignored: simulated servers finish their work and release memory by themselves.
				break;
			}
		}
	}

	function startWork(index: number, attempt: Attempt, remainingMs: number): void {
		const deadlineAt = now + remainingMs;
		if (attempt.work.kind === 'prompt') {
			startedAttemptIds.add(attempt.attemptId);
			runPrompt(index, attempt);
			return;
		}

		const {idempotencyKey} = attempt.work;
		// The agent can be paused between starting the work and calling the service.
		scheduleIn(getAgent(index), 1, () => {
			callService(index, attempt.attemptId, idempotencyKey, deadlineAt);
		});
	}

	function callService(index: number, attemptId: AttemptId, idempotencyKey: string | undefined, deadlineAt: Timestamp): void {
		if (now >= deadlineAt) {
			stepAgent(index, {
				kind: 'workFailed', attemptId, ran: 'no', detail: 'the agent was paused until after the deadline',
			});
			return;
		}

		if (serviceCallsToRefuse > 0) {
			serviceCallsToRefuse -= 1;
			stepAgent(index, {
				kind: 'workFailed', attemptId, ran: 'no', detail: 'the service accepts no connections',
			});
			return;
		}

		startedAttemptIds.add(attemptId);
		const key = idempotencyKey ?? 'lookup';
		runCounts.set(key, (runCounts.get(key) ?? 0) + 1);
		const isLost = serviceResponsesToLose > 0;
		serviceResponsesToLose -= isLost ? 1 : 0;
		scheduleIn(getAgent(index), serviceTimeMs, () => {
			stepAgent(index, isLost
				? {
					kind: 'workFailed', attemptId, ran: 'unknown', detail: 'the response was lost',
				}
				: {kind: 'serviceAnswered', attemptId, answer: {status: 201, contentType: 'text/plain', body: key}});
		});
	}

	function runPrompt(index: number, attempt: Attempt): void {
		const process = getAgent(index);
		const {engineGeneration} = process;
		const [requestId = ''] = attempt.attemptId.split('.');
		const tokens = getExpectedAnswer(requestId).slice(attempt.deliveredTokens.length);
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
					kind: 'workFailed', attemptId: attempt.attemptId, ran: 'yes', detail: 'the engine was killed',
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
				scheduleIn(process, drawDelayMs(objectApiDelayMs), () => {
					if (apiDownUntil > now) {
						stepLog(index, {kind: 'readFailed'});
						return;
					}

					const newEntries = [...objects.values()].filter(entry => entry.sequence > action.after);
					stepLog(index, {kind: 'entriesRead', entries: newEntries});
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
		// The write arrives even if its writer is paused or killed in the meantime.
		schedule(drawDelayMs(objectApiDelayMs), () => {
			const isDown = apiDownUntil > now;
			const key = String(entry.sequence);
			const exists = objects.has(key);
			if (!isDown && !exists) {
				objects.set(key, entry);
			}

			const isLost = isDown || (!exists && writeResponsesToLose > 0);
			writeResponsesToLose -= isLost && !isDown ? 1 : 0;
			const isRefused = !isLost && !exists && appliedWritesToRefuse > 0;
			appliedWritesToRefuse -= isRefused ? 1 : 0;
			const answered = exists ? 'exists' : (isRefused ? 'refused' : 'created');
			const outcome = isLost ? 'unknown' : answered;
			scheduleIn(process, drawDelayMs(objectApiDelayMs), () => {
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

		Object.assign(process, createSimulatedEntry(index % entries.length, process.generation));
	}

	function killAgent(index: number, downMs: number): void {
		const process = getAgent(index);
		const agentIndex = index % agents.length;
		process.generation += 1;
		process.pausedUntil = 0;
		process.downUntil = now + downMs;
		process.wakeAts.clear();
		process.agent = createSimulatedAgent(agentIndex, process.generation);
		for (const [streamId, stream] of streams) {
			if (stream.agent === agentIndex && !stream.isClosed && !stream.isBlackholed && stream.agentGeneration < process.generation) {
				stream.isClosed = true;
				breakStream(streamId, stream, true);
			}
		}
	}

	function pause(process: SimulatedProcess, durationMs: number): void {
		process.pausedUntil = Math.max(process.pausedUntil, now + durationMs);
		process.pausedMs += durationMs;
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
				pause(getEntry(fault.index), fault.durationMs);
				return;
			}

			case 'pauseAgent': {
				pause(getAgent(fault.index), fault.durationMs);
				return;
			}

			case 'blackholeConnections': {
				for (const stream of streams.values()) {
					const isOnLink = stream.entry === fault.entry % entries.length && stream.agent === fault.agent % agents.length;
					stream.isBlackholed ||= isOnLink;
				}

				return;
			}

			case 'partitionLink': {
				const link = {entry: fault.entry % entries.length, agent: fault.agent % agents.length, until: now + fault.durationMs};
				partitionedLinks = [...partitionedLinks, link];
				return;
			}

			case 'stopObjectApi': {
				apiDownUntil = Math.max(apiDownUntil, now + fault.durationMs);
				return;
			}

			case 'loseWriteResponses': {
				writeResponsesToLose += fault.count;
				return;
			}

			case 'refuseAppliedWrites': {
				appliedWritesToRefuse += fault.count;
				return;
			}

			case 'loseServiceResponses': {
				serviceResponsesToLose += fault.count;
				return;
			}

			case 'refuseServiceCalls': {
				serviceCallsToRefuse += fault.count;
				return;
			}

			case 'killEngine': {
				getAgent(fault.index).engineGeneration += 1;
				return;
			}

			case 'delaySubmits': {
				const {count, delayMs, isDuplicated} = fault;
				delayedSubmits = {count, delayMs, isDuplicated};
			}
		}
	}

	function createWork(request: ScriptedRequest) {
		switch (request.kind) {
			case 'prompt': {
				return createFixturePrompt(request.promptTokens);
			}

			case 'idempotentCall': {
				return createFixtureCall(undefined);
			}

			case 'nonIdempotentCall': {
				return createFixtureCall(request.key);
			}
		}
	}

	/** Sends a scripted request to its entry. */
	function startRequest(request: ScriptedRequest, index: number): void {
		const entryIndex = request.entry % entries.length;
		const requestId = `r${index}`;
		const process = getEntry(entryIndex);
		requestStates.set(requestId, {
			request, requestId, entryGeneration: process.generation, finalAction: undefined, finalActionAt: undefined, finalActionCount: 0, deliveredTokens: [],
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

	function getRequestResult(state: RequestState): RequestResult {
		const process = getEntry(state.request.entry);
		const {
			request, requestId, finalAction, finalActionAt, finalActionCount, deliveredTokens,
		} = state;
		return {
			request,
			requestId,
			finalAction,
			finalActionAt,
			finalActionCount,
			deliveredTokens,
			isEntryLost: process.generation !== state.entryGeneration && finalAction === undefined,
			pausedMs: process.pausedMs,
			wasStarted: [...startedAttemptIds].some(attemptId => attemptId.startsWith(`${requestId}.`)),
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
		requests: [...requestStates.values()].map(state => getRequestResult(state)),
		runCounts,
		reservationOwners: agents.flatMap(process => process.agent.getReservationOwners()),
		attemptCount,
		tombstoneCount: agents.reduce((sum, process) => sum + process.agent.getTombstoneCount(), 0),
	};
}
