/**
Servers that are slow, turn slow, start or recover, before gateways that hear of each other late: generated loads in virtual time. The
seed is fixed; CURRANTCROSS_SEED and CURRANTCROSS_RUNS set another seed and number of runs.
*/
import process from 'node:process';
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {createRandom} from '../random.js';
import type {Milliseconds, Timestamp} from '../types.js';
import {getPrefillMs} from './engine-timing.js';
import type {PaceChange} from './endpoint-pace.js';
import {getHash} from './endpoint-ranking.js';
import {
	createFixtureEndpoints, createFixtureGatewayRequest, fixtureEngine, fixtureLongStreamRoute,
} from './gateway-fixtures.js';
import type {EndpointId, ListedEndpoint} from './gateway-types.js';
import {createLoadView, type WorkChange} from './load-view.js';
import {findPromptPlacement, getCandidates} from './placement.js';
import {singleLevel} from './urgency.js';
import {createWorkRouting} from './work-routing.js';

const parameters = {
	seed: Number(process.env.CURRANTCROSS_SEED ?? '20261206'),
	numRuns: Math.ceil(Number(process.env.CURRANTCROSS_RUNS ?? '500') / 60),
};

const endpointCount = 8;
const endAt = 24_000;
const decodeMs: Milliseconds = 400;
const route = fixtureLongStreamRoute;

type Scenario = Readonly<{seed: number; gateways: number; lagMs: Milliseconds; promptTokens: number; usedShare: number}>;
type Play = Scenario & Readonly<{
	isWorkAware: boolean;
	/** Endpoints that join: when, by their index. */
	joins?: ReadonlyMap<number, Timestamp>;
	/** Returns the factor by which an endpoint is slower at a time. */
	getSlowness(endpoint: number, now: Timestamp): number;
}>;
type Placed = Readonly<{endpoint: number; at: Timestamp; firstEventMs: Milliseconds; open: number}>;
type Message = Readonly<{at: Timestamp; gateway: number; sender: string; change: PaceChange | WorkChange}>;

const scenarios = fc.record({
	seed: fc.integer({min: 1, max: 1_000_000}),
	gateways: fc.constantFrom(1, 5, 30),
	lagMs: fc.constantFrom(0, 50, 200, 500),
	promptTokens: fc.constantFrom(5000, 20_000),
	usedShare: fc.constantFrom(0.3, 0.5),
});

/** Plays prompts that each have one server, and returns where they went, when, how long their first event took, and how many others were open there. */
function play({seed, gateways, lagMs, promptTokens, usedShare, isWorkAware, getSlowness, joins}: Play): readonly Placed[] {
	const random = createRandom(seed);
	const all = createFixtureEndpoints('models', endpointCount);
	const nodes = Array.from({length: gateways}, (_, index) => {
		const load = createLoadView();
		const routing = createWorkRouting({
			load, dataCentre: 'east', random, tryGetEngine: () => fixtureEngine,
		});
		return {name: `gateway-${index}`, load, routing};
	});
	const getListed = (now: Timestamp): readonly ListedEndpoint[] => all.filter((_, index) => (joins?.get(index) ?? 0) <= now);
	const freeAt = new Map<EndpointId, Timestamp>();
	const openCounts = new Map<EndpointId, number>();
	const placed: Placed[] = [];
	let messages: Message[] = [];
	let tasks: Array<Readonly<{at: Timestamp; run: () => void}>> = [];
	const apply = ({gateway, sender, change, at}: Message): void => {
		const node = nodes[gateway]!;
		if (change.kind === 'paceObserved') {
			node.routing.applyPeerChange(change, at);
		} else {
			node.load.applyChange(sender, change, at);
		}
	};

	const publish = (sender: number, change: PaceChange | WorkChange, at: Timestamp): void => {
		for (const gateway of nodes.keys()) {
			if (gateway !== sender) {
				messages.push({
					at: at + lagMs, gateway, sender: `gateway-${sender}`, change,
				});
			}
		}
	};

	const meanGapMs = getPrefillMs(fixtureEngine, promptTokens) / endpointCount / usedShare;
	let key = 0;
	let arrivesAt = 0;
	let listedAt = -1000;
	for (let now = 0; now < endAt; now += 5) {
		if (now - listedAt >= 500) {
			listedAt = now;
			for (const {routing} of nodes) {
				routing.applyList(getListed(now), now);
			}
		}

		const received = messages.filter(({at}) => at <= now).map(message => ({
			at: message.at,
			run() {
				apply(message);
			},
		}));
		const due = [...received, ...tasks.filter(({at}) => at <= now)].toSorted((left, right) => left.at - right.at);
		messages = messages.filter(({at}) => at > now);
		tasks = tasks.filter(({at}) => at > now);
		for (const {run} of due) {
			run();
		}

		for (; arrivesAt <= now; arrivesAt += -Math.log(1 - random.getFraction()) * meanGapMs) {
			const sender = random.getInteger(gateways);
			const {name, load, routing} = nodes[sender]!;
			const candidates = getCandidates(getListed(now), new Set(), id => ({load: load.getLoad(id, now), rank: getHash(`${sender}/${id}`) / (2 ** 32)}));
			const placement = findPromptPlacement({...fixtureEngine, memoryTokens: 100_000_000}, isWorkAware ? routing.addPace(candidates, now) : candidates, {
				promptTokens,
				objectiveMs: route.objectiveMs,
				longestPauseMs: route.longestPauseMs,
				remainingMs: 10_000,
				dataCentre: 'east',
				urgency: {priority: 1, levels: singleLevel},
			})!;
			key += 1;
			const {id} = placement.endpoint;
			const index = all.findIndex(endpoint => endpoint.id === id);
			const work = {
				id: key, endpoint: id, helpers: [], promptTokens, readMs: placement.prefillMs, longestPauseMs: route.longestPauseMs, priority: 1, serviceMs: 0,
			};
			const slowness = getSlowness(index, now);
			const firstEventAt = Math.max(now, freeAt.get(id) ?? 0) + (getPrefillMs(fixtureEngine, promptTokens) * slowness);
			freeAt.set(id, firstEventAt);
			placed.push({
				endpoint: index, at: now, firstEventMs: firstEventAt - now, open: openCounts.get(id) ?? 0,
			});
			openCounts.set(id, (openCounts.get(id) ?? 0) + 1);
			const request = createFixtureGatewayRequest(route, {key, arrivedAt: now, prompt: {promptTokens, maximumTokens: 100}});
			const record = (change: WorkChange, at: Timestamp): void => {
				load.applyChange(name, change, at);
				publish(sender, change, at);
			};

			const workId = key;
			record({kind: 'started', work}, now);
			const endsAt = firstEventAt + (decodeMs * slowness);
			tasks.push({
				at: firstEventAt,
				run() {
					record({kind: 'writing', id: workId}, firstEventAt);
					const actions = routing.learn({
						kind: 'responseTimed', request, placement, observedMs: firstEventAt - now,
					}, firstEventAt);
					for (const action of actions) {
						if (action.kind === 'publishChange' && action.change.kind === 'paceObserved') {
							publish(sender, action.change, firstEventAt);
						}
					}
				},
			}, {
				at: endsAt,
				run() {
					openCounts.set(id, (openCounts.get(id) ?? 0) - 1);
					record({kind: 'ended', id: workId}, endsAt);
				},
			});
		}
	}

	return placed;
}

