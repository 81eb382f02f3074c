import {expect, test} from 'vitest';
import {createEntry, defaultEntrySettings, type Entry} from './entry.js';
import type {EntryAction} from './entry-types.js';
import {
	createFixtureCall, createFixtureConfiguration, createFixtureListings, createFixturePrompt, createFixtureRequest, createFixtureServer, createFixtureStatus,
	fixtureTicket,
} from './fixtures.js';
import {createRandom} from './random.js';
import {defaultRoutingPolicy} from './routing.js';
import type {Ticket, TicketObject, Work} from './types.js';

const servers = [createFixtureServer('m1', 'models'), createFixtureServer('m2', 'models'), createFixtureServer('s1', 'shops'), createFixtureServer('s2', 'shops')];

type Harness = Readonly<{entry: Entry; applyTicket(ticket: Ticket): void}>;

function createHarness(): Harness {
	const configuration = createFixtureConfiguration();
	const entry = createEntry({...defaultEntrySettings, entryName: 'e1', dataCentre: 'a'}, {
		configuration, random: createRandom(7), policy: defaultRoutingPolicy, getHash: text => text.length,
	});
	entry.step({kind: 'hostListRead', listings: createFixtureListings(servers), entryCount: 1}, 0);
	for (const {name} of servers) {
		entry.step({kind: 'statusReceived', status: createFixtureStatus(name)}, 0);
	}

	return {
		entry,
		applyTicket(ticket) {
			configuration.applyTicket(ticket, 2);
		},
	};
}

/** Returns the ticket's objects with other idempotent methods at the service route. */
function replaceMethods(idempotentMethods: readonly string[]): Ticket {
	const objects = fixtureTicket.objects.flatMap((object): TicketObject[] => object.kind === 'route' && object.state?.kind === 'service'
		? [{...object, state: {...object.state, idempotentMethods}}]
		: []);
	return {number: 2, objects};
}

/** Starts a request, changes the service route, and fails its attempt as possibly run. Returns the actions that follow. */
function failAttemptAfterChange(work: Extract<Work, {kind: 'prompt' | 'service'}>, ticket: Ticket): readonly EntryAction[] {
	const {entry, applyTicket} = createHarness();
	const opened = entry.step({kind: 'requestArrived', request: createFixtureRequest('r1', work)}, 10).find(action => action.kind === 'openStream');
	const {name} = opened?.server ?? {name: ''};
	applyTicket(ticket);
	return entry.step({
		kind: 'messageReceived', requestId: 'r1', streamId: opened?.streamId ?? '', message: {
			kind: 'ended', result: {kind: 'failed', ran: 'unknown', detail: 'no answer'}, status: createFixtureStatus(name),
		},
	}, 20);
}

function getKinds(actions: readonly EntryAction[]): readonly string[] {
	return actions.map(({kind}) => kind).filter(kind => kind === 'openStream' || kind === 'failRequest');
}

// Guards against a call that runs twice, since its method was idempotent only when it arrived.
test('a call that may have run is not sent to another server if its method has become non-idempotent since it arrived', () => {
	const actions = failAttemptAfterChange(createFixtureCall(undefined), replaceMethods([]));
	expect(getKinds(actions)).toEqual(['failRequest']);
	expect(actions.find(({kind}) => kind === 'failRequest')).toMatchObject({failure: {kind: 'serverLost', ran: 'unknown'}});
});

test('a call that may have run, and a prompt, are sent to another server if the route allows them still', () => {
	expect(getKinds(failAttemptAfterChange(createFixtureCall(undefined), replaceMethods(['GET', 'HEAD'])))).toEqual(['openStream']);
	expect(getKinds(failAttemptAfterChange(createFixturePrompt(1000), replaceMethods([])))).toEqual(['openStream']);
});
