/**
Tests from where gateways take the state of the platform: which one reads for the others, and how old the knowledge of each gets while
readers die, freeze, are cut off or lie behind, and while the store is down. The seed is fixed; CURRANTCROSS_SEED and CURRANTCROSS_RUNS
set another seed and number of runs.
*/
import process from 'node:process';
import fc from 'fast-check';
import {describe, expect, test} from 'vitest';
import type {Milliseconds, Timestamp} from '../types.js';
import {
	createFeedSource, getMaximumStateAgeMs, rankReaders, type FeedSource,
} from './feed-source.js';
import type {ExchangeMember} from './exchange-topology.js';

const parameters = {
	seed: Number(process.env.CURRANTCROSS_SEED ?? '20261205'),
	numRuns: Number(process.env.CURRANTCROSS_RUNS ?? '500'),
};

/** Time after the last verification at which keys are refused. */
const maximumKeyAgeMs = 4100;

const members: readonly ExchangeMember[] = [
	...Array.from({length: 5}, (_, index) => ({name: `a-${index}`, dataCentre: 'a', processorShare: 1 - (index / 10)})),
	...Array.from({length: 5}, (_, index) => ({name: `b-${index}`, dataCentre: 'b', processorShare: 1})),
];

function createSource(name: string, others: readonly ExchangeMember[] = members): FeedSource {
	const self = members.find(member => member.name === name);
	if (self === undefined) {
		throw new Error(`no member ${name}`);
	}

	const source = createFeedSource(self, getMaximumStateAgeMs(maximumKeyAgeMs));
	source.setMembers(others.filter(other => other.name !== name), 0);
	return source;
}

describe('the source of a gateway', () => {
	test('is the store in a small deployment', () => {
		expect(createSource('a-3', members.slice(0, 8)).getDecision(0)).toEqual({reader: undefined, isReading: true});
	});

	test('is the reader of its data centre in a large one, and the store for the reader itself', () => {
		expect(rankReaders(members.slice(0, 5))).toEqual(['a-1', 'a-0']);
		expect(createSource('a-1').getDecision(0)).toEqual({reader: undefined, isReading: true});
		expect(createSource('a-0').getDecision(0)).toEqual({reader: 'a-1', isReading: true});
		expect(createSource('a-3').getDecision(0)).toEqual({reader: 'a-1', isReading: true});
	});

	test('is the store until the reader has told something recent', () => {
		const source = createSource('a-3');
		source.recordState('a-1', -5000, 10);
		expect(source.getDecision(10).isReading).toBe(true);
		source.recordState('a-1', 0, 20);
		expect(source.getDecision(20)).toEqual({reader: 'a-1', isReading: false});
	});

	test('is the store again as soon as the reader is silent, and then the second reader', () => {
		const source = createSource('a-3');
		source.recordState('a-1', 100, 100);
		expect(source.getDecision(500).isReading).toBe(false);
		expect(source.getWakeAt()).toBe(600);
		expect(source.getDecision(601)).toEqual({reader: 'a-0', isReading: true});
		source.recordState('a-0', 620, 640);
		expect(source.getDecision(640)).toEqual({reader: 'a-0', isReading: false});
	});

	// Guards against all followers of a busy host that read the store, since their own standstill counts as a silence of the reader.
	test('is the reader after a standstill of the process, until it is silent from then on', () => {
		const source = createSource('a-3');
		source.recordState('a-1', 100, 100);
		source.recordStandstill(1000);
		expect(source.getDecision(1000)).toEqual({reader: 'a-1', isReading: false});
		expect(source.getWakeAt()).toBe(1500);
		expect(source.getDecision(1501)).toEqual({reader: 'a-0', isReading: true});
	});

	test('is the store after a standstill in which the state became too old', () => {
		const source = createSource('a-3');
		source.recordState('a-1', 100, 100);
		source.recordStandstill(3000);
		expect(source.getDecision(3000)).toEqual({reader: 'a-0', isReading: true});
	});

	test('is the store while both readers lie behind', () => {
		const source = createSource('a-3');
		source.recordState('a-1', 0, 0);
		for (let now = 0; now <= 2900; now += 100) {
			source.recordState('a-1', 0, now);
		}

		expect(source.getDecision(2900)).toEqual({reader: 'a-0', isReading: true});
		source.recordLoss('a-0', 2950);
		expect(source.getDecision(2950)).toEqual({reader: undefined, isReading: true});
	});

	// Guards against keys that are refused before a gateway leaves a reader that is behind.
	test('is the store well before keys are refused, also where they are refused soon', () => {
		expect(getMaximumStateAgeMs(undefined)).toBe(2800);
		expect(getMaximumStateAgeMs(4100)).toBe(2800);
		expect(getMaximumStateAgeMs(2600)).toBe(2200);
		expect(getMaximumStateAgeMs(2100)).toBe(1900);
	});

	test('avoids a reader that fails again and again, for longer each time', () => {
		const source = createSource('a-0');
		source.recordLoss('a-1', 0);
		expect(source.getDecision(999).reader).toBeUndefined();
		expect(source.getDecision(1000).reader).toBe('a-1');
		source.recordLoss('a-1', 1000);
		expect(source.getDecision(2999).reader).toBeUndefined();
		expect(source.getDecision(3000).reader).toBe('a-1');
	});
});

