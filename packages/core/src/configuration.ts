/**
The configuration that results from applying numbered tickets.

Each object keeps the number of the ticket that last changed it, even after its removal, so that an older ticket can never
revert a newer one. A delta contains every object changed after a given log sequence. Merging a delta never moves a
configuration back to an older state.
*/
import type {
	Organisation, OrganisationName, Pool, PoolName, Route, RouteName, Ticket, TicketObject,
} from './types.js';

/** An object with the number and the log sequence of the ticket that last changed it. */
export type VersionedObject = Readonly<{
	object: TicketObject;
	ticketNumber: number;
	sequence: number;
}>;

/** The effect of applying a ticket. */
export type TicketEffect
	= | Readonly<{kind: 'accepted'; sequence: number}>
		| Readonly<{kind: 'alreadyAccepted'; sequence: number}>
		| Readonly<{kind: 'refused'; newerNumber: number; objectName: string}>;

/** All objects that changed after the sequence `after`, up to `sequence`. */
export type ConfigurationDelta = Readonly<{
	after: number;
	sequence: number;
	objects: readonly VersionedObject[];
}>;

/** An organisation with its name. */
export type NamedOrganisation = Readonly<{name: OrganisationName; organisation: Organisation}>;

export type Configuration = Readonly<{
	getSequence(): number;
	/** Applies a ticket that is recorded at the given log sequence. */
	applyTicket(ticket: Ticket, sequence: number): TicketEffect;
	/** Returns the effect of a ticket whose log sequence a merged delta has covered; that of one which has been superseded completely is `refused`. */
	getTransferredEffect(ticket: Ticket, sequence: number): TicketEffect;
	/** Merges a delta. Returns false, and changes nothing, if the delta starts after the current sequence or ends at or before it. */
	mergeDelta(delta: ConfigurationDelta): boolean;
	/** Returns all objects that changed after a sequence. */
	getDelta(after: number): ConfigurationDelta;
	tryGetRoute(name: RouteName): Route | undefined;
	tryGetPool(name: PoolName): Pool | undefined;
	findOrganisationByKey(keySha256: string): NamedOrganisation | undefined;
	getRoutes(): ReadonlyMap<RouteName, Route>;
	getPools(): ReadonlyMap<PoolName, Pool>;
	/** Returns the objects that were last changed by the ticket. */
	getTicketObjects(ticketNumber: number): readonly VersionedObject[];
}>;

/** Returns a key for the object that is unique across all kinds of objects. */
export function getObjectKey(object: TicketObject): string {
	return `${object.kind}/${object.name}`;
}

function hasSameContent(left: TicketObject, right: TicketObject): boolean {
	return JSON.stringify(left.state) === JSON.stringify(right.state);
}

