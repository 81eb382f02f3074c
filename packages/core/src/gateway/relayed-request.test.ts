import {Buffer} from 'node:buffer';
import {describe, expect, test} from 'vitest';
import {createNotRunFailure} from '../errors.js';
import {createEndpointRegistry} from './endpoint-registry.js';
import {createGateway, type Gateway} from './gateway.js';
import {
	createFixtureEndpoints, createFixtureHead, createFixtureRequest, fixtureAction, fixtureConfiguration, fixtureGatewaySettings,
	fixtureLookup, fixtureStream,
} from './gateway-fixtures.js';
import type {GatewayRequest, ServedRoute} from './gateway-types.js';
import type {RelayAction, RelayEvent} from './relay-types.js';
import {createRelayedRequest, type PlacementDecision} from './relayed-request.js';
import {createRetryBudget} from './retry-budget.js';

type Run = Readonly<{
	gateway: Gateway;
	step(event: RelayEvent, now: number): readonly string[];
	submit(request: GatewayRequest): readonly string[];
	/** Returns the id of the latest send. */
	getSendId(): number;
}>;

function formatAction(action: RelayAction): readonly string[] {
	switch (action.kind) {
		case 'send': {
			return [`send ${action.endpoint.service}${action.lastEventId === undefined ? '' : ` after ${action.lastEventId}`}`];
		}

		case 'reserveMemory': {
			return [`reserve ${action.reservation.tokens}`];
		}

		case 'releaseMemory': {
			return ['release'];
		}

		case 'probeEndpoint': {
			return ['probe'];
		}

		case 'cancelSend': {
			return ['cancel'];
		}

		case 'startAnswer': {
			return [`start ${action.status}${action.isUndelimited ? ' undelimited' : ''}`];
		}

		case 'writeAnswer': {
			return [`write ${Buffer.from(action.bytes).toString().trim().replaceAll('\n', '|')}`];
		}

		case 'endAnswer': {
			return ['end'];
		}

		case 'breakAnswer': {
			return ['break'];
		}

		case 'failRequest': {
			return [`fail ${action.failure.kind} ran=${action.failure.ran}`];
		}

		case 'forgetRequest': {
			return ['forget'];
		}

		case 'publishWork':
		case 'reportEndpoint':
		case 'reportDecision': {
			return [];
		}
	}
}

function createRun(): Run {
	const gateway = createGateway(fixtureGatewaySettings);
	let sendId = 0;
	gateway.step({kind: 'configurationVerified', configuration: fixtureConfiguration, verifiedAt: 0}, 0);
	gateway.step({kind: 'endpointsListed', endpoints: [...createFixtureEndpoints('models', 16), ...createFixtureEndpoints('shop', 3)]}, 0);

	function format(actions: readonly RelayAction[]): readonly string[] {
		for (const action of actions) {
			if (action.kind === 'send') {
				sendId = action.sendId;
			}
		}

		return actions.flatMap(action => formatAction(action));
	}

	return {
		gateway,
		step: (event, now) => format(gateway.step({kind: 'requestChanged', key: 1, event}, now)),
		submit: request => format(gateway.step({kind: 'requestArrived', request}, request.arrivedAt)),
		getSendId: () => sendId,
	};
}

function start(route: ServedRoute, changes: Partial<GatewayRequest> = {}): Run {
	const run = createRun();
	run.submit(createFixtureRequest(route, changes));
	return run;
}

function getBytes(text: string): Uint8Array {
	return Buffer.from(text);
}

function answer(run: Run, text: string, changes: Parameters<typeof createFixtureHead>[0] = {}, now = 10): readonly string[] {
	const sendId = run.getSendId();
	return [
		...run.step({kind: 'answerStarted', sendId, head: createFixtureHead(changes)}, now),
		...run.step({kind: 'answerBytes', sendId, bytes: getBytes(text)}, now),
		...run.step({kind: 'answerEnded', sendId}, now),
	];
}

const events = (...ids: readonly number[]): string => ids.map(id => `id: ${id}\ndata: x\n\n`).join('');

