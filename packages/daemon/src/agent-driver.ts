/**
The driver of an agent: performs the actions of the core's state machine by calls to the local server and messages to the
entries, and passes the results back as events.
*/
import {getErrorText} from '@currantcross/core/error-text';
import type {Agent} from '@currantcross/core/agent';
import type {AgentAction, AgentEvent} from '@currantcross/core/agent-types';
import type {
	Attempt, AttemptId, PromptWork, ServiceWork,
} from '@currantcross/core/types';
import type {BusinessServiceClient} from '@currantcross/endpoint/business-service';
import type {ModelServerClient} from '@currantcross/endpoint/model-server';
import type {AgentServiceAdapter} from '@currantcross/peer/agent-service';
import type {Logger} from './logger.js';

/** Client of the agent's local server, by the kind of server. */
export type ServerClient
	= | Readonly<{kind: 'model'; client: ModelServerClient}>
		| Readonly<{kind: 'business'; client: BusinessServiceClient}>;

export type AgentDriverHost = Readonly<{
	server: ServerClient;
	logger: Logger;
	/** Returns the adapter that sends messages to the entries. This is a function because the adapter is created after the driver. */
	getAdapter(): AgentServiceAdapter;
}>;

export type AgentDriver = Readonly<{
	dispatch(event: AgentEvent): void;
	close(): void;
}>;

type StartWorkAction = Extract<AgentAction, {kind: 'startWork'}>;

const engineReportIntervalMs = 1000;

/** Creates the driver of an agent. */
export function createAgentDriver(agent: Agent, host: AgentDriverHost): AgentDriver {
	const promptControllers = new Map<AttemptId, AbortController>();
	let timer: NodeJS.Timeout | undefined;
	let isClosed = false;
	const reportTimer = setInterval(() => {
		void readEngineReport();
	}, engineReportIntervalMs);

	function dispatch(event: AgentEvent): void {
		if (isClosed) {
			return;
		}

		for (const action of agent.step(event, performance.now())) {
			perform(action);
		}

		scheduleWake();
	}

	function scheduleWake(): void {
		clearTimeout(timer);
		const wakeAt = agent.getWakeAt();
		if (Number.isFinite(wakeAt)) {
			timer = setTimeout(() => {
				dispatch({kind: 'timePassed'});
			}, Math.max(1, wakeAt - performance.now()));
		}
	}

	function perform(action: AgentAction): void {
		switch (action.kind) {
			case 'sendMessage':
			case 'endStream':
			case 'replyState': {
				host.getAdapter().perform(action);
				return;
			}

			case 'startWork': {
				host.logger.debug('attemptStarted', {attemptId: action.attempt.attemptId, priority: action.priority});
				void startWork(action, performance.now());
				return;
			}

			case 'cancelWork': {
				promptControllers.get(action.attemptId)?.abort();
				return;
			}

			case 'releaseMemory': {
				void releaseMemory(action.attemptId);
			}
		}
	}

	async function startWork(action: StartWorkAction, startedAt: number): Promise<void> {
		const {attempt} = action;
		const {work} = attempt;
		switch (work.kind) {
			case 'prompt': {
				await runPrompt(action, work);
				break;
			}

			case 'service': {
				await callService(attempt, work, action.remainingMs - (performance.now() - startedAt));
				break;
			}
		}

		host.logger.debug('attemptEnded', {attemptId: attempt.attemptId});
	}

	async function runPrompt({attempt, priority}: StartWorkAction, work: PromptWork): Promise<void> {
		const {attemptId} = attempt;
		if (host.server.kind !== 'model') {
			dispatch({
				kind: 'workFailed', attemptId, ran: 'no', detail: 'the server is no model server',
			});
			return;
		}

		const controller = new AbortController();
		promptControllers.set(attemptId, controller);
		let hasOutput = false;
		try {
			const outputs = host.server.client.runPrompt({
				attempt, work, priority, signal: controller.signal,
			});
			for await (const output of outputs) {
				hasOutput = true;
				dispatch(output.kind === 'tokens'
					? {kind: 'tokensGenerated', attemptId, tokens: output.tokens}
					: {kind: 'promptCompleted', attemptId, finishReason: output.finishReason});
			}
		} catch (error) {
			if (!controller.signal.aborted) {
				host.logger.warn('serverFailed', {attemptId, reason: getErrorText(error)});
			}
		} finally {
			promptControllers.delete(attemptId);
		}

		// The agent ignores this event if the prompt has already completed.
		dispatch({
			kind: 'workFailed', attemptId, ran: hasOutput ? 'yes' : 'unknown', detail: 'the engine broke off',
		});
	}

	async function callService({attemptId}: Attempt, work: ServiceWork, remainingMs: number): Promise<void> {
		if (host.server.kind !== 'business' || remainingMs <= 0) {
			const detail = remainingMs <= 0 ? 'the agent was paused past the deadline' : 'the server is no business server';
			dispatch({
				kind: 'workFailed', attemptId, ran: 'no', detail,
			});
			return;
		}

		const outcome = await host.server.client.call(work, remainingMs);
		dispatch(outcome.kind === 'answered'
			? {kind: 'serviceAnswered', attemptId, answer: outcome.answer}
			: {
				kind: 'workFailed', attemptId, ran: outcome.ran, detail: outcome.detail,
			});
	}

	async function releaseMemory(attemptId: AttemptId): Promise<void> {
		if (host.server.kind !== 'model') {
			return;
		}

		try {
			await host.server.client.releaseMemory(attemptId);
		} catch {
			// Later engine reports still list the memory, so the release is retried.
		}
	}

	async function readEngineReport(): Promise<void> {
		if (host.server.kind !== 'model') {
			return;
		}

		try {
			dispatch({kind: 'engineReported', report: await host.server.client.getReport()});
		} catch {
			// The agent uses the last report until the next one arrives.
		}
	}

	return {
		dispatch,
		close() {
			isClosed = true;
			clearTimeout(timer);
			clearInterval(reportTimer);
			for (const controller of promptControllers.values()) {
				controller.abort();
			}
		},
	};
}