/** Creates an empty configuration, at sequence 0. */
export function createConfiguration(): Configuration {
	const objects = new Map<string, VersionedObject>();
	const routes = new Map<RouteName, Route>();
	const pools = new Map<PoolName, Pool>();
	const organisationsByKey = new Map<string, NamedOrganisation>();
	const keysByOrganisation = new Map<OrganisationName, string>();
	let sequence = 0;

	function setOrganisation(name: OrganisationName, organisation: Organisation | undefined): void {
		const oldKey = keysByOrganisation.get(name);
		if (oldKey !== undefined) {
			organisationsByKey.delete(oldKey);
			keysByOrganisation.delete(name);
		}

		if (organisation !== undefined) {
			organisationsByKey.set(organisation.keySha256, {name, organisation});
			keysByOrganisation.set(name, organisation.keySha256);
		}
	}

	function setIndexedState(object: TicketObject): void {
		switch (object.kind) {
			case 'route': {
				setOrDelete(routes, object.name, object.state);
				return;
			}

			case 'pool': {
				setOrDelete(pools, object.name, object.state);
				return;
			}

			case 'organisation': {
				setOrganisation(object.name, object.state);
			}
		}
	}

	/** Stores an object. The map stays ordered by sequence, so that a delta is always a suffix of the map. */
	function setObject(versioned: VersionedObject): void {
		const key = getObjectKey(versioned.object);
		objects.delete(key);
		objects.set(key, versioned);
		setIndexedState(versioned.object);
	}

	/** Returns the effect of a ticket if the object was last changed by a ticket with the same or a higher number, otherwise `undefined`. */
	function findObjectConflict(object: TicketObject, number: number): TicketEffect | undefined {
		const current = objects.get(getObjectKey(object));
		if (current === undefined || current.ticketNumber < number) {
			return undefined;
		}

		const isRepeated = current.ticketNumber === number && hasSameContent(current.object, object);
		return isRepeated
			? {kind: 'alreadyAccepted', sequence: current.sequence}
			: {kind: 'refused', newerNumber: current.ticketNumber, objectName: getObjectKey(object)};
	}

	/** Returns whether the ticket at this sequence has changed its objects, one of which at least no later ticket has changed. */
	function isInForce({number, objects: changedObjects}: Ticket, ticketSequence: number): boolean {
		const states = changedObjects.map(object => {
			const current = objects.get(getObjectKey(object));
			const isOwn = current?.sequence === ticketSequence && current.ticketNumber === number && hasSameContent(current.object, object);
			return {isOwn, isSuperseded: current !== undefined && current.sequence > ticketSequence && current.ticketNumber > number};
		});
		return states.some(({isOwn}) => isOwn) && states.every(({isOwn, isSuperseded}) => isOwn || isSuperseded);
	}

	/** Returns why a ticket is not accepted as a new one, or `undefined` if there is no conflict. */
	function findTicketConflict(ticket: Ticket): TicketEffect | undefined {
		const conflicts = ticket.objects.map(object => findObjectConflict(object, ticket.number));
		const refusal = conflicts.find(conflict => conflict?.kind === 'refused');
		if (refusal !== undefined) {
			return refusal;
		}

		const repeatedIndex = conflicts.findIndex(conflict => conflict !== undefined);
		const repeatedObject = ticket.objects[repeatedIndex];
		if (repeatedObject === undefined || conflicts.every(conflict => conflict !== undefined)) {
			return conflicts[0];
		}

		// A different ticket with this number has changed some of the objects, but not all.
		return {kind: 'refused', newerNumber: ticket.number, objectName: getObjectKey(repeatedObject)};
	}

	function applyTicket(ticket: Ticket, ticketSequence: number): TicketEffect {
		sequence = Math.max(sequence, ticketSequence);
		const conflict = findTicketConflict(ticket);
		if (conflict !== undefined) {
			return conflict;
		}

		for (const object of ticket.objects) {
			setObject({object, ticketNumber: ticket.number, sequence: ticketSequence});
		}

		return {kind: 'accepted', sequence: ticketSequence};
	}

	return {
		getSequence: () => sequence,
		applyTicket,
		getTransferredEffect: (ticket, ticketSequence) => isInForce(ticket, ticketSequence) ? {kind: 'accepted', sequence: ticketSequence} : applyTicket(ticket, ticketSequence),
		mergeDelta(delta) {
			if (delta.after > sequence || delta.sequence <= sequence) {
				return false;
			}

			for (const versioned of delta.objects) {
				if (versioned.sequence > sequence) {
					setObject(versioned);
				}
			}

			sequence = delta.sequence;
			return true;
		},
		getDelta: after => ({
			after,
			sequence,
			objects: [...objects.values()].filter(versioned => versioned.sequence > after),
		}),
		tryGetRoute: name => routes.get(name),
		tryGetPool: name => pools.get(name),
		findOrganisationByKey: keySha256 => organisationsByKey.get(keySha256),
		getRoutes: () => routes,
		getPools: () => pools,
		getTicketObjects: ticketNumber => [...objects.values()].filter(versioned => versioned.ticketNumber === ticketNumber),
	};
}

function setOrDelete<State>(map: Map<string, State>, name: string, state: State | undefined): void {
	if (state === undefined) {
		map.delete(name);
		return;
	}

	map.set(name, state);
}
