/**
Decides where a gateway takes the state of the platform from: from the store, or from a gateway of its data centre that reads the store
for the others.

In a large deployment each data centre has a reader and a second one that takes over from it. All others follow the reader, which passes
on what it has read, and when. A follower reads the store itself from the moment at which its reader is silent, lost, or behind, until
another reader has told it something recent; so a reader that dies, freezes or is cut off costs calls of the store but no knowledge.
The second reader follows the first one and nobody else. A gateway that follows passes on what it knows to whoever asks, with its age.
*/
import type {Milliseconds, Timestamp} from '../types.js';
import {compareRelayPriority, maximumDirectGateways, type ExchangeMember} from './exchange-topology.js';
import type {GatewayName} from './load-view.js';

/** The reader whose stream is to be open, if any, and whether the gateway reads the store itself. */
export type FeedDecision = Readonly<{reader: GatewayName | undefined; isReading: boolean}>;

export type FeedSource = Readonly<{
	setMembers(otherMembers: readonly ExchangeMember[], now: Timestamp): void;
	/** Records a state that a reader has sent, and when that was current. */
	recordState(reader: GatewayName, verifiedAt: Timestamp, now: Timestamp): void;
	/** Records that the stream of a reader has ended. */
	recordLoss(reader: GatewayName, now: Timestamp): void;
	/** Records that this process has stood still until now: what a reader has sent meanwhile is not read yet. */
	recordStandstill(now: Timestamp): void;
	/** Returns the decision, which also changes with time alone. */
	getDecision(now: Timestamp): FeedDecision;
	/** Returns when time alone may change the decision, or infinity. */
	getWakeAt(): Timestamp;
}>;

/** Time without a state after which a reader is lost; more than two intervals of its states. */
const maximumSilenceMs: Milliseconds = 500;
/** Age of a state from which on its reader is behind, at most and at least; two watches and their responses are in time. */
const longestStateAgeMs: Milliseconds = 2800;
const shortestStateAgeMs: Milliseconds = 1900;
/** Time that is left to read the store, from the age at which a reader is behind until keys are refused. */
const ownReadingMs: Milliseconds = 400;
/** Time within which a reader must send its first state. */
const connectTimeoutMs: Milliseconds = 1500;
/** Time for which a reader is avoided after a loss; doubles with each loss in a row. */
const readerBackoffMs: Milliseconds = 1000;
const maximumReaderBackoffMs: Milliseconds = 30_000;
/** Time for which a reader must send states until its earlier losses are forgotten. */
const provenReaderMs: Milliseconds = 10_000;
/** Number of readers of a data centre. */
const readerCount = 2;

/** Losses in a row, and the time until which the reader is avoided. */
type ReaderRecord = {lossCount: number; avoidedUntil: Timestamp};

/** The reader that is followed. Until its first state, `stateAt` is `undefined`. Its silence counts from `silentSince`. */
type FollowedReader = {readonly name: GatewayName; readonly since: Timestamp; stateAt: Timestamp | undefined; verifiedAt: Timestamp; silentSince: Timestamp};

/**
Returns the gateways that read the store for a data centre, the first one first. The relay of the exchange is the last of them, since
it has other work.
*/
export function rankReaders(members: readonly ExchangeMember[]): readonly GatewayName[] {
	return members.toSorted(compareRelayPriority).slice(0, readerCount).toReversed().map(({name}) => name);
}

/** Returns the age of a state from which on its reader is behind, given the age at which keys are refused, if any. */
export function getMaximumStateAgeMs(maximumKeyAgeMs: Milliseconds | undefined): Milliseconds {
	return Math.min(longestStateAgeMs, Math.max(shortestStateAgeMs, (maximumKeyAgeMs ?? Number.POSITIVE_INFINITY) - ownReadingMs));
}

/** Creates the source of a gateway, which reads the store itself until it knows the others. */
export function createFeedSource(self: ExchangeMember, maximumStateAgeMs: Milliseconds): FeedSource {
	const records = new Map<GatewayName, ReaderRecord>();
	let candidates: readonly GatewayName[] = [];
	let followed: FollowedReader | undefined;

	function recordReaderLoss(name: GatewayName, now: Timestamp): void {
		const record = records.get(name) ?? {lossCount: 0, avoidedUntil: Number.NEGATIVE_INFINITY};
		const isProven = followed?.name === name && followed.stateAt !== undefined && followed.stateAt - followed.since > provenReaderMs;
		const lossCount = isProven ? 0 : record.lossCount;
		records.set(name, {lossCount: lossCount + 1, avoidedUntil: now + Math.min(maximumReaderBackoffMs, readerBackoffMs * (2 ** lossCount))});
		if (followed?.name === name) {
			followed = undefined;
		}
	}

	/** Returns when the followed reader is silent or behind if it sends nothing more. */
	function getLossAt({stateAt, verifiedAt, silentSince}: FollowedReader): Timestamp {
		return stateAt === undefined ? silentSince + connectTimeoutMs : Math.min(silentSince + maximumSilenceMs, verifiedAt + maximumStateAgeMs);
	}

	function update(now: Timestamp): void {
		if (followed !== undefined && now > getLossAt(followed)) {
			recordReaderLoss(followed.name, now);
		}

		const chosen = candidates.find(name => (records.get(name)?.avoidedUntil ?? Number.NEGATIVE_INFINITY) <= now);
		if (chosen === undefined) {
			followed = undefined;
		} else if (followed?.name !== chosen) {
			followed = {
				name: chosen, since: now, stateAt: undefined, verifiedAt: Number.NEGATIVE_INFINITY, silentSince: now,
			};
		}
	}

	return {
		setMembers(otherMembers, now) {
			const members = [self, ...otherMembers.filter(({dataCentre}) => dataCentre === self.dataCentre)];
			const readers = otherMembers.length < maximumDirectGateways ? [] : rankReaders(members);
			const ownIndex = readers.indexOf(self.name);
			candidates = ownIndex === -1 ? readers : readers.slice(0, ownIndex);
			update(now);
		},
		recordState(reader, verifiedAt, now) {
			update(now);
			if (followed?.name === reader && now <= verifiedAt + maximumStateAgeMs) {
				followed.stateAt = now;
				followed.verifiedAt = verifiedAt;
				followed.silentSince = now;
			}
		},
		recordLoss(reader, now) {
			recordReaderLoss(reader, now);
			update(now);
		},
		recordStandstill(now) {
			if (followed?.stateAt !== undefined) {
				followed.silentSince = now;
			}
		},
		getDecision(now) {
			update(now);
			return {reader: followed?.name, isReading: followed?.stateAt === undefined};
		},
		getWakeAt() {
			const returns = candidates.map(name => records.get(name)?.avoidedUntil ?? Number.NEGATIVE_INFINITY);
			const preferred = followed === undefined ? returns : returns.slice(0, candidates.indexOf(followed.name));
			return Math.min(followed === undefined ? Number.POSITIVE_INFINITY : getLossAt(followed), ...preferred);
		},
	};
}
