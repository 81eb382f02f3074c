/**
Actions that report decisions about sends, for the log.
*/
import type {Milliseconds} from '../types.js';
import type {GatewayAction, SendResult, SilenceOutcome} from './gateway-events.js';
import type {GatewayRequest, RequestKey} from './gateway-types.js';
import type {Send} from './request-send.js';

/** How a send was chosen: among how many endpoints, and after which end of the send before. */
export type PlacementOrigin = Readonly<{candidates: number; resentAfter: SendResult | undefined}>;

/** Returns the report of a send's placement. */
export function createPlacementReport(request: GatewayRequest, {id, placement, memory}: Send, origin: PlacementOrigin): GatewayAction {
	return {
		kind: 'reportDecision',
		key: request.key,
		decision: {
			kind: 'placed',
			sendId: id,
			endpoint: placement.endpoint.id,
			helpers: placement.helpers.map(({endpoint}) => endpoint.id),
			reservations: memory?.reservations ?? [],
			firstEventMs: Math.round(placement.firstEventMs),
			sharedSegments: request.sharedSegments,
			...origin,
		},
	};
}

/** Returns the report of how a send ended. */
export function createSendEndReport(
	key: RequestKey,
	{id, placement, hasEvents, evidence}: Send,
	outcome: Readonly<{result: SendResult; mayHaveRun: boolean; detail: string}>,
): GatewayAction {
	return {
		kind: 'reportDecision',
		key,
		decision: {
			kind: 'sendEnded', sendId: id, endpoint: placement.endpoint.id, hasEvents, response: evidence, ...outcome,
		},
	};
}

/** Returns the report of a silence check, the first time that a send's checks have this outcome. */
export function createSilenceReports(
	key: RequestKey,
	{id, placement, reportedOutcomes}: Send,
	outcome: SilenceOutcome,
	silentMs: Milliseconds,
): readonly GatewayAction[] {
	if (reportedOutcomes.has(outcome)) {
		return [];
	}

	reportedOutcomes.add(outcome);
	return [{
		kind: 'reportDecision',
		key,
		decision: {
			kind: 'silenceChecked', sendId: id, endpoint: placement.endpoint.id, silentMs: Math.round(silentMs), outcome,
		},
	}];
}