/** Factor by which a slow endpoint is slower. */
const slowness = 5;

function getMeanMs(placed: readonly Placed[]): Milliseconds {
	return placed.reduce((sum, {firstEventMs}) => sum + firstEventMs, 0) / Math.max(1, placed.length);
}

function getShare(placed: readonly Placed[], index: number): number {
	return placed.filter(({endpoint}) => endpoint === index).length / Math.max(1, placed.length);
}

function getMostOpen(placed: readonly Placed[], matches: (endpoint: number) => boolean): number {
	return Math.max(0, ...placed.filter(({endpoint}) => matches(endpoint)).map(({open}) => open));
}

test('prompts get their first event sooner, and a slow endpoint fewer of them, if one of the endpoints is slow', () => {
	fc.assert(fc.property(scenarios, scenario => {
		const getSlowness = (endpoint: number): number => endpoint === 3 ? slowness : 1;
		const [aware, unaware] = [true, false].map(isWorkAware => play({...scenario, isWorkAware, getSlowness}).filter(({at}) => at > 4000));
		expect(getMeanMs(aware!)).toBeLessThan(getMeanMs(unaware!) * 1.02);
		expect(getShare(aware!, 3)).toBeLessThanOrEqual(getShare(unaware!, 3));
	}), parameters);
}, 120_000);

// Guards against endpoints that are taken for slow, and others flooded, because of what all have in common.
test('prompts are spread as without paces if all endpoints are slow alike', () => {
	fc.assert(fc.property(scenarios, scenario => {
		const [aware, unaware] = [true, false].map(isWorkAware => play({
			...scenario, isWorkAware, usedShare: 0.15, getSlowness: () => 3,
		}).filter(({at}) => at > 4000));
		expect(getMeanMs(aware!)).toBeLessThan(getMeanMs(unaware!) * 1.15);
	}), parameters);
}, 120_000);

// Guards against gateways that all turn to an endpoint when they hear that it has recovered.
test('an endpoint that recovers, or is slow by turns, gets no more prompts at once than others do by the same lag', () => {
	fc.assert(fc.property(scenarios, fc.constantFrom(8000, 2000), (scenario, periodMs) => {
		const getSlowness = (endpoint: number, now: Timestamp): number => endpoint === 3 && now % (2 * periodMs) < periodMs ? slowness : 1;
		const placed = play({...scenario, isWorkAware: true, getSlowness});
		const recovered = placed.filter(({at}) => at % (2 * periodMs) > periodMs);
		expect(getMostOpen(recovered, endpoint => endpoint === 3)).toBeLessThanOrEqual(getMostOpen(placed, endpoint => endpoint !== 3) + 1);
	}), parameters);
}, 120_000);

test('the first prompts at an endpoint that has just started wait less once starts were seen', () => {
	let [awareMs, unawareMs] = [0, 0];
	fc.assert(fc.property(scenarios, scenario => {
		const joins = new Map([[1, 4000], [3, 9000], [5, 14_000], [7, 19_000]]);
		const getSlowness = (endpoint: number, now: Timestamp): number => now - (joins.get(endpoint) ?? -10_000) < 3000 ? slowness : 1;
		const [aware, unaware] = [true, false].map(isWorkAware => play({
			...scenario, isWorkAware, getSlowness, joins,
		}).filter(({at}) => (at > 14_000 && at < 17_000) || at > 19_000));
		awareMs += getMeanMs(aware!);
		unawareMs += getMeanMs(unaware!);
	}), parameters);
	expect(awareMs).toBeLessThan(unawareMs);
}, 120_000);