type Disruption = Readonly<{kind: 'kill' | 'freeze' | 'cutFromStore' | 'cutFromPeers' | 'delay' | 'storeDown'; at: Timestamp; index: number; durationMs: Milliseconds}>;

/** A message on its way: when the reader's knowledge was current, in true time and counted from the opening of the stream. */
type Message = Readonly<{arrivesAt: Timestamp; verifiedAfterMs: Milliseconds; verifiedAt: Timestamp}>;

type Stream = {readonly reader: string; readonly openedAt: Timestamp; readonly acceptedAt: Timestamp; sentAt: Timestamp; messages: Message[]};

/** A simulated gateway. Its own clock is ahead of true time by a constant. */
type SimulatedGateway = {
	readonly name: string;
	readonly clockOffsetMs: Milliseconds;
	source: FeedSource;
	startedAt: Timestamp;
	/** When its knowledge was current, in true time, and by its own clock as far as it knows. */
	verifiedAt: Timestamp;
	believedAt: Timestamp;
	readAt: Timestamp;
	storeCalls: number;
	stream: Stream | undefined;
};

const tickMs = 20;
const simulationMs = 20_000;
const readIntervalMs = 1000;
const stateIntervalMs = 200;
/** A call of the store may take 0.9 s. */
const maximumAgeMs = maximumKeyAgeMs - 900;
/** Time for which a gateway must have run and reached the store before the bound applies to it. */
const touchMs = 3000;