describe('a request that is not repeatable', () => {
	test('ends with the answer of its endpoint', () => {
		expect(answer(start(fixtureAction), 'done')).toEqual(['start 200', 'write done', 'end']);
	});

	test('fails without a retry and without being reported as not run if the connection breaks', () => {
		const run = start(fixtureAction);
		expect(run.step({
			kind: 'sendFailed', sendId: run.getSendId(), wasSent: true, detail: 'ECONNRESET',
		}, 10)).toEqual(['fail serverLost ran=unknown']);
	});

	test('is sent again when nothing can have reached the endpoint', () => {
		const run = start(fixtureAction);
		expect(run.step({
			kind: 'sendFailed', sendId: run.getSendId(), wasSent: false, detail: 'ECONNREFUSED',
		}, 10)).toEqual(['send shop']);
	});

	test('is sent again when the endpoint says that it did not run it', () => {
		const run = start(fixtureAction);
		expect(run.step({kind: 'answerStarted', sendId: run.getSendId(), head: createFixtureHead({status: 503, isNotRun: true, hasStamp: false})}, 10)).toEqual(['send shop']);
	});

	test('fails as not run if every endpoint refuses it as not run', () => {
		const run = start(fixtureAction);
		let actions: readonly string[] = [];
		for (let index = 0; index < 3; index += 1) {
			actions = run.step({kind: 'answerStarted', sendId: run.getSendId(), head: createFixtureHead({status: 503, isNotRun: true, hasStamp: false})}, 10);
		}

		expect(actions).toEqual(['fail overloaded ran=no']);
	});

	test('forwards the error answer of its endpoint unchanged', () => {
		expect(answer(start(fixtureAction), 'oops', {status: 500})).toEqual(['start 500', 'write oops', 'end']);
	});

	test('fails at its deadline without being reported as not run', () => {
		const run = start(fixtureAction);
		expect(run.gateway.step({kind: 'timePassed'}, 1000).flatMap(action => formatAction(action))).toEqual(['cancel', 'fail deadlineExceeded ran=unknown']);
	});

	test('fails as not run without a send if its key was verified too long ago', () => {
		const run = createRun();
		expect(run.submit(createFixtureRequest(fixtureAction, {arrivedAt: 4001}))).toEqual(['fail platformUnavailable ran=no']);
	});
});

describe('an idempotent request', () => {
	test('is sent again after an error answer, and ends with that answer if the second send fails too', () => {
		const run = start(fixtureLookup);
		expect(answer(run, 'oops', {status: 500})).toEqual(['send shop']);
		expect(run.step({
			kind: 'sendFailed', sendId: run.getSendId(), wasSent: true, detail: 'reset',
		}, 20)).toEqual(['start 500', 'write oops', 'end']);
	});

	test('fails once as many endpoints as its route allows may have run it', () => {
		const run = start(fixtureLookup);
		run.step({
			kind: 'sendFailed', sendId: run.getSendId(), wasSent: true, detail: 'reset',
		}, 10);
		expect(run.step({
			kind: 'sendFailed', sendId: run.getSendId(), wasSent: true, detail: 'reset',
		}, 20)).toEqual(['fail serverLost ran=unknown']);
	});

	test('is sent again if its endpoint goes silent and does not answer a probe', () => {
		const run = start({...fixtureLookup, timeoutMs: 5000});
		expect(run.gateway.step({kind: 'timePassed'}, 899).flatMap(action => formatAction(action))).toEqual([]);
		expect(run.gateway.step({kind: 'timePassed'}, 901).flatMap(action => formatAction(action))).toEqual(['probe']);
		expect(run.gateway.step({kind: 'timePassed'}, 1202).flatMap(action => formatAction(action))).toEqual(['cancel', 'send shop']);
	});

	test('stays at its silent endpoint if the endpoint answers a probe', () => {
		const run = start({...fixtureLookup, timeoutMs: 5000});
		run.gateway.step({kind: 'timePassed'}, 901);
		expect(run.step({kind: 'probeAnswered', sendId: run.getSendId()}, 910)).toEqual([]);
		expect(run.gateway.step({kind: 'timePassed'}, 1202).flatMap(action => formatAction(action))).toEqual([]);
	});

	test.each([
		['an answer to another request', {requestId: 'r-2'}],
		['an answer without proof of its origin', {hasStamp: false}],
		['an encoded answer', {isEncoded: true}],
	])('rejects %s and is sent again', (_, changes) => {
		const run = start(fixtureLookup);
		expect(run.step({kind: 'answerStarted', sendId: run.getSendId(), head: createFixtureHead(changes)}, 10)).toEqual(['cancel', 'send shop']);
	});

	test('forwards an undelimited answer as undelimited', () => {
		expect(answer(start(fixtureLookup), 'half', {isUndelimited: true})).toEqual(['start 200 undelimited', 'write half', 'end']);
	});
});

