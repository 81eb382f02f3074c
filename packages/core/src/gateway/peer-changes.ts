/**
What gateways tell each other: changes to their open requests, and what they learn about endpoints and prompts.
*/
import type {LimitChange} from './endpoint-limits.js';
import type {WorkChange} from './load-view.js';
import type {QuarantineChange} from './segment-quarantine.js';

/** A message from one gateway to the others. */
export type PeerChange = WorkChange | QuarantineChange | LimitChange;
