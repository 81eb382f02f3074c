/**
Converts orders and their outcomes between the core types and the generated protobuf messages.
*/
import {create} from '@bufbuild/protobuf';
import type {Order, OrderOutcome} from '@currantcross/core/order-fencing';
import * as wire from './gen/currantcross/v1/peer_pb.js';

/** Creates the request that sends an order. */
export function toWireOrder({leaseName, fencingNumber, desiredState}: Order): wire.ApplyOrderRequest {
	return create(wire.ApplyOrderRequestSchema, {leaseName, fencingNumber, ...desiredState});
}

/** Converts the order of a request. */
export function fromWireOrder(request: wire.ApplyOrderRequest): Order {
	const {
		leaseName, fencingNumber, model, version, role,
	} = request;
	return {leaseName, fencingNumber, desiredState: {model, version, role}};
}

/** Converts the outcome of an order to its wire form. */
export function toWireOrderOutcome(outcome: OrderOutcome): wire.ApplyOrderResponse {
	switch (outcome.kind) {
		case 'applied': {
			return create(wire.ApplyOrderResponseSchema, {outcome: {case: 'applied', value: {}}});
		}

		case 'refused': {
			const {highestFencingNumber} = outcome;
			return create(wire.ApplyOrderResponseSchema, {outcome: {case: 'refused', value: {highestFencingNumber}}});
		}

		case 'failed': {
			return create(wire.ApplyOrderResponseSchema, {outcome: {case: 'failed', value: {detail: outcome.detail}}});
		}
	}
}

/** Converts the outcome of an order from its wire form. A response without an outcome is treated as a failure. */
export function fromWireOrderOutcome({outcome}: wire.ApplyOrderResponse): OrderOutcome {
	switch (outcome.case) {
		case 'applied': {
			return {kind: 'applied'};
		}

		case 'refused': {
			return {kind: 'refused', highestFencingNumber: outcome.value.highestFencingNumber};
		}

		case 'failed': {
			return {kind: 'failed', detail: outcome.value.detail};
		}

		case undefined: {
			return {kind: 'failed', detail: 'the agent returned no outcome'};
		}
	}
}
