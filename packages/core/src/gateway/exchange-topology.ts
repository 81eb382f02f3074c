/**
Whom a gateway follows to know the work of all others.

A few gateways follow each other directly. In a larger deployment each data centre has a relay, which follows the gateways
of its data centre and the relays of the others; every other gateway follows its relay alone. So what a gateway receives
does not grow with their number but by the changes themselves, and only relays keep many streams.
*/
import type {GatewayName} from './load-view.js';

/** A gateway that takes part in the exchange. */
export type ExchangeMember = Readonly<{
	name: GatewayName;
	dataCentre: string;
	/** Share of a processor that its host has. */
	processorShare: number;
}>;

/** Whose work a stream tells of: of its sender, of all in the sender's data centre, or of all that the sender knows. */
export type ExchangeScope = 'own' | 'dataCentre' | 'all';

export type FollowChoice<Member extends ExchangeMember> = Readonly<{member: Member; scope: ExchangeScope}>;

export type ExchangeView<Member extends ExchangeMember> = Readonly<{
	own: ExchangeMember;
	others: readonly Member[];
	/** Whether another gateway asks this one to relay. */
	isAskedToRelay: boolean;
	/** Whether a gateway could not be followed lately. */
	isUnreachable(name: GatewayName): boolean;
}>;

/** Most gateways that follow each other directly. */
const maximumDirectGateways = 8;

/** Orders gateways by who relays first: those with more processor, so that the work of relaying weighs less. */
function compareRank(left: ExchangeMember, right: ExchangeMember): number {
	return right.processorShare - left.processorShare || (left.name < right.name ? -1 : 1);
}

function getRanked<Member extends ExchangeMember>(members: readonly Member[], isUnreachable: (name: GatewayName) => boolean): readonly Member[] {
	const ranked = members.toSorted(compareRank);
	return [...ranked.filter(({name}) => !isUnreachable(name)), ...ranked.filter(({name}) => isUnreachable(name))];
}

/** Returns the gateways to follow, and what each is to tell. */
export function chooseFollowed<Member extends ExchangeMember>(view: ExchangeView<Member>): ReadonlyArray<FollowChoice<Member>> {
	const {own, others, isUnreachable, isAskedToRelay} = view;
	if (others.length < maximumDirectGateways) {
		return others.map(member => ({member, scope: 'own'}));
	}

	const neighbours = others.filter(({dataCentre}) => dataCentre === own.dataCentre);
	const [relay] = getRanked(neighbours, isUnreachable);
	const isRelay = isAskedToRelay || relay === undefined || isUnreachable(relay.name) || compareRank(own, relay) < 0;
	if (!isRelay) {
		return [{member: relay, scope: 'all'}];
	}

	const dataCentres = new Set(others.map(({dataCentre}) => dataCentre).filter(dataCentre => dataCentre !== own.dataCentre));
	const farRelays = [...dataCentres].flatMap(dataCentre =>
		getRanked(others.filter(other => other.dataCentre === dataCentre), isUnreachable).slice(0, 1));
	return [
		...neighbours.map((member): FollowChoice<Member> => ({member, scope: 'own'})),
		...farRelays.map((member): FollowChoice<Member> => ({member, scope: 'dataCentre'})),
	];
}