describe('a prompt that needs the memory of several servers', () => {
	const prompt = {promptTokens: 700_000, maximumTokens: 1000};
	const route = {
		...fixtureStream, timeoutMs: 15_000, objectiveMs: 3000, longestPauseMs: 1000,
	};
	const getReservationId = (sendId: number, index: number): string => `gateway-1.life-1.${sendId}.${index}`;

	function submit(): Readonly<{run: Run; actions: readonly string[]; ids: readonly string[]}> {
		const run = createRun();
		const actions = run.submit(createFixtureRequest(route, {prompt}));
		return {run, actions, ids: actions.map((_, index) => getReservationId(1, index))};
	}

	function answerMemory(run: Run, reservationId: string, isHeld: boolean, now: number): readonly string[] {
		return run.step({kind: 'memoryAnswered', reservationId, isHeld}, now);
	}

	test('is sent once all reservations are held, and releases them when it ends', () => {
		const {run, actions, ids} = submit();
		expect(actions.every(action => action.startsWith('reserve '))).toBe(true);
		const last = ids.map(id => answerMemory(run, id, true, 10)).at(-1);
		expect(last).toEqual(['send models']);
		expect(answer(run, events(1), {}, 20)).toEqual(['start 200', 'write id: 1|data: x', ...ids.map(() => 'release'), 'end']);
	});

	test('renews its reservations at the renewal interval', () => {
		const {run, actions, ids} = submit();
		for (const id of ids) {
			answerMemory(run, id, true, 10);
		}

		expect(run.gateway.step({kind: 'timePassed'}, 1199).flatMap(action => formatAction(action))).toEqual([]);
		expect(run.gateway.step({kind: 'timePassed'}, 1200).flatMap(action => formatAction(action))).toEqual(actions);
	});

	test('releases its reservations if one is refused, and fails as not run after further refusals', () => {
		const {run, ids} = submit();
		const last = ids.map((id, index) => answerMemory(run, id, index > 0, 10)).at(-1);
		expect(last?.slice(0, ids.length)).toEqual(ids.map(() => 'release'));
		expect(last?.slice(ids.length).every(action => action.startsWith('reserve '))).toBe(true);
		let actions: readonly string[] = [];
		for (let sendId = 2; sendId <= 4; sendId += 1) {
			for (let index = 0; index < 15; index += 1) {
				actions = [...actions, ...answerMemory(run, getReservationId(sendId, index), false, 20)];
			}
		}

		expect(actions.at(-1)).toBe('fail overloaded ran=no');
	});

	test('releases its reservations if they are not answered in time', () => {
		const {run, ids} = submit();
		const actions = run.gateway.step({kind: 'timePassed'}, 401).flatMap(action => formatAction(action));
		expect(actions.slice(0, ids.length)).toEqual(ids.map(() => 'release'));
	});
});

describe('a helper that is reported as busy', () => {
	const prompt = {promptTokens: 180_000, maximumTokens: 1000};
	const route = {
		...fixtureStream, timeoutMs: 15_000, objectiveMs: 3000, longestPauseMs: 1000,
	};

	function refuse(run: Run, now: number): readonly RelayAction[] {
		const head = createFixtureHead({
			status: 503, isNotRun: true, hasStamp: false, faultyAddress: '10.0.6.3:80',
		});
		return run.gateway.step({kind: 'requestChanged', key: 1, event: {kind: 'answerStarted', sendId: run.getSendId(), head}}, now);
	}

	function getUsedAddresses(actions: readonly RelayAction[]): readonly string[] {
		return actions.flatMap(action => action.kind === 'send' ? [action.endpoint.address, ...action.helpers.map(({address}) => address)] : []);
	}

	test('is excluded for this request, but remains available to others', () => {
		const run = start(route, {prompt});
		expect(getUsedAddresses(refuse(run, 20))).not.toContain('10.0.6.3:80');
		const others = Array.from({length: 16}, (_, index) => run.gateway.step({kind: 'requestArrived', request: createFixtureRequest(fixtureStream, {key: index + 2})}, 30));
		expect(others.flatMap(actions => getUsedAddresses(actions)).length).toBe(16);
	});
});

