/**
Metrics sent over StatsD. docs/metrics.md lists their names and units.
*/
import {StatsD} from 'hot-shots';

export type Metrics = Readonly<{
	recordRequest(outcome: string, durationMs: number): void;
	recordFirstToken(durationMs: number): void;
	recordTokens(count: number): void;
	recordOpenRequests(count: number): void;
	recordConfigurationSequence(sequence: number): void;
	recordLiveAttempts(count: number): void;
	recordCallerBound(bound: string): void;
	close(): void;
}>;

export type MetricsSettings = Readonly<{host: string; port: number}>;

/** Creates the client. Without settings, nothing is sent. */
export function createMetrics(settings: MetricsSettings | undefined, tags: Readonly<Record<string, string>>): Metrics {
	const client = new StatsD({
		...(settings ?? {mock: true}),
		prefix: 'currantcross.',
		globalTags: {...tags},
		errorHandler() {
			// Errors are ignored: the delivery of metrics is best effort.
		},
	});
	return {
		recordRequest(outcome, durationMs) {
			client.increment('request.ended', 1, {outcome});
			client.timing('request.duration', durationMs, {outcome});
		},
		recordFirstToken(durationMs) {
			client.timing('request.first_token', durationMs);
		},
		recordTokens(count) {
			client.increment('tokens.delivered', count);
		},
		recordOpenRequests(count) {
			client.gauge('request.open', count);
		},
		recordConfigurationSequence(sequence) {
			client.gauge('configuration.sequence', sequence);
		},
		recordLiveAttempts(count) {
			client.gauge('attempt.live', count);
		},
		recordCallerBound(bound) {
			client.increment('caller.bounds', 1, {bound});
		},
		close() {
			client.close(() => undefined);
		},
	};
}
