/**
The driver of an entry: performs the actions of the core's state machine by calls to agents and to the claim store and by
answers to callers, and passes the results back as events.
*/
import {getErrorText} from '@currantcross/core/error-text';
import type {ClaimRecord} from '@currantcross/core/claims';
import type {Entry} from '@currantcross/core/entry';
import type {
	ArrivedRequest, EntryAction, EntryEvent, StreamId,
} from '@currantcross/core/entry-types';
import type {
	Milliseconds, RequestId, Server, ServerName,
} from '@currantcross/core/types';
import type {RequestListener} from '@currantcross/caller/request-listener';
import {isUnsentError, type AgentClient} from '@currantcross/peer/agent-client';
import type {ClaimStore} from './claim-store.js';
import type {Logger} from './logger.js';

export type EntryDriverHost = Readonly<{
	agentClient: AgentClient;
	claimStore: ClaimStore;
	logger: Logger;
}>;

export type EntryDriver = Readonly<{
	submit(request: ArrivedRequest, listener: RequestListener): void;
	dispatch(event: EntryEvent): void;
	close(): void;
}>;

type OpenStreamAction = Extract<EntryAction, {kind: 'openStream'}>;

/** Time limit for recording an outcome whose caller has already been answered. */
const outcomeBudgetMs = 30_000;

/** Creates the driver of an entry. */
export function createEntryDriver(entry: Entry, host: EntryDriverHost): EntryDriver {
	const listeners = new Map<RequestId, RequestListener>();
	const streamControllers = new Map<StreamId, AbortController>();
	/** Servers with a probe in flight, so that each has at most one. */
	const pendingProbes = new Set<ServerName>();
	let timer: NodeJS.Timeout | undefined;
	let isClosed = false;

	function dispatch(event: EntryEvent): void {
		if (isClosed) {
			return;
		}

		for (const action of entry.step(event, performance.now())) {
			perform(action);
		}

		scheduleWake();
	}

	function scheduleWake(): void {
		clearTimeout(timer);
		const wakeAt = entry.tryGetWakeAt();
		if (wakeAt !== undefined) {
			timer = setTimeout(() => {
				dispatch({kind: 'timePassed'});
			}, Math.max(1, wakeAt - performance.now()));
		}
	}

	/** Removes and returns the listener of a request that has ended. */
	function takeListener(requestId: RequestId): RequestListener | undefined {
		const listener = listeners.get(requestId);
		listeners.delete(requestId);
		return listener;
	}

	function perform(action: EntryAction): void {
		switch (action.kind) {
			case 'openStream': {
				void openStream(action);
				return;
			}

			case 'closeStream': {
				streamControllers.get(action.streamId)?.abort();
				return;
			}

			case 'cancelAttempt': {
				void cancelAttempt(action.server, action.attemptId);
				return;
			}

			case 'probeServer': {
				void probeServer(action.server);
				return;
			}

			case 'submitClaim': {
				void submitClaim(action.requestId, action.record, action.budgetMs);
				return;
			}

			case 'recordOutcome': {
				void host.claimStore.submit(action.record, outcomeBudgetMs);
				return;
			}

			case 'deliverTokens': {
				listeners.get(action.requestId)?.receiveTokens(action.tokens);
				return;
			}

			case 'completeRequest': {
				takeListener(action.requestId)?.complete(action.summary);
				return;
			}

			case 'answerRequest': {
				takeListener(action.requestId)?.answer(action.answer, action.server, action.isReplay);
				return;
			}

			case 'failRequest': {
				takeListener(action.requestId)?.fail(action.failure);
			}
		}
	}

	async function openStream({requestId, streamId, server, attempt, mode, needsFreshConnection}: OpenStreamAction): Promise<void> {
		const controller = new AbortController();
		streamControllers.set(streamId, controller);
		let wasSent = true;
		try {
			const messages = host.agentClient.openStream({
				agentUrl: server.agentUrl, attempt, mode, needsFreshConnection, signal: controller.signal,
			});
			for await (const message of messages) {
				dispatch({
					kind: 'messageReceived', requestId, streamId, message,
				});
			}
		} catch (error) {
			wasSent = !isUnsentError(error);
			if (!controller.signal.aborted) {
				host.logger.warn('streamBroken', {
					requestId, attemptId: attempt.attemptId, server: server.name, wasSent, reason: getErrorText(error),
				});
			}
		}

		streamControllers.delete(streamId);
		dispatch({
			kind: 'streamBroken', requestId, streamId, wasSent,
		});
	}

	async function cancelAttempt(server: Server, attemptId: string): Promise<void> {
		try {
			await host.agentClient.cancelAttempt(server.agentUrl, attemptId);
		} catch {
			// The failure is ignored: the agent itself cancels an attempt that has no open stream.
		}
	}

	async function probeServer(server: Server): Promise<void> {
		if (pendingProbes.has(server.name)) {
			return;
		}

		pendingProbes.add(server.name);
		try {
			const status = await host.agentClient.getStatus(server.agentUrl);
			pendingProbes.delete(server.name);
			dispatch({kind: 'statusReceived', status});
		} catch (error) {
			pendingProbes.delete(server.name);
			host.logger.warn('probeFailed', {server: server.name, reason: getErrorText(error)});
			dispatch({kind: 'probeFailed', server: server.name});
		}
	}

	async function submitClaim(requestId: RequestId, record: ClaimRecord, budgetMs: Milliseconds): Promise<void> {
		const outcome = await host.claimStore.submit(record, budgetMs);
		switch (outcome.kind) {
			case 'applied': {
				dispatch({kind: 'claimKnown', requestId, claim: outcome.effect});
				return;
			}

			case 'expired': {
				dispatch({kind: 'claimExpired', requestId});
			}
		}
	}

	return {
		submit(request, listener) {
			listeners.set(request.requestId, listener);
			dispatch({kind: 'requestArrived', request});
		},
		dispatch,
		close() {
			isClosed = true;
			clearTimeout(timer);
			for (const controller of streamControllers.values()) {
				controller.abort();
			}
		},
	};
}
