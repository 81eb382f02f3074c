/**
Dispatcher of a client whose responses cost by their bytes, however they are cut up, and that bounds their length where it is told to.
*/
import {Agent, type Dispatcher} from 'undici';
import {createPieceInterceptor} from './body-pieces.js';
import {createHeldConnections, createHeldConnector} from './held-connections.js';
import {createLateConnector} from './late-connector.js';
import {createHeadInterceptor} from './response-heads.js';

/** Creates a dispatcher. A response that is longer than `maxResponseSize` bytes fails, and its connection is closed. */
export function createResponseDispatcher(options: Omit<Agent.Options, 'connect'>): Dispatcher {
	const heldConnections = createHeldConnections();
	return new Agent({...options, connect: createHeldConnector(createLateConnector({}), heldConnections)}).compose(heldConnections.intercept, createPieceInterceptor(), createHeadInterceptor());
}
