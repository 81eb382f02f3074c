/**
The seam between the callers' API and the entry behind it.
*/
import type {ArrivedRequest, CompletionSummary} from '@currantcross/core/entry-types';
import type {Failure} from '@currantcross/core/errors';
import type {
	RequestId, RouteName, ServerName, ServiceAnswer,
} from '@currantcross/core/types';

/** Hears what becomes of one request; exactly one of the last three is called, once. */
export type RequestListener = Readonly<{
	receiveTokens(tokens: readonly string[]): void;
	complete(summary: CompletionSummary): void;
	answer(answer: ServiceAnswer, server: ServerName, isReplay: boolean): void;
	fail(failure: Failure): void;
}>;

/** The entry, as the callers' API needs it. */
export type CallerHost = Readonly<{
	createRequestId(): RequestId;
	submit(request: ArrivedRequest, listener: RequestListener): void;
	/** Tells that nobody waits for the request any longer. */
	cancel(requestId: RequestId): void;
	isReady(): boolean;
	isDraining(): boolean;
	/** Returns the route's idempotent methods, or `undefined` where no service route has the name. */
	findIdempotentMethods(route: RouteName): readonly string[] | undefined;
	getRouteNames(): readonly RouteName[];
	getLongHash(text: string): string;
}>;
