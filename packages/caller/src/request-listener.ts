/**
Interface between the caller API and the entry that serves its requests.
*/
import type {ArrivedRequest, CompletionSummary} from '@currantcross/core/entry-types';
import type {Failure} from '@currantcross/core/errors';
import type {
	RequestId, RouteName, ServerName, ServiceAnswer,
} from '@currantcross/core/types';

/** Receives the progress and the outcome of one request. Exactly one of `complete`, `answer` and `fail` is called, once. */
export type RequestListener = Readonly<{
	receiveTokens(tokens: readonly string[]): void;
	complete(summary: CompletionSummary): void;
	answer(answer: ServiceAnswer, server: ServerName, isReplay: boolean): void;
	fail(failure: Failure): void;
}>;

/** The operations of an entry that the caller API needs. */
export type CallerHost = Readonly<{
	createRequestId(): RequestId;
	submit(request: ArrivedRequest, listener: RequestListener): void;
	/** Cancels a request whose caller no longer waits for it. */
	cancel(requestId: RequestId): void;
	isReady(): boolean;
	isDraining(): boolean;
	/** Returns the idempotent methods of a service route, or `undefined` if there is no service route of that name. */
	findIdempotentMethods(route: RouteName): readonly string[] | undefined;
	getRouteNames(): readonly RouteName[];
	getLongHash(text: string): string;
}>;
