/**
What gateways tell each other: changes to their open requests, and what they learn about the segments of prompts.
*/
import type {WorkChange} from './load-view.js';
import type {QuarantineChange} from './segment-quarantine.js';

/** A message from one gateway to the others. */
export type PeerChange = WorkChange | QuarantineChange;