describe('a huge prompt that would miss its objective anyway', () => {
	const prompt = {promptTokens: 500_000, maximumTokens: 1000};
	const route = {
		...fixtureStream, timeoutMs: 15_000, objectiveMs: 3000, longestPauseMs: 1000,
	};

	/** Starts a gateway whose servers all decode short prompts of another gateway. */
	function startBusyPool(): Run {
		const run = createRun();
		for (let id = 0; id < 16 * 3; id += 1) {
			const work = {
				id, endpoint: `models-${id % 16}`, helpers: [], promptTokens: 5000, readMs: 34, longestPauseMs: 250,
			};
			run.gateway.step({kind: 'peerWorkChanged', gateway: 'gateway-2', changes: [{kind: 'started', work}]}, 0);
			run.gateway.step({kind: 'peerWorkChanged', gateway: 'gateway-2', changes: [{kind: 'writing', id}]}, 0);
		}

		return run;
	}

	function step(run: Run, now: number): readonly string[] {
		return run.gateway.step({kind: 'timePassed'}, now).flatMap(action => formatAction(action));
	}

	test('is deferred while it would delay short requests, and sent once they have ended', () => {
		const run = startBusyPool();
		expect(run.submit(createFixtureRequest(route, {prompt}))).toEqual([]);
		expect(step(run, 200)).toEqual([]);
		run.gateway.step({kind: 'peerWorkChanged', gateway: 'gateway-2', changes: [{kind: 'reset'}]}, 300);
		expect(step(run, 400).length).toBeGreaterThan(0);
	});

	test('is deferred only as long as its answer can still be useful', () => {
		const run = startBusyPool();
		run.submit(createFixtureRequest(route, {prompt}));
		const startedAt = Array.from({length: 75}, (_, index) => (index + 1) * 200).find(now => step(run, now).length > 0);
		expect(startedAt).toBeLessThan(6000);
	});
});

describe('a pool without capacity', () => {
	test('refuses a prompt at once if its first event is predicted to come too late to be useful', () => {
		const run = createRun();
		const works = Array.from({length: 16 * 30}, (_, index) => ({
			id: index, endpoint: `models-${index % 16}`, helpers: [], promptTokens: 5000, readMs: 34, longestPauseMs: 250,
		}));
		for (const work of works) {
			run.gateway.step({kind: 'peerWorkChanged', gateway: 'gateway-2', changes: [{kind: 'started', work}]}, 0);
			run.gateway.step({kind: 'peerWorkChanged', gateway: 'gateway-2', changes: [{kind: 'writing', id: work.id}]}, 0);
		}

		expect(run.submit(createFixtureRequest(fixtureStream))).toEqual(['fail deadlineUnreachable ran=no']);
		run.gateway.step({kind: 'peerWorkChanged', gateway: 'gateway-2', changes: [{kind: 'reset'}]}, 0);
		expect(run.submit(createFixtureRequest(fixtureStream))).toEqual(['send models']);
	});
});

