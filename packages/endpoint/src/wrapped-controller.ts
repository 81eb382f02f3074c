/**
Controllers of responses whose pauses an interceptor handles itself.
*/
import type {Dispatcher} from 'undici';

export type ControllerPauses = Readonly<{
	/** Returns whether the handler of the response has paused it. */
	isPaused(): boolean;
	pause(): void;
	resume(): void;
}>;

/** Controllers that are like another one, which is their value here. */
const innerControllers = new WeakMap<Dispatcher.DispatchController, Dispatcher.DispatchController>();

/** Returns the controller that another one wraps, if it wraps one. */
export function findInnerController(controller: Dispatcher.DispatchController): Dispatcher.DispatchController | undefined {
	return innerControllers.get(controller);
}

/** Returns a controller that is like another one in all but its pauses. */
export function createWrappedController(controller: Dispatcher.DispatchController, pauses: ControllerPauses): Dispatcher.DispatchController {
	const wrapped: Dispatcher.DispatchController = {
		get aborted() {
			return controller.aborted;
		},
		get paused() {
			return pauses.isPaused();
		},
		get reason() {
			return controller.reason;
		},
		get rawHeaders() {
			return controller.rawHeaders;
		},
		get rawTrailers() {
			return controller.rawTrailers;
		},
		abort(reason) {
			controller.abort(reason);
		},
		pause: pauses.pause,
		resume: pauses.resume,
	};
	innerControllers.set(wrapped, controller);
	return wrapped;
}
