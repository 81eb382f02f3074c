/**
Follows the gateway that reads the platform's store for its data centre: keeps the stream from it open, and says when this gateway has to
read the store itself.
*/
import {getErrorText} from '@currantcross/core/error-text';
import {createFeedSource} from '@currantcross/core/gateway/feed-source';
import type {ListedEndpoint} from '@currantcross/core/gateway/gateway-types';
import type {GatewayName} from '@currantcross/core/gateway/load-view';
import type {Milliseconds, Timestamp} from '@currantcross/core/types';
import type {Logger} from '@currantcross/daemon/logger';
import type {Connections} from '@currantcross/peer/connections';
import {streamPlatformState, type PlatformState} from '@currantcross/peer/platform-peers';
import VError from 'verror';
import type {GatewayRegistration} from './gateway-hosts.js';

/** A state, with the complete list of endpoints after each reading of it. */
export type FollowedState = Readonly<Omit<PlatformState, 'endpoints' | 'verifiedAfterMs'> & {endpoints: readonly ListedEndpoint[] | undefined}>;

export type ReaderFollowerHost = Readonly<{
	self: GatewayRegistration;
	connections: Connections;
	logger: Logger;
	/** Age of what a reader tells from which on it is behind. */
	maximumStateAgeMs: Milliseconds;
	/** Applies a state. Returns `false` if it is from before a restore of the store or can't be used. */
	applyState(state: FollowedState, verifiedAt: Timestamp): boolean;
	/** Called when this gateway begins or ceases to read the store itself. */
	setReading(isReading: boolean): void;
}>;

export type ReaderFollower = Readonly<{
	setGateways(registrations: readonly GatewayRegistration[]): void;
	/** Drops the stream, whose times say nothing after a suspension of this process. */
	reset(): void;
	close(): void;
}>;

/** Lifetime of a stream, and the share of its age by which the clocks of two hosts may have drifted apart. */
const streamLifetimeMs: Milliseconds = 100_000;
const maximumDrift = 0.0005;
/** Delay of a timer that is normal. */
const toleranceMs: Milliseconds = 50;

type OpenStream = Readonly<{reader: GatewayName; controller: AbortController}>;

/** Creates a follower that knows no other gateways, so that this one reads the store. */
export function createReaderFollower(host: ReaderFollowerHost): ReaderFollower {
	const source = createFeedSource(host.self, host.maximumStateAgeMs);
	let registrations: ReadonlyMap<GatewayName, GatewayRegistration> = new Map();
	let openStream: OpenStream | undefined;
	let isReading = true;
	let timer: NodeJS.Timeout | undefined;
	let timerDueAt: Timestamp = Number.POSITIVE_INFINITY;
	let isClosed = false;

	/** Records a standstill of this process if there was one, and returns the time. */
	function checkStandstill(): Timestamp {
		const now = performance.now();
		if (now > timerDueAt + toleranceMs) {
			source.recordStandstill(now);
		}

		return now;
	}

	/** Receives the states of one stream until its lifetime ends. */
	async function receiveStates(peerUrl: string, {reader, controller}: OpenStream): Promise<void> {
		const lifetime = AbortSignal.timeout(streamLifetimeMs);
		const openedAt = performance.now();
		const endpoints = new Map<string, ListedEndpoint>();
		try {
			for await (const {verifiedAfterMs, endpoints: changes, ...state} of streamPlatformState(host.connections, peerUrl, host.self.name, AbortSignal.any([controller.signal, lifetime]))) {
				for (const id of changes?.removed ?? []) {
					endpoints.delete(id);
				}

				for (const endpoint of changes?.changed ?? []) {
					endpoints.set(endpoint.id, endpoint);
				}

				const now = checkStandstill();
				const verifiedAt = Math.min(now, openedAt + verifiedAfterMs - ((now - openedAt) * maximumDrift));
				if (openStream?.controller === controller && host.applyState({...state, endpoints: changes === undefined ? undefined : [...endpoints.values()]}, verifiedAt)) {
					source.recordState(reader, verifiedAt, now);
					applyDecision();
				}
			}
		} catch (error) {
			if (!lifetime.aborted) {
				throw error;
			}

			return;
		}

		throw new VError('the reader has ended the stream');
	}

	/** Keeps a stream open, one after the other, until one breaks or the reader is no longer followed. */
	async function runStream(stream: OpenStream, peerUrl: string): Promise<void> {
		try {
			while (!stream.controller.signal.aborted) {
				// eslint-disable-next-line no-await-in-loop
				await receiveStates(peerUrl, stream);
			}
		} catch (error) {
			if (!stream.controller.signal.aborted) {
				host.logger.warn('readerLost', {reader: stream.reader, reason: getErrorText(error)});
				source.recordLoss(stream.reader, checkStandstill());
				applyDecision();
			}
		}
	}

	function setStream(reader: GatewayName | undefined): void {
		if (reader === openStream?.reader) {
			return;
		}

		openStream?.controller.abort();
		openStream = undefined;
		const registration = reader === undefined ? undefined : registrations.get(reader);
		if (registration !== undefined) {
			openStream = {reader: registration.name, controller: new AbortController()};
			void runStream(openStream, registration.peerUrl);
		}
	}

	function applyDecision(): void {
		if (isClosed) {
			return;
		}

		const now = checkStandstill();
		const decision = source.getDecision(now);
		setStream(decision.reader);
		if (decision.isReading !== isReading) {
			isReading = decision.isReading;
			host.logger.info('feedSourceChanged', {reader: decision.reader, isReading});
			host.setReading(isReading);
		}

		clearTimeout(timer);
		const wakeAt = source.getWakeAt();
		timerDueAt = wakeAt;
		timer = Number.isFinite(wakeAt) ? setTimeout(applyDecision, Math.max(1, wakeAt - now + 1)) : undefined;
	}

	return {
		setGateways(newRegistrations) {
			registrations = new Map(newRegistrations.map(registration => [registration.name, registration]));
			source.setMembers(newRegistrations, checkStandstill());
			applyDecision();
		},
		reset() {
			if (openStream !== undefined) {
				source.recordLoss(openStream.reader, checkStandstill());
				applyDecision();
			}
		},
		close() {
			isClosed = true;
			clearTimeout(timer);
			openStream?.controller.abort();
		},
	};
}