describe('a stream', () => {
	test('forwards each event as soon as it is complete', () => {
		const run = start(fixtureStream);
		const sendId = run.getSendId();
		run.step({kind: 'answerStarted', sendId, head: createFixtureHead()}, 10);
		expect(run.step({kind: 'answerBytes', sendId, bytes: getBytes('id: 1\nda')}, 20)).toEqual([]);
		expect(run.step({kind: 'answerBytes', sendId, bytes: getBytes('ta: x\n\nid: 2\n')}, 30)).toEqual(['start 200', 'write id: 1|data: x']);
	});

	test('resumes after its last complete event at another endpoint if the connection breaks', () => {
		const run = start(fixtureStream);
		const sendId = run.getSendId();
		run.step({kind: 'answerStarted', sendId, head: createFixtureHead()}, 10);
		run.step({kind: 'answerBytes', sendId, bytes: getBytes(`${events(1, 2)}id: 3\nda`)}, 20);
		expect(run.step({
			kind: 'sendFailed', sendId, wasSent: true, detail: 'reset',
		}, 30)).toEqual(['send models after 2']);
		expect(answer(run, events(3, 4), {}, 40)).toEqual(['write id: 3|data: x', 'write id: 4|data: x', 'end']);
	});

	test('rejects an answer that skips an event, and resumes at another endpoint', () => {
		const run = start(fixtureStream);
		const sendId = run.getSendId();
		run.step({kind: 'answerStarted', sendId, head: createFixtureHead()}, 10);
		expect(run.step({kind: 'answerBytes', sendId, bytes: getBytes(events(1, 3))}, 20)).toEqual(['start 200', 'write id: 1|data: x', 'cancel', 'send models after 1']);
	});

	test('is broken off if the answer ends inside an event', () => {
		const run = start({...fixtureStream, maximumEndpoints: 1});
		expect(answer(run, `${events(1)}id: 2\n`)).toEqual(['start 200', 'write id: 1|data: x', 'break']);
	});

	test('is broken off if the connection breaks and its route is not resumable', () => {
		const run = start({...fixtureStream, isResumable: false});
		const sendId = run.getSendId();
		run.step({kind: 'answerStarted', sendId, head: createFixtureHead()}, 10);
		run.step({kind: 'answerBytes', sendId, bytes: getBytes(events(1))}, 20);
		expect(run.step({
			kind: 'sendFailed', sendId, wasSent: true, detail: 'reset',
		}, 30)).toEqual(['break']);
	});

	test('is broken off after resumption if the end of the second answer is undelimited', () => {
		const run = start(fixtureStream);
		const sendId = run.getSendId();
		run.step({kind: 'answerStarted', sendId, head: createFixtureHead()}, 10);
		run.step({kind: 'answerBytes', sendId, bytes: getBytes(events(1))}, 20);
		run.step({
			kind: 'sendFailed', sendId, wasSent: true, detail: 'reset',
		}, 30);
		expect(answer(run, events(2), {isUndelimited: true}, 40)).toEqual(['write id: 2|data: x', 'break']);
	});

	test('cancels its send when its caller disconnects', () => {
		expect(start(fixtureStream).step({kind: 'clientGone'}, 10)).toEqual(['cancel', 'forget']);
	});
});

test('a request that may have run and is then deferred and refused is not reported as not run', () => {
	const [endpoint] = createFixtureEndpoints('models', 1);
	if (endpoint === undefined) {
		throw new Error('the fixtures contain no endpoint');
	}

	const placement = {
		endpoint, helpers: [], prefillMs: 10, firstEventMs: 10, interferenceCost: 0,
	};
	const decisions: PlacementDecision[] = [
		{kind: 'placed', placement, candidates: 1},
		{kind: 'deferred', untilAt: 300},
		{kind: 'refused', failure: createNotRunFailure('deadlineUnreachable')},
	];
	const request = createRelayedRequest(createFixtureRequest(fixtureStream), {
		registry: createEndpointRegistry(fixtureGatewaySettings.endpoints),
		budget: createRetryBudget(fixtureGatewaySettings.budget),
		createSendId: () => 1,
		createReservationId: () => 'm',
		choosePlacement: () => decisions.shift() ?? {kind: 'refused', failure: createNotRunFailure('overloaded')},
		checkCredential: () => undefined,
		recordWork: () => undefined,
	});
	request.step({kind: 'started'}, 0);
	request.step({
		kind: 'sendFailed', sendId: 1, wasSent: true, detail: 'ECONNRESET',
	}, 100);
	const actions = request.step({kind: 'timePassed'}, 300);
	expect(actions).toMatchObject([{kind: 'failRequest', failure: {kind: 'serverLost', ran: 'unknown'}}]);
});
