/**
What gateways tell each other: changes to their open requests, what they learn about endpoints and prompts, and the version of
the configuration that they have in force, where a peer or the store may have an older one.
*/
import type {ColdChange} from './cold-endpoints.js';
import type {EndpointId} from './gateway-types.js';
import type {PaceChange} from './endpoint-pace.js';
import type {LimitChange} from './endpoint-limits.js';
import type {WorkChange} from './load-view.js';
import type {QuarantineChange} from './segment-quarantine.js';

/** A message from one gateway to the others. */
export type PeerChange = WorkChange | QuarantineChange | LimitChange | PaceChange | ConfigurationChange | UnreachableChange | LeavingChange | ColdChange;

/** An endpoint does not accept connections. */
export type UnreachableChange = Readonly<{kind: 'endpointUnreachable'; endpoint: EndpointId}>;

/** An endpoint says in its responses that it is leaving. `startedAt` tells its process from a later one under the same id. */
export type LeavingChange = Readonly<{kind: 'endpointLeaving'; endpoint: EndpointId; startedAt: number}>;

/** The version of the configuration that a gateway has in force. */
export type ConfigurationChange = Readonly<{kind: 'configurationInForce'; version: number}>;
