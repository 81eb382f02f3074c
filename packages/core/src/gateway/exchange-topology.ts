/**
Topology of the exchange by which gateways report their open requests to each other.

A few gateways subscribe to each other directly. In a larger deployment each data centre has a relay, which subscribes to
the gateways of its data centre and to the relays of the others; every other gateway subscribes to its relay alone. What a
gateway receives then grows with the number of changes but not with the number of gateways, and only relays keep many
streams.
*/
import type {GatewayName} from './load-view.js';

/** A gateway that takes part in the exchange. */
export type ExchangeMember = Readonly<{
	name: GatewayName;
	dataCentre: string;
	/** Processor share of its host. */
	processorShare: number;
}>;

/** Whose requests a stream reports: the sender's, those of all gateways in its data centre, or all that it knows of. */
export type ExchangeScope = 'own' | 'dataCentre' | 'all';

/** A gateway to subscribe to, and the scope to request from it. */
export type Subscription<Member extends ExchangeMember> = Readonly<{member: Member; scope: ExchangeScope}>;

export type TopologyInput<Member extends ExchangeMember> = Readonly<{
	self: ExchangeMember;
	otherMembers: readonly Member[];
	/** Whether another gateway uses this one as its relay. */
	isRequestedAsRelay: boolean;
	/** Whether a subscription to the gateway failed recently. */
	isUnreachable(name: GatewayName): boolean;
}>;

/** Maximum number of gateways that subscribe to each other directly. */
export const maximumDirectGateways = 8;

/** Compares gateways by their preference as relay; a larger processor share comes first, since relaying costs it less. */
export function compareRelayPriority(left: ExchangeMember, right: ExchangeMember): number {
	return right.processorShare - left.processorShare || (left.name < right.name ? -1 : 1);
}

/** Returns the members by their preference as relay, unreachable ones last. */
function rankMembers<Member extends ExchangeMember>(members: readonly Member[], isUnreachable: (name: GatewayName) => boolean): readonly Member[] {
	const ranked = members.toSorted(compareRelayPriority);
	return [...ranked.filter(({name}) => !isUnreachable(name)), ...ranked.filter(({name}) => isUnreachable(name))];
}

/** Returns the gateways to subscribe to, and the scope of each subscription. */
export function chooseSubscriptions<Member extends ExchangeMember>(input: TopologyInput<Member>): ReadonlyArray<Subscription<Member>> {
	const {self, otherMembers, isUnreachable, isRequestedAsRelay} = input;
	if (otherMembers.length < maximumDirectGateways) {
		return otherMembers.map(member => ({member, scope: 'own'}));
	}

	const neighbours = otherMembers.filter(({dataCentre}) => dataCentre === self.dataCentre);
	const [relay] = rankMembers(neighbours, isUnreachable);
	const isRelay = isRequestedAsRelay || relay === undefined || isUnreachable(relay.name) || compareRelayPriority(self, relay) < 0;
	if (!isRelay) {
		return [{member: relay, scope: 'all'}];
	}

	const dataCentres = new Set(otherMembers.map(({dataCentre}) => dataCentre).filter(dataCentre => dataCentre !== self.dataCentre));
	const remoteRelays = [...dataCentres].flatMap(dataCentre =>
		rankMembers(otherMembers.filter(other => other.dataCentre === dataCentre), isUnreachable).slice(0, 1));
	return [
		...neighbours.map((member): Subscription<Member> => ({member, scope: 'own'})),
		...remoteRelays.map((member): Subscription<Member> => ({member, scope: 'dataCentre'})),
	];
}