/** Runs gateways of one data centre and returns what was violated, and the number of store calls. */
function runReaders(disruptions: readonly Disruption[], offsets: readonly number[]): Readonly<{violations: ReadonlySet<string>; storeCalls: number}> {
	const violations = new Set<string>();
	const createGateway = (name: string, startedAt: Timestamp, clockOffsetMs: number): SimulatedGateway => ({
		name, clockOffsetMs, source: createSource(name), startedAt, verifiedAt: Number.NEGATIVE_INFINITY, believedAt: Number.NEGATIVE_INFINITY, readAt: Number.NEGATIVE_INFINITY, storeCalls: 0, stream: undefined,
	});
	const gateways = members.slice(0, 5).map(({name}, index) => createGateway(name, 0, offsets[index] ?? 0));
	const isDisrupted = (kinds: ReadonlyArray<Disruption['kind']>, index: number, from: Timestamp, to: Timestamp): boolean =>
		disruptions.some(disruption => kinds.includes(disruption.kind) && (disruption.kind === 'storeDown' || disruption.index === index) && disruption.at <= to && disruption.at + disruption.durationMs >= from);
	const runs = (index: number, now: Timestamp): boolean => !isDisrupted(['kill', 'freeze'], index, now, now);

	function stepStream(gateway: SimulatedGateway, index: number, now: Timestamp): void {
		const {reader} = gateway.source.getDecision(now + gateway.clockOffsetMs);
		if (reader !== gateway.stream?.reader) {
			gateway.stream = reader === undefined
				? undefined
				: {
					reader, openedAt: now, acceptedAt: now + 10, sentAt: Number.NEGATIVE_INFINITY, messages: [],
				};
		}

		const {stream} = gateway;
		const readerIndex = gateways.findIndex(({name}) => name === stream?.reader);
		const sender = gateways[readerIndex];
		if (stream === undefined || sender === undefined) {
			return;
		}

		if (isDisrupted(['kill'], readerIndex, now, now)) {
			gateway.source.recordLoss(stream.reader, now + gateway.clockOffsetMs);
			gateway.stream = undefined;
			return;
		}

		const hasPath = !isDisrupted(['cutFromPeers'], index, now, now) && !isDisrupted(['cutFromPeers'], readerIndex, now, now);
		if (hasPath && runs(readerIndex, now) && now >= stream.acceptedAt && now - stream.sentAt >= stateIntervalMs && Number.isFinite(sender.believedAt)) {
			stream.sentAt = now;
			const delayMs = isDisrupted(['delay'], readerIndex, now, now) ? 900 : 5;
			stream.messages.push({arrivesAt: now + delayMs, verifiedAfterMs: sender.believedAt - sender.clockOffsetMs - stream.acceptedAt, verifiedAt: sender.verifiedAt});
		}

		if (hasPath && runs(index, now)) {
			for (const message of stream.messages.filter(({arrivesAt}) => arrivesAt <= now)) {
				const believedAt = stream.openedAt + gateway.clockOffsetMs + message.verifiedAfterMs;
				if (believedAt > gateway.believedAt) {
					gateway.believedAt = believedAt;
					gateway.verifiedAt = message.verifiedAt;
				}

				gateway.source.recordState(stream.reader, believedAt, now + gateway.clockOffsetMs);
			}

			stream.messages = stream.messages.filter(({arrivesAt}) => arrivesAt > now);
		}
	}

	function stepGateway(gateway: SimulatedGateway, index: number, now: Timestamp): void {
		stepStream(gateway, index, now);
		const hasStore = !isDisrupted(['cutFromStore', 'storeDown'], index, now, now);
		const {isReading} = gateway.source.getDecision(now + gateway.clockOffsetMs);
		if (isReading && now - gateway.readAt >= readIntervalMs) {
			gateway.storeCalls += 1;
			gateway.readAt = hasStore ? now : gateway.readAt;
			if (hasStore) {
				gateway.verifiedAt = now;
				gateway.believedAt = now + gateway.clockOffsetMs;
			}
		}
	}

	function checkGateway(gateway: SimulatedGateway, index: number, now: Timestamp): void {
		if (gateway.believedAt - gateway.clockOffsetMs > gateway.verifiedAt + 1e-6) {
			violations.add(`${gateway.name} takes its knowledge for more recent than it is`);
		}

		const isInTouch = now - gateway.startedAt > touchMs && !isDisrupted(['kill', 'freeze', 'cutFromStore', 'storeDown'], index, now - touchMs, now);
		if (isInTouch && now - gateway.verifiedAt > maximumAgeMs) {
			violations.add(`${gateway.name} knows nothing recent`);
		}
	}

	for (let now = 0; now < simulationMs; now += tickMs) {
		for (const [index, gateway] of gateways.entries()) {
			if (isDisrupted(['kill'], index, now, now)) {
				Object.assign(gateway, createGateway(gateway.name, now, gateway.clockOffsetMs), {storeCalls: gateway.storeCalls});
			} else if (runs(index, now)) {
				stepGateway(gateway, index, now);
				checkGateway(gateway, index, now);
			}
		}
	}

	return {violations, storeCalls: gateways.reduce((sum, {storeCalls}) => sum + storeCalls, 0)};
}

const disruption: fc.Arbitrary<Disruption> = fc.record({
	kind: fc.constantFrom('kill' as const, 'freeze' as const, 'cutFromStore' as const, 'cutFromPeers' as const, 'delay' as const, 'storeDown' as const),
	at: fc.integer({min: 0, max: 18_000}),
	index: fc.nat(4),
	durationMs: fc.integer({min: 100, max: 7000}),
});
const clockOffsets = fc.array(fc.integer({min: -1_000_000, max: 1_000_000}), {minLength: 5, maxLength: 5});

describe('gateways of a data centre that follow a reader', () => {
	// Guards against store calls that grow with the number of gateways.
	test('make hardly more calls of the store than one gateway alone', () => {
		const {violations, storeCalls} = runReaders([], [0, 0, 0, 0, 0]);
		expect([...violations]).toEqual([]);
		expect(storeCalls).toBeLessThanOrEqual((simulationMs / readIntervalMs) + 5);
	});

	// Guards against keys that are accepted on old knowledge, and against gateways that know nothing recent although they reach the store.
	test('never take their knowledge for more recent than it is, and have recent knowledge whenever they reach the store', () => {
		fc.assert(fc.property(fc.array(disruption, {maxLength: 6}), clockOffsets, (disruptions, offsets) => {
			expect([...runReaders(disruptions, offsets).violations]).toEqual([]);
		}), parameters);
	});
});
