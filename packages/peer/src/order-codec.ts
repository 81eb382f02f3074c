/**
Conversion of orders and their outcomes between the core's vocabulary and the generated messages.
*/
import {create} from '@bufbuild/protobuf';
import type {Order, OrderOutcome} from '@currantcross/core/order-fencing';
import * as wire from './gen/currantcross/v1/peer_pb.js';

/** Returns the request that sends an order. */
export function formatOrder({leaseName, fencingNumber, wanted}: Order): wire.ApplyOrderRequest {
	return create(wire.ApplyOrderRequestSchema, {leaseName, fencingNumber, ...wanted});
}

/** Returns the order that a request sends. */
export function parseOrder(request: wire.ApplyOrderRequest): Order {
	const {
		leaseName, fencingNumber, model, version, role,
	} = request;
	return {leaseName, fencingNumber, wanted: {model, version, role}};
}

/** Returns the outcome of an order in its wire form. */
export function formatOrderOutcome(outcome: OrderOutcome): wire.ApplyOrderResponse {
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

/** Returns the outcome of an order; one that says nothing counts as failed. */
export function parseOrderOutcome({outcome}: wire.ApplyOrderResponse): OrderOutcome {
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
			return {kind: 'failed', detail: 'the agent gave no outcome'};
		}
	}
}
